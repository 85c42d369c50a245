"""Keyed MACs for batches between instances."""

import hashlib
import hmac
from pathlib import Path

_MAC_BYTES = 16
_KEY_ID_BYTES = 4
_PREFIX_BYTES = _MAC_BYTES + _KEY_ID_BYTES


class PeerKeys:
    """Peer keys from a file with one key a line, the first one signs.

    Any listed key is accepted, so that a key can be replaced without a stop:
    append the new key everywhere, put it first everywhere, remove the old.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_ns = -1
        self._key_by_id: dict[bytes, bytes] = {}
        self._first_id = b''
        self.reload()

    def reload(self) -> bool:
        """Reads the file again if it changed; returns whether it did."""
        modified_ns = self._path.stat().st_mtime_ns
        if modified_ns == self._modified_ns:
            return False
        lines = self._path.read_text(encoding='utf-8').split()
        keys = [line.encode() for line in lines]
        if not keys:
            raise ValueError(f'{self._path}: no peer key')
        self._key_by_id = {_key_id(key): key for key in keys}
        self._first_id = _key_id(keys[0])
        self._modified_ns = modified_ns
        return True

    def seal(self, encoded: bytes) -> bytes:
        """Returns key id, MAC and the encoded bytes."""
        key = self._key_by_id[self._first_id]
        return self._first_id + _mac(key, encoded) + encoded

    def open(self, sealed: bytes) -> bytes | None:
        """Returns the encoded bytes, or None when the MAC is not valid."""
        key = self._key_by_id.get(sealed[:_KEY_ID_BYTES])
        if key is None:
            return None
        encoded = sealed[_PREFIX_BYTES:]
        given = sealed[_KEY_ID_BYTES:_PREFIX_BYTES]
        if not hmac.compare_digest(given, _mac(key, encoded)):
            return None
        return encoded


def _key_id(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=_KEY_ID_BYTES).digest()


def _mac(key: bytes, encoded: bytes) -> bytes:
    return hashlib.blake2b(
        encoded, key=key[:64], digest_size=_MAC_BYTES
    ).digest()
