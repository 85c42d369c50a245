"""Hashes that are the same on every instance and in every run."""

import xxhash

HASH_SPACE = 1 << 64


def stable_hash(text: str) -> int:
    """Returns a uniformly distributed 64-bit hash of the text."""
    return xxhash.xxh3_64_intdigest(text.encode())
