#!/bin/sh
# The stand-ins need only the standard library.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
