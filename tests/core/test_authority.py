"""Only listed operators can submit, and only exactly what they signed."""

import os
import stat
from pathlib import Path

import msgspec
import pytest

from yuccadale_core.authority import (
    KeyFileError,
    OperatorKeys,
    Submission,
    generate_operator_key,
    load_operator_key,
    save_operator_key,
)

_SUBMISSION = Submission('intent', 3, 'w-1', 'ana', 'text')


def _key_file(tmp_path: Path, *lines: str) -> Path:
    path = tmp_path / 'operators'
    path.write_text('\n'.join(lines), encoding='ascii')
    return path


@pytest.mark.parametrize(
    ('field', 'changed'),
    [
        ('scope', 'places'),
        ('base_revision', 4),
        ('write_id', 'w-2'),
        ('operator', 'rui'),
        ('text', 'other'),
        ('lost_confirmed', True),
    ],
)
def test_each_field_is_signed(
    tmp_path: Path, field: str, changed: object
) -> None:
    """Guards against a signature that is valid for changed content."""
    ana = generate_operator_key('ana')
    rui = generate_operator_key('rui')
    keys = OperatorKeys(_key_file(tmp_path, ana.public_line, rui.public_line))
    signed = ana.sign(_SUBMISSION)
    assert keys.verifies(signed)
    altered = msgspec.structs.replace(_SUBMISSION, **{field: changed})
    assert not keys.verifies(
        msgspec.structs.replace(signed, submission=altered)
    )


@pytest.mark.parametrize('signature', ['', 'A', '!', 'é', 'AAAA'])
def test_malformed_signature_is_refused(tmp_path: Path, signature: str) -> None:
    """Guards against an exception caused by malformed input."""
    ana = generate_operator_key('ana')
    keys = OperatorKeys(_key_file(tmp_path, ana.public_line))
    signed = msgspec.structs.replace(ana.sign(_SUBMISSION), signature=signature)
    assert not keys.verifies(signed)


def test_changed_key_file_takes_effect(tmp_path: Path) -> None:
    """Guards against a removed key that stays valid until a restart."""
    ana = generate_operator_key('ana')
    rui = generate_operator_key('rui')
    path = _key_file(tmp_path, ana.public_line)
    keys = OperatorKeys(path)
    path.write_text(f'# on duty\n{rui.public_line}\n', encoding='ascii')
    os.utime(path, ns=(1, 1))
    assert not keys.verifies(ana.sign(_SUBMISSION))
    by_rui = msgspec.structs.replace(_SUBMISSION, operator='rui')
    assert keys.verifies(rui.sign(by_rui))
    path.write_text('rui half-written', encoding='ascii')
    os.utime(path, ns=(2, 2))
    assert keys.verifies(rui.sign(by_rui))
    with pytest.raises(KeyFileError, match='operators:1'):
        keys.reload()
    path.unlink()
    assert not keys.verifies(rui.sign(by_rui))


def test_private_key_file_is_private_and_not_replaced(tmp_path: Path) -> None:
    """Guards against a key that others can read or that is overwritten."""
    path = tmp_path / 'ana.key'
    ana = generate_operator_key('ana')
    save_operator_key(ana, path)
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert load_operator_key(path).public_line == ana.public_line
    with pytest.raises(FileExistsError):
        save_operator_key(ana, path)
    with pytest.raises(KeyFileError, match='absent'):
        load_operator_key(tmp_path / 'absent')
