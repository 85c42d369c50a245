"""Commands for demonstration and measurement: ``python -m yuccadale_bench``."""

import sys

from yuccadale_bench._internal.commands import run_command

if __name__ == '__main__':
    sys.exit(run_command(sys.argv[1:]))
