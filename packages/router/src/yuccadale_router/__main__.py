"""Entry point of ``yuccadaled``."""

import sys

from yuccadale_router._internal.cli import main

if __name__ == '__main__':
    sys.exit(main())
