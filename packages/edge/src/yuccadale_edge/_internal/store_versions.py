"""Versions of the store, in an order that holds across its restores.

The store numbers its transactions. When it is restored from an older copy, the
numbers after the copy are given out again, for other transactions. A version
here holds the era, which rises with each restore, above the number: of two
versions the larger one is the later one, and equal ones name the same
transaction.
"""

_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
MAX_NUMBER = _NUMBER_MASK
# Versions fit into 63 bits, as messages between instances need.
MAX_ERA = (1 << 22) - 1
# The era of a store that was never restored; 0 in one without eras.
FIRST_ERA = 1


def store_version(era: int, number: int) -> int:
    """Returns the version of a transaction.

    Args:
        era: at most ``MAX_ERA``.
        number: of the transaction within the era, at most ``MAX_NUMBER``.
    """
    return (era << _NUMBER_BITS) + number


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Returns the number that the store gave a transaction in its era."""
    return version & _NUMBER_MASK


def version_text(version: int) -> str:
    """Returns a version for logs, as era and number."""
    return f'{era_of(version)}.{number_of(version)}'
