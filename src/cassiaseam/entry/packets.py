"""Conversion of result sets and errors to the form that `mysql_mimic` sends."""

import datetime
import struct
from typing import Any

from mysql_mimic.charset import CharacterSet
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.results import ResultColumn
from mysql_mimic.results import ResultSet as SentResultSet
from mysql_mimic.types import Capabilities, ColumnType, str_len, uint_1

from cassiaseam.errors import RESPONSES, ErrorKind, RequestError
from cassiaseam.messages import ResultSet

_KIND_BY_ERROR_CODE = {
    ErrorCode.ACCESS_DENIED_ERROR: ErrorKind.ACCESS_DENIED,
    ErrorCode.USER_DOES_NOT_EXIST: ErrorKind.ACCESS_DENIED,
    ErrorCode.PARSE_ERROR: ErrorKind.BAD_SQL,
    ErrorCode.EMPTY_QUERY: ErrorKind.BAD_SQL,
    ErrorCode.NOT_SUPPORTED_YET: ErrorKind.UNSUPPORTED,
    ErrorCode.UNKNOWN_COM_ERROR: ErrorKind.UNSUPPORTED,
    ErrorCode.UNKNOWN_ERROR: ErrorKind.BAD_REQUEST,
}
_UNSUPPORTED_COLUMN_TYPES = frozenset(
    (
        ColumnType.NULL,
        ColumnType.INVALID,
        ColumnType.TIMESTAMP2,
        ColumnType.DATETIME2,
        ColumnType.TIME2,
        ColumnType.TYPED_ARRAY,
        ColumnType.NEWDATE,
        ColumnType.BOOL,
    )
)
_DATE_TYPES = frozenset((ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP))
_INTEGER_WIDTH_BYTES = {
    ColumnType.TINY: 1,
    ColumnType.SHORT: 2,
    ColumnType.YEAR: 2,
    ColumnType.INT24: 4,
    ColumnType.LONG: 4,
    ColumnType.LONGLONG: 8,
}
_UNICODE_CHARSETS = frozenset((CharacterSet.utf8mb4, CharacterSet.utf8))
_COLUMN_TYPE_BY_CODE = {int(column_type): column_type for column_type in ColumnType}


class CallerError(MysqlError):
    """Error that is reported to the caller.

    Attributes:
        request_error: Kind and message of the error.
    """

    def __init__(self, request_error: RequestError):
        super().__init__(request_error.format_for_caller())
        self.request_error = request_error


def convert_error(error: Exception) -> RequestError:
    """Convert an exception raised by a command to a request error."""
    if isinstance(error, CallerError):
        return error.request_error
    if isinstance(error, MysqlError):
        kind = _KIND_BY_ERROR_CODE.get(error.code, ErrorKind.BAD_REQUEST)
        return RequestError(kind, str(error.msg), mysql_code=int(error.code))
    message = f'malformed or unsupported command: {type(error).__name__}'
    return RequestError(ErrorKind.BAD_REQUEST, message)


def make_error_packet(error: RequestError, capabilities: Capabilities) -> bytes:
    """Encode a request error as an ERR packet."""
    row = RESPONSES[error.kind]
    code = error.mysql_code or row.mysql_code
    parts = [b'\xff', struct.pack('<H', code)]
    if Capabilities.CLIENT_PROTOCOL_41 in capabilities:
        parts.append(b'#')
        parts.append(row.sqlstate.encode())
    parts.append(error.format_for_caller().encode())
    return b''.join(parts)


def convert_result_set(result_set: ResultSet, charset: CharacterSet) -> SentResultSet:
    """Convert the rows of a target to a result set of `mysql_mimic`.

    Args:
        result_set: Rows whose text values are `str`.
        charset: Character set of the caller; unsupported characters become `?`, because an
            encoding error between two rows would break the protocol.
    """
    types = result_set.column_types
    rows = result_set.rows
    columns = []
    for number, name in enumerate(result_set.columns):
        code = types[number] if number < len(types) else None
        columns.append(_build_column(name, code, rows, number, charset))
    if charset not in _UNICODE_CHARSETS:
        rows = tuple(_encode_row(row, charset.codec) for row in rows)
    return SentResultSet(rows=rows, columns=columns)


def _encode_row(row: tuple, codec: str) -> tuple:
    return tuple(
        field.encode(codec, 'replace') if isinstance(field, str) else field for field in row
    )


def _build_column(
    name: str, code: int | None, rows: tuple, number: int, text_charset: CharacterSet
) -> ResultColumn:
    sample = next((row[number] for row in rows if row[number] is not None), None)
    column_type = _COLUMN_TYPE_BY_CODE.get(code) if code is not None else None
    if column_type is None:
        column_type = _infer_type(sample)
    if column_type in _UNSUPPORTED_COLUMN_TYPES:
        column_type = ColumnType.VAR_STRING
    charset = CharacterSet.binary if isinstance(sample, bytes) else text_charset
    if column_type in _INTEGER_WIDTH_BYTES and not isinstance(sample, int | None):
        column_type = ColumnType.VAR_STRING
    encoder: Any = None
    if column_type in _INTEGER_WIDTH_BYTES:
        encoder = _encode_integer
    elif column_type in _DATE_TYPES:
        encoder = _encode_date
    elif column_type is ColumnType.TIME:
        encoder = _encode_time
    return ResultColumn(name, column_type, charset, binary_encoder=encoder)


def _infer_type(sample: Any) -> ColumnType:
    if isinstance(sample, int):
        return ColumnType.LONGLONG
    if isinstance(sample, float):
        return ColumnType.DOUBLE
    return ColumnType.BLOB if isinstance(sample, bytes) else ColumnType.VAR_STRING


def _encode_integer(column: ResultColumn, number: Any) -> bytes:
    width = _INTEGER_WIDTH_BYTES[column.type]
    mask = (1 << (8 * width)) - 1
    return (int(number) & mask).to_bytes(width, 'little')


def _encode_date(column: ResultColumn, moment: Any) -> bytes:
    try:
        parsed = datetime.datetime.fromisoformat(str(moment))  # noqa: DTZ007
    except ValueError:
        # MySQL allows '0000-00-00', which `datetime` cannot represent; zero length encodes it.
        return uint_1(0)
    date = struct.pack('<HBB', parsed.year, parsed.month, parsed.day)
    if column.type is ColumnType.DATE:
        return str_len(date)
    clock = struct.pack('<BBBI', parsed.hour, parsed.minute, parsed.second, parsed.microsecond)
    return str_len(date + clock)


def _encode_time(_column: ResultColumn, moment: Any) -> bytes:
    text = str(moment)
    negative = text.startswith('-')
    clock, _, fraction = text.lstrip('-').partition('.')
    hours, minutes, seconds = (int(part) for part in clock.split(':'))
    micros = int(fraction.ljust(6, '0')[:6])
    days, hour = divmod(hours, 24)
    return str_len(struct.pack('<BIBBBI', negative, days, hour, minutes, seconds, micros))
