#!/bin/sh
# The stand-ins need only the standard library; this checks that they compile.
cd "$(dirname "$0")" || exit 2
for source in standins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source" || exit 1
done
