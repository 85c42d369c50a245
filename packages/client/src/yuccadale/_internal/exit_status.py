"""Exit statuses of ``yuccadale``."""

OK = 0
# ``diff`` found a difference.
DIFFERENT = 1
USAGE = 2
INVALID_DECLARATION = 3
# Another submission came first.
OUTDATED = 4
NOT_FOUND = 5
NOT_AUTHORISED = 6
PLATFORM_DOWN = 7
UNREACHABLE = 8
# The submission may or may not be committed; repeat it with its id.
OUTCOME_UNKNOWN = 9
# Committed, but not in force everywhere in time.
NOT_EVERYWHERE = 10
NEEDS_CONFIRMATION = 11
REFUSED = 12
