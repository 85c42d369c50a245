"""Maps keys to slots by hashing."""

import xxhash


def slot_of_key(key: str, slot_count: int) -> int:
    """Returns the slot of a key, from 0 to ``slot_count - 1``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slot_count
