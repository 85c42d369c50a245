"""Entry point of ``yuccadale``."""

from yuccadale._internal.cli import main

if __name__ == '__main__':
    main()
