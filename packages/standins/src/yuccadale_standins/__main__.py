"""Runs a stand-in: ``python -m yuccadale_standins platform|server``."""

import sys

from yuccadale_standins._internal.command_line import main

if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
