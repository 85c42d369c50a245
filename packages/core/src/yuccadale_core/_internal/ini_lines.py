"""Splits INI text into sections and entries, each with its line number.

``configparser`` stops at the first malformed line and keeps no line numbers;
operators get all errors of a file at once, each with its line.
"""

import re
from dataclasses import dataclass, field

TEXT_LIMIT_BYTES = 256 * 1024

_SECTION = re.compile(r'\[([A-Za-z0-9_.-]+)\]')
_ENTRY = re.compile(r'([A-Za-z0-9_.-]+)\s*=\s*(.*)')
_WHITESPACE = ' \t\r'


@dataclass(frozen=True, slots=True)
class DeclarationError:
    """One fault of a declaration.

    Attributes:
        file: file name as the operator gave it.
        line: line number from 1, or 0 when the whole file is meant.
        section: section name without brackets, empty outside of one.
        key: key inside the section, empty when the section is meant.
        found: the text that is at fault, empty when something is missing.
        allowed: what may stand there.
    """

    file: str
    line: int
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Returns one line for people."""
        place = f'{self.file}:{self.line}:'
        if self.section:
            place = f'{place} [{self.section}]'
        if self.key:
            place = f'{place} {self.key}:'
        found = ascii(self.found) if self.found else 'nothing'
        return f'{place} found {found}, allowed: {self.allowed}'


@dataclass(frozen=True, slots=True)
class Entry:
    """A value and the line that it stands on."""

    text: str
    line: int


@dataclass(frozen=True, slots=True)
class Section:
    """A section with its entries in the order of the file."""

    name: str
    line: int
    entry_by_key: dict[str, Entry] = field(default_factory=dict)

    def values(self) -> dict[str, str]:
        """Returns the values by key."""
        return {key: entry.text for key, entry in self.entry_by_key.items()}


@dataclass(slots=True)
class IniText:
    """What one file contains, with all faults of its form."""

    file: str
    section_by_name: dict[str, Section] = field(default_factory=dict)
    errors: list[DeclarationError] = field(default_factory=list)

    def line_of(self, section_name: str, key: str = '') -> int:
        """Returns the line of a key, else of its section, else 0."""
        section = self.section_by_name.get(section_name)
        if section is None:
            return 0
        entry = section.entry_by_key.get(key)
        return section.line if entry is None else entry.line

    def reject(
        self, section_name: str, key: str, found: str, allowed: str
    ) -> None:
        """Adds an error at a section or key."""
        line = self.line_of(section_name, key)
        self.errors.append(
            DeclarationError(self.file, line, section_name, key, found, allowed)
        )


class _Scanner:
    """Reads line by line and remembers the section that it is in."""

    def __init__(self, ini_text: IniText) -> None:
        self._ini_text = ini_text
        self._section = Section('', 0)

    def take_line(self, number: int, line: str) -> None:
        """Adds one line of the file."""
        if not line or line[0] in '#;':
            return
        section = _SECTION.fullmatch(line)
        entry = _ENTRY.fullmatch(line)
        if section is not None:
            self._open_section(number, section.group(1))
        elif entry is None:
            self._reject(number, '', line, '[section], key = value or # text')
        else:
            self._add_entry(number, entry.group(1), entry.group(2))

    def _open_section(self, number: int, name: str) -> None:
        self._section = Section(name, number)
        if name in self._ini_text.section_by_name:
            self._reject(number, '', f'[{name}]', 'each section once')
        else:
            self._ini_text.section_by_name[name] = self._section

    def _add_entry(self, number: int, key: str, text: str) -> None:
        if not self._section.name:
            self._reject(number, key, text, 'keys stand below a [section]')
        elif key in self._section.entry_by_key:
            self._reject(number, key, text, 'each key once in its section')
        else:
            self._section.entry_by_key[key] = Entry(text, number)

    def _reject(self, number: int, key: str, found: str, allowed: str) -> None:
        self._ini_text.errors.append(
            DeclarationError(
                self._ini_text.file,
                number,
                self._section.name,
                key,
                found,
                allowed,
            )
        )


def scan_ini(text: str, file_name: str) -> IniText:
    """Splits the text; faults of form are in ``errors``, nothing is raised."""
    ini_text = IniText(file_name)
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        number_of_line = text.count('\n', 0, error.start) + 1
        found = text[error.start : error.end]
        ini_text.errors.append(
            DeclarationError(
                file_name, number_of_line, '', '', found, 'UTF-8 text'
            )
        )
        return ini_text
    if size > TEXT_LIMIT_BYTES:
        ini_text.reject(
            '', '', f'{size} bytes', f'at most {TEXT_LIMIT_BYTES} bytes'
        )
        return ini_text
    scanner = _Scanner(ini_text)
    for number, line in enumerate(text.split('\n'), start=1):
        scanner.take_line(number, line.strip(_WHITESPACE))
    return ini_text
