"""Writes the key files of a cluster on loopback."""

import secrets
from pathlib import Path

from yuccadale_core.authority import generate_operator_key, save_operator_key

_OPERATOR = 'bench'


def write_keys(directory: Path) -> Path:
    """Writes the peer keys and the key pair of an operator.

    Returns:
        path of the operator's private key.
    """
    (directory / 'peer-keys').write_text(f'{secrets.token_hex(32)}\n')
    operator_key = generate_operator_key(_OPERATOR)
    private_path = directory / 'operator-private-key'
    save_operator_key(operator_key, private_path)
    (directory / 'operator-keys').write_text(f'{operator_key.public_line}\n')
    return private_path
