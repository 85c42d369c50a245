"""Exit statuses of ``yuccadale``."""

OK = 0
# ``diff`` found a difference.
DIFFERENT = 1
USAGE = 2
INVALID_DECLARATION = 3
# Another submission was committed after the base revision.
OUTDATED = 4
NOT_FOUND = 5
NOT_AUTHORISED = 6
PLATFORM_DOWN = 7
UNREACHABLE = 8
# The submission may or may not be committed; retry it with the same id.
OUTCOME_UNKNOWN = 9
# Committed, but not in force on all instances within the timeout.
NOT_EVERYWHERE = 10
NEEDS_CONFIRMATION = 11
REFUSED = 12
