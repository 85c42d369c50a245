"""Parses INI text into sections and entries with line numbers.

``configparser`` stops at some syntax errors and keeps no line numbers. This
parser reports all errors of a file at once, each with its line.
"""

import re
from dataclasses import dataclass, field

TEXT_LIMIT_BYTES = 256 * 1024

_SECTION = re.compile(r'\[([A-Za-z0-9_.-]+)\]')
_ENTRY = re.compile(r'([A-Za-z0-9_.-]+)\s*=\s*(.*)')
_WHITESPACE = ' \t\r'


@dataclass(frozen=True, slots=True)
class DeclarationError:
    """One error in a declaration.

    Attributes:
        file: file name as given by the operator.
        line: line number from 1, 0 for the whole file.
        section: section name without brackets, empty outside of a section.
        key: key in the section, empty for the section itself.
        found: the invalid text, empty when something is missing.
        allowed: description of the allowed values.
    """

    file: str
    line: int
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Returns a one-line message."""
        location = f'{self.file}:{self.line}:'
        if self.section:
            location = f'{location} [{self.section}]'
        if self.key:
            location = f'{location} {self.key}:'
        found = ascii(self.found) if self.found else 'nothing'
        return f'{location} found {found}, allowed: {self.allowed}'


@dataclass(frozen=True, slots=True)
class Entry:
    """A value and its line number."""

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
    """The sections of one file and the errors found in it."""

    file: str
    section_by_name: dict[str, Section] = field(default_factory=dict)
    errors: list[DeclarationError] = field(default_factory=list)

    def line_of(self, section_name: str, key: str = '') -> int:
        """Returns the line of the key or, if absent, of its section, or 0."""
        section = self.section_by_name.get(section_name)
        if section is None:
            return 0
        entry = section.entry_by_key.get(key)
        return section.line if entry is None else entry.line

    def add_error(
        self, section_name: str, key: str, found: str, allowed: str
    ) -> None:
        """Adds an error at the line of a section or key."""
        line = self.line_of(section_name, key)
        self.errors.append(
            DeclarationError(self.file, line, section_name, key, found, allowed)
        )


class _Scanner:
    """Parses line by line and keeps track of the current section."""

    def __init__(self, ini_text: IniText) -> None:
        self._ini_text = ini_text
        self._section = Section('', 0)

    def scan_line(self, number: int, line: str) -> None:
        """Parses one line of the file."""
        if not line or line[0] in '#;':
            return
        section = _SECTION.fullmatch(line)
        entry = _ENTRY.fullmatch(line)
        if section is not None:
            self._open_section(number, section.group(1))
        elif entry is None:
            self._add_error(
                number, '', line, '[section], key = value or # text'
            )
        else:
            self._add_entry(number, entry.group(1), entry.group(2))

    def _open_section(self, number: int, name: str) -> None:
        self._section = Section(name, number)
        if name in self._ini_text.section_by_name:
            self._add_error(number, '', f'[{name}]', 'each section once')
        else:
            self._ini_text.section_by_name[name] = self._section

    def _add_entry(self, number: int, key: str, text: str) -> None:
        if not self._section.name:
            self._add_error(number, key, text, 'keys stand below a [section]')
        elif key in self._section.entry_by_key:
            self._add_error(number, key, text, 'each key once in its section')
        else:
            self._section.entry_by_key[key] = Entry(text, number)

    def _add_error(
        self, number: int, key: str, found: str, allowed: str
    ) -> None:
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
    """Parses the text; syntax errors are in ``errors`` of the result."""
    ini_text = IniText(file_name)
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        line_number = text.count('\n', 0, error.start) + 1
        found = text[error.start : error.end]
        ini_text.errors.append(
            DeclarationError(
                file_name, line_number, '', '', found, 'UTF-8 text'
            )
        )
        return ini_text
    if size > TEXT_LIMIT_BYTES:
        ini_text.add_error(
            '', '', f'{size} bytes', f'at most {TEXT_LIMIT_BYTES} bytes'
        )
        return ini_text
    scanner = _Scanner(ini_text)
    for number, line in enumerate(text.split('\n'), start=1):
        scanner.scan_line(number, line.strip(_WHITESPACE))
    return ini_text
