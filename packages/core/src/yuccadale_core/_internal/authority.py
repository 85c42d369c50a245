"""Authentication of operators: Ed25519 signatures over submissions."""

import base64
import binascii
import os
from pathlib import Path

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

# Domain separation: part of the signed bytes, so that a signature over other
# data is never valid for a submission.
_SIGNATURE_CONTEXT = 'yuccadale submission 1'
_PRIVATE_KEY_MODE = 0o600


class KeyFileError(Exception):
    """An invalid key file; the message names the file and the line."""


class Submission(msgspec.Struct, frozen=True):
    """A new revision of one scope, as an operator submits it.

    Attributes:
        scope: ``service.<name>``, ``places`` or ``intent``.
        base_revision: the revision in force that it replaces, 0 for none.
        write_id: unique id of the submission, which makes it idempotent.
        operator: name of the key that signs.
        text: content of the INI file.
        lost_confirmed: whether the operator confirmed that everything newly
            declared lost is stopped.
    """

    scope: str
    base_revision: int
    write_id: str
    operator: str
    text: str
    lost_confirmed: bool = False


class SignedSubmission(msgspec.Struct, frozen=True):
    """A submission with its signature in base64."""

    submission: Submission
    signature: str


class OperatorKey:
    """An operator's private key."""

    def __init__(self, name: str, private_key: Ed25519PrivateKey) -> None:
        self.name = name
        self._private_key = private_key

    @property
    def public_line(self) -> str:
        """The line ``name base64key`` for the instances' operator key file."""
        public_bytes = self._private_key.public_key().public_bytes_raw()
        return f'{self.name} {_to_base64(public_bytes)}'

    @property
    def private_line(self) -> str:
        """The content of the private key file."""
        return (
            f'{self.name} {_to_base64(self._private_key.private_bytes_raw())}'
        )

    def sign(self, submission: Submission) -> SignedSubmission:
        """Signs a submission whose ``operator`` is the name of this key."""
        signature = self._private_key.sign(_signed_bytes(submission))
        return SignedSubmission(submission, _to_base64(signature))


class OperatorKeys:
    """Public keys from a file with one ``name base64key`` per line.

    The file is reloaded when it changes. If the new content is invalid, the
    earlier keys stay valid, so that a partly written file locks no operator
    out. If the file is missing, no operator is authorised.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file_version = (-1, -1)
        self._key_by_name: dict[str, Ed25519PublicKey] = {}
        self.reload()

    def reload(self) -> bool:
        """Reloads the file if it changed; returns whether it did.

        Raises ``KeyFileError`` when a line is malformed.
        """
        try:
            status = self._path.stat()
        except FileNotFoundError:
            self._key_by_name = {}
            self._file_version = (-1, -1)
            return False
        file_version = (status.st_mtime_ns, status.st_size)
        if file_version == self._file_version:
            return False
        key_by_name = {
            name: Ed25519PublicKey.from_public_bytes(key)
            for name, key in _read_keys(self._path)
        }
        self._key_by_name = key_by_name
        self._file_version = file_version
        return True

    def verifies(self, signed: SignedSubmission) -> bool:
        """Returns whether the signature of the named operator is valid."""
        try:
            self.reload()
        except (KeyFileError, OSError):
            # Falls back to the keys of the last valid file.
            return self._has_valid_signature(signed)
        return self._has_valid_signature(signed)

    def _has_valid_signature(self, signed: SignedSubmission) -> bool:
        key = self._key_by_name.get(signed.submission.operator)
        if key is None:
            return False
        try:
            key.verify(
                base64.b64decode(signed.signature, validate=True),
                _signed_bytes(signed.submission),
            )
        except (InvalidSignature, ValueError):
            return False
        return True


def generate_operator_key(name: str) -> OperatorKey:
    """Generates a new key pair."""
    return OperatorKey(name, Ed25519PrivateKey.generate())


def save_operator_key(key: OperatorKey, path: Path) -> None:
    """Writes the private key file with access for its owner only.

    Raises ``FileExistsError`` if the file exists.
    """
    descriptor = os.open(
        path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, _PRIVATE_KEY_MODE
    )
    with os.fdopen(descriptor, 'w', encoding='ascii') as key_file:
        key_file.write(f'{key.private_line}\n')


def load_operator_key(path: Path) -> OperatorKey:
    """Reads a private key file; raises ``KeyFileError``."""
    try:
        lines = _read_keys(path)
    except OSError as error:
        raise KeyFileError(f'{path}: {error.strerror}') from error
    if len(lines) != 1:
        raise KeyFileError(
            f'{path}: expected exactly one line "name base64key"'
        )
    name, private_bytes = lines[0]
    return OperatorKey(
        name, Ed25519PrivateKey.from_private_bytes(private_bytes)
    )


def _read_keys(path: Path) -> list[tuple[str, bytes]]:
    text = path.read_bytes().decode('ascii', errors='replace')
    return [
        _parse_key_line(path, number, line)
        for number, line in enumerate(text.splitlines(), start=1)
        if line.strip() and not line.startswith('#')
    ]


def _parse_key_line(path: Path, number: int, line: str) -> tuple[str, bytes]:
    name, _, encoded = line.strip().partition(' ')
    try:
        key = base64.b64decode(encoded.strip(), validate=True)
    except binascii.Error:
        key = b''
    if len(key) != 32:
        raise KeyFileError(
            f'{path}:{number}: expected "name base64key" with a 32-byte key'
        )
    return name, key


def _signed_bytes(submission: Submission) -> bytes:
    return msgspec.msgpack.encode(
        [_SIGNATURE_CONTEXT, *msgspec.structs.astuple(submission)]
    )


def _to_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode('ascii')
