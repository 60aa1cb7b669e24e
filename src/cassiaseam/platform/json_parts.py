"""Decodes JSON answers so that a part that cannot be decoded costs only itself.

An answer holds entries of several writers. One of them may be nested too deeply, hold a number of
too many digits, or bytes that are no UTF-8. The answer is decoded at once where that is possible,
and otherwise part by part, with the decoder of the standard library for each part.
"""

import json
import re
from dataclasses import dataclass
from typing import Any

# Fields of an object whose own fields are decoded one by one too: the name and the revision of an
# object are known even if another field beside them cannot be decoded.
_SPLIT_FIELDS = frozenset(('meta',))
_DECODER = json.JSONDecoder()
_SPACE = re.compile(r'[ \t\n\r]*')
_STRING = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
_SCALAR = re.compile(r'[^,\[\]{}"]+')
# Brackets after any number of strings and scalars. A quote that begins no complete string ends the
# scan, which would be quadratic otherwise.
_BRACKETS = re.compile(rf'(?:[^\[\]{{}}"]++|{_STRING.pattern})*+([\[{{]+|[\]}}]+|"|\Z)', re.DOTALL)
# What the error handler `surrogateescape` makes of bytes that are no UTF-8.
_ESCAPED_BYTE = re.compile('[\udc80-\udcff]')


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Stands for a part that cannot be decoded; no model accepts it.

    Attributes:
        reason: Why it cannot be decoded.
    """

    reason: str


def decode_parts(body: bytes, levels: int) -> Any:
    """Return the decoded value of a JSON text; what cannot be decoded is `Unreadable`.

    Args:
        body: JSON text.
        levels: Number of levels of arrays and objects whose parts are decoded one by one if the
            text cannot be decoded as a whole.
    """
    try:
        return json.loads(body.decode())
    except (ValueError, RecursionError) as error:
        reason = describe_error(error)
    try:
        return _PartReader(body.decode('utf-8', 'surrogateescape')).read(levels)
    except ValueError:
        # The parts cannot be told apart.
        return Unreadable(reason)


def describe_error(error: Exception) -> str:
    """Return why a text cannot be decoded, without its content."""
    if isinstance(error, RecursionError):
        return 'nested too deeply'
    if isinstance(error, UnicodeDecodeError):
        return 'bytes that are no UTF-8'
    return error.msg if isinstance(error, json.JSONDecodeError) else 'a number of too many digits'


class _PartReader:
    """Reads the parts of one text."""

    def __init__(self, text: str):
        self.text = text

    def read(self, levels: int) -> Any:
        """Return the value of the whole text.

        Raises:
            ValueError: The parts cannot be told apart.
        """
        value, end = self._read_value(self._skip_space(0), levels)
        if self._skip_space(end) < len(self.text):
            raise ValueError('text after the value')
        return value

    def _read_value(self, start: int, levels: int) -> tuple[Any, int]:
        try:
            value, end = _DECODER.raw_decode(self.text, start)
        except (ValueError, RecursionError) as error:
            reason = describe_error(error)
        else:
            if not _ESCAPED_BYTE.search(self.text, start, end):
                return value, end
            reason = 'bytes that are no UTF-8'
        first = self.text[start : start + 1]
        if levels and first == '[':
            return self._read_array(start, levels - 1)
        if levels and first == '{':
            return self._read_object(start, levels - 1)
        return Unreadable(reason), self._skip_value(start)

    def _read_array(self, start: int, levels: int) -> tuple[list[Any], int]:
        values: list[Any] = []
        at = self._skip_space(start + 1)
        if self.text[at : at + 1] == ']':
            return values, at + 1
        while True:
            value, at = self._read_value(at, levels)
            values.append(value)
            at, is_last = self._skip_separator(at, ']')
            if is_last:
                return values, at

    def _read_object(self, start: int, levels: int) -> tuple[dict[str, Any], int]:
        fields: dict[str, Any] = {}
        at = self._skip_space(start + 1)
        if self.text[at : at + 1] == '}':
            return fields, at + 1
        while True:
            end = self._skip_string(at)
            name = self.text[at + 1 : end - 1]
            at = self._skip_space(end)
            if self.text[at : at + 1] != ':':
                raise ValueError('a field without a value')
            split = 1 if name in _SPLIT_FIELDS else 0
            fields[name], at = self._read_value(self._skip_space(at + 1), max(levels, split))
            at, is_last = self._skip_separator(at, '}')
            if is_last:
                return fields, at

    def _skip_separator(self, at: int, closing: str) -> tuple[int, bool]:
        """Return the start of the next part, and whether there is none."""
        at = self._skip_space(at)
        mark = self.text[at : at + 1]
        if mark == closing:
            return at + 1, True
        if mark != ',':
            raise ValueError('parts that are not separated')
        return self._skip_space(at + 1), False

    def _skip_space(self, at: int) -> int:
        return _SPACE.match(self.text, at).end()

    def _skip_string(self, at: int) -> int:
        found = _STRING.match(self.text, at)
        if found is None:
            raise ValueError('a string without an end')
        return found.end()

    def _skip_value(self, start: int) -> int:
        """Return the end of a value without decoding it.

        Raises:
            ValueError: It has no end.
        """
        first = self.text[start : start + 1]
        if first == '"':
            return self._skip_string(start)
        if first not in {'[', '{'}:
            found = _SCALAR.match(self.text, start)
            if found is None:
                raise ValueError('no value')
            return found.end()
        depth = 0
        for found in _BRACKETS.finditer(self.text, start):
            brackets = found[1]
            if brackets[:1] in {'[', '{'}:
                depth += len(brackets)
            elif brackets[:1] not in {']', '}'}:
                break
            elif len(brackets) >= depth:
                return found.start(1) + depth
            else:
                depth -= len(brackets)
        raise ValueError('a string or brackets without an end')
