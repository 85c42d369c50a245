"""Exit statuses of ``yuccadaled``, as in ``sysexits.h``."""

OK = 0
SOFTWARE = 70
CANNOT_LISTEN = 71
BAD_SETTINGS = 78
