"""Entry point of ``yuccadaled``."""

import sys

from yuccadale_core.standard_streams import open_standard_streams
from yuccadale_router._internal.cli import main

if __name__ == '__main__':
    open_standard_streams()
    sys.exit(main())
