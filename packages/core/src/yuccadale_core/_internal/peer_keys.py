"""Keyed MACs for batches between instances."""

import hashlib
import hmac
from pathlib import Path

_MAC_BYTES = 16
_KEY_ID_BYTES = 4
_HEADER_BYTES = _MAC_BYTES + _KEY_ID_BYTES


class PeerKeys:
    """Peer keys from a file with one key per line; the first key signs.

    Every listed key is accepted, so that keys can be rotated without downtime:
    append the new key on all instances, then move it to the first line on all
    instances, then remove the old key.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_ns = -1
        self._key_by_id: dict[bytes, bytes] = {}
        self._signing_key_id = b''
        self.reload()

    def reload(self) -> bool:
        """Reloads the file if it changed; returns whether it did.

        Raises ``ValueError`` when the file has no key.
        """
        modified_ns = self._path.stat().st_mtime_ns
        if modified_ns == self._modified_ns:
            return False
        lines = self._path.read_text(encoding='utf-8').split()
        keys = [line.encode() for line in lines]
        if not keys:
            raise ValueError(f'{self._path}: the file contains no peer key')
        self._key_by_id = {_key_id(key): key for key in keys}
        self._signing_key_id = _key_id(keys[0])
        self._modified_ns = modified_ns
        return True

    def seal(self, encoded: bytes) -> bytes:
        """Returns key id, MAC and the encoded bytes."""
        key = self._key_by_id[self._signing_key_id]
        return self._signing_key_id + _mac(key, encoded) + encoded

    def open(self, sealed: bytes) -> bytes | None:
        """Returns the encoded bytes, or None when the MAC is not valid."""
        key = self._key_by_id.get(sealed[:_KEY_ID_BYTES])
        if key is None:
            return None
        encoded = sealed[_HEADER_BYTES:]
        received_mac = sealed[_KEY_ID_BYTES:_HEADER_BYTES]
        if not hmac.compare_digest(received_mac, _mac(key, encoded)):
            return None
        return encoded


def _key_id(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=_KEY_ID_BYTES).digest()


def _mac(key: bytes, encoded: bytes) -> bytes:
    return hashlib.blake2b(
        encoded, key=key[:64], digest_size=_MAC_BYTES
    ).digest()
