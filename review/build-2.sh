#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are plain Python
# and use the libraries that the build line of deploy/system.toml puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="target/deps"
python3 -c "import aiohttp, msgspec" || exit 2
for file in review/second/*.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py; do
    [ ! -f "$file" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 2
done
