"""``yuccadale keygen``: generates an operator's key pair."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from yuccadale._internal import exit_status
from yuccadale._internal.command import OfflineCommand, Report
from yuccadale._internal.failures import CommandFailure


class KeygenCommand(OfflineCommand):
    """Writes the private key file and prints the public line."""

    name = 'keygen'
    arguments: ClassVar[list[Argument]] = [
        argument('operator', 'Name of the operator.'),
        argument('file', 'Private key file to write; must not exist.'),
    ]
    examples: ClassVar[list[str]] = ['keygen ana ~/.yuccadale.key']

    def report(self) -> Report:
        """Generates the keys; only the file owner may read the private key."""
        from yuccadale_core.authority import (
            generate_operator_key,
            save_operator_key,
        )

        operator = self.argument('operator')
        if len(operator.split()) != 1:
            raise CommandFailure(
                exit_status.USAGE,
                ['The operator name must be one word without spaces.'],
            )
        key = generate_operator_key(operator)
        path = Path(self.argument('file')).expanduser()
        try:
            save_operator_key(key, path)
        except OSError as error:
            raise CommandFailure(
                exit_status.USAGE, [f'{path}: {error.strerror}']
            ) from error
        return Report(
            {'private_key_file': str(path), 'public_line': key.public_line},
            [
                f'Private key: {path}',
                'Add this line to the operator_keys file of the instances:',
                key.public_line,
            ],
        )


COMMAND = KeygenCommand
