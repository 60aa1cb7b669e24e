"""Rendering of prepared statement parameters as escaped SQL literals.

`mysql_mimic` quotes string parameters without escaping them, which allows SQL injection through a
quote in a parameter. This module replaces that step.
"""

import io
import re
import struct
from dataclasses import dataclass, field

from mysql_mimic.charset import CharacterSet
from mysql_mimic.packets import _read_param_type, _read_param_value
from mysql_mimic.results import NullBitmap
from mysql_mimic.types import ColumnType, read_str_len, read_uint_1, read_uint_len

_PLACEHOLDER = re.compile(
    r"""'(?:[^'\\]+|\\.|'')*+(?:'|\Z)
    |"(?:[^"\\]+|\\.|"")*+(?:"|\Z)
    |`(?:[^`]+|``)*+(?:`|\Z)
    |/\*.*?(?:\*/|\Z)
    |(?:--(?=\s|\Z)|\#)[^\n]*
    |(?P<placeholder>\?)""",
    re.VERBOSE | re.DOTALL,
)
_STRING_TYPES = frozenset(
    (
        ColumnType.VARCHAR,
        ColumnType.VAR_STRING,
        ColumnType.STRING,
        ColumnType.BLOB,
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
        ColumnType.NEWDECIMAL,
        ColumnType.DECIMAL,
        ColumnType.JSON,
        ColumnType.ENUM,
        ColumnType.SET,
    )
)
_DATE_TYPES = frozenset((ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP))
_BACKSLASH = chr(92)
ParameterType = tuple[ColumnType, bool, str]


@dataclass(slots=True)
class StatementTemplate:
    """Text of a prepared statement, split at its placeholders.

    Attributes:
        parts: Texts around the placeholders; one more than the number of placeholders.
        types: Most recently bound parameter types; later executions may omit them.
    """

    parts: tuple[str, ...]
    types: list[ParameterType] = field(default_factory=list)

    def render(self, literals: list[str]) -> str:
        """Return the statement text with its placeholders replaced by literals."""
        texts = [self.parts[0]]
        for literal, part in zip(literals, self.parts[1:], strict=True):
            texts.append(literal)
            texts.append(part)
        return ''.join(texts)


def split_placeholders(sql: str) -> StatementTemplate:
    """Split a statement at its placeholders; `?` in a literal or comment is not one."""
    parts = []
    start = 0
    for match in _PLACEHOLDER.finditer(sql):
        if match.group('placeholder'):
            parts.append(sql[start : match.start()])
            start = match.end()
    parts.append(sql[start:])
    return StatementTemplate(tuple(parts))


def read_literals(
    reader: io.BytesIO,
    template: StatementTemplate,
    charset: CharacterSet,
    buffers: dict[int, bytearray],
    names_sent: bool,
) -> tuple[list[str], dict[str, str]]:
    """Decode the literals of the placeholders and the query attributes.

    Args:
        reader: COM_STMT_EXECUTE packet, positioned after the iteration count.
        template: Template of the statement; updated with newly bound types.
        charset: Character set of the caller.
        buffers: Values received by COM_STMT_SEND_LONG_DATA, by parameter number.
        names_sent: Whether the packet contains a parameter count and names (query attributes).

    Raises:
        ValueError: The packet does not match the statement.
    """
    placeholder_count = len(template.parts) - 1
    count = read_uint_len(reader) if names_sent else placeholder_count
    if count < placeholder_count or count > placeholder_count + 64:
        raise ValueError(f'{count} parameters for {placeholder_count} placeholders')
    if not count:
        return [], {}
    nulls = NullBitmap.from_buffer(reader, count)
    if read_uint_1(reader):
        template.types = _read_types(reader, count, charset, names_sent)
    if len(template.types) != count:
        raise ValueError(f'{len(template.types)} types bound for {count} parameters')
    literals = []
    for number, (column_type, unsigned, _) in enumerate(template.types):
        buffer = buffers.get(number)
        if nulls.is_flipped(number):
            literals.append('NULL')
        elif buffer is not None:
            literals.append(format_string_literal(bytes(buffer), charset))
        else:
            literals.append(_read_literal(reader, column_type, unsigned, charset))
    names = [name for _, _, name in template.types]
    attributes = dict(zip(names[placeholder_count:], literals[placeholder_count:], strict=True))
    return literals[:placeholder_count], {
        name: text.strip("'") for name, text in attributes.items()
    }


def format_string_literal(raw: bytes, charset: CharacterSet) -> str:
    """Return a quoted literal, or a hexadecimal one for bytes that `charset` cannot decode."""
    try:
        text = charset.decode(raw)
    except UnicodeDecodeError:
        return f"x'{raw.hex()}'"
    escaped = text.replace(_BACKSLASH, _BACKSLASH * 2).replace("'", "''")
    return f"'{escaped}'"


def _read_types(
    reader: io.BytesIO, count: int, charset: CharacterSet, names_sent: bool
) -> list[ParameterType]:
    types = []
    for _ in range(count):
        column_type, unsigned = _read_param_type(reader)
        name = charset.decode(read_str_len(reader)) if names_sent else ''
        types.append((column_type, unsigned, name))
    return types


def _read_literal(
    reader: io.BytesIO, column_type: ColumnType, unsigned: bool, charset: CharacterSet
) -> str:
    if column_type in _STRING_TYPES:
        return format_string_literal(read_str_len(reader), charset)
    if column_type in _DATE_TYPES:
        return _read_date(reader)
    if column_type is ColumnType.TIME:
        return _read_time(reader)
    number = _read_param_value(charset, reader, column_type, unsigned)
    return 'NULL' if number is None else repr(number)


def _read_date(reader: io.BytesIO) -> str:
    raw = reader.read(read_uint_1(reader)).ljust(11, b'\0')
    year, month, day = struct.unpack('<HBB', raw[:4])
    return f"'{year:04}-{month:02}-{day:02} {_format_time(raw[4:], 0)}'"


def _read_time(reader: io.BytesIO) -> str:
    raw = reader.read(read_uint_1(reader)).ljust(12, b'\0')
    negative, days = struct.unpack('<BI', raw[:5])
    sign = '-' if negative else ''
    return f"'{sign}{_format_time(raw[5:], days * 24)}'"


def _format_time(raw: bytes, extra_hours: int) -> str:
    hour, minute, second, micros = struct.unpack('<BBBI', raw[:7])
    return f'{hour + extra_hours:02}:{minute:02}:{second:02}.{micros:06}'
