#!/bin/sh
# Builds the stand-ins of review/6 to review/10: Python of the standard library
# only, so this checks that they compile and that the program has been built.
cd "$(dirname "$0")" || exit 1
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/yuccadale-review-2"
python3 -m py_compile standins2.py 6/endless.py 6/case.py 7/case.py \
    8/case.py 9/case.py 9/crowd.py 10/case.py || exit 1
if [ ! -d ../target/deps/yuccadale_platform ]; then
    echo 'run the build of deploy/system.toml first' >&2
    exit 1
fi
