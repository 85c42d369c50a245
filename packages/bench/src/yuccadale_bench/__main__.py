"""Runs a measurement or demonstration: ``python -m yuccadale_bench NAME``."""

import sys

from yuccadale_bench._internal.command_line import main

if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
