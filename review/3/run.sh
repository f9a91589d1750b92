#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review exec python3 review/3/case.py
