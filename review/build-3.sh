#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/,
# after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r stand_ins review/scene_3.py target/review-3/
python3 -m compileall -q target/review-3
PYTHONPATH=target/deps:target/app:target/review-3 REVIEW_ROOT="$PWD" \
    python3 -c "import scene_3"
