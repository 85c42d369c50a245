"""Stable hashes for placement; equal on every instance and in every run."""

import xxhash

HASH_SPACE = 1 << 64


def stable_hash(text: str) -> int:
    """Returns a uniform 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())
