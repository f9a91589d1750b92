#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml"; exit 2; }
PYTHONPYCACHEPREFIX=target/review-pycache python3 -m compileall -q review
