"""Columnar codec of the rows of a result set."""

from collections.abc import Iterator
from typing import Any

from cassiaseam.peers.schema import decode_text, encode_text

KIND_NULL = 0
KIND_INT = 1
KIND_FLOAT = 2
KIND_TEXT = 3
KIND_BYTES = 4
KIND_BIG_INT = 5

_INT64_LIMIT = 2**63

Rows = tuple[tuple[Any, ...], ...]


def find_kind(row_value: Any) -> int:
    """Return the wire kind of a value.

    Raises:
        TypeError: `ResultSet` does not support the type of the value.
    """
    if row_value is None:
        return KIND_NULL
    if isinstance(row_value, str):
        return KIND_TEXT
    if isinstance(row_value, int):
        return KIND_INT if -_INT64_LIMIT <= row_value < _INT64_LIMIT else KIND_BIG_INT
    if isinstance(row_value, float):
        return KIND_FLOAT
    if isinstance(row_value, bytes | bytearray):
        return KIND_BYTES
    raise TypeError(f'row value of type {type(row_value).__name__}')


def encode_content(kind: int, row_value: Any) -> bytes:
    """Encode a string, byte string or large integer."""
    if kind == KIND_TEXT:
        return encode_text(row_value)
    if kind == KIND_BYTES:
        return bytes(row_value)
    return str(row_value).encode()


def fill_rows(target: Any, rows: Rows) -> None:
    """Encode rows into a `Rows` builder."""
    ordered = [row_value for row in rows for row_value in row]
    kinds = bytes(map(find_kind, ordered))
    pairs = list(zip(kinds, ordered, strict=True))
    contents = [encode_content(kind, row_value) for kind, row_value in pairs if kind >= KIND_TEXT]
    target.widths = [len(row) for row in rows]
    target.kinds = kinds
    target.ints = [int(row_value) for kind, row_value in pairs if kind == KIND_INT]
    target.floats = [row_value for kind, row_value in pairs if kind == KIND_FLOAT]
    target.sizes = [len(content) for content in contents]
    target.content = b''.join(contents)


def read_rows(source: Any) -> Rows:
    """Decode the rows of a `Rows` reader.

    Raises:
        ValueError: The lists of the reader are inconsistent.
    """
    ordered = read_values(source)
    rows = tuple(tuple(read_row_values(ordered, width)) for width in source.widths)
    if any(True for _ in ordered):
        raise ValueError('values without a row')
    return rows


def read_row_values(ordered: Iterator[Any], width: int) -> Iterator[Any]:
    """Yield the next `width` values."""
    for _ in range(width):
        try:
            yield next(ordered)
        except StopIteration:
            raise ValueError('row without values') from None


def read_values(source: Any) -> Iterator[Any]:
    """Yield the values of all rows in order."""
    next_content = read_contents(source).__next__
    readers = {
        KIND_NULL: lambda: None,
        KIND_INT: iter(source.ints).__next__,
        KIND_FLOAT: iter(source.floats).__next__,
        KIND_TEXT: lambda: decode_text(next_content()),
        KIND_BYTES: next_content,
        KIND_BIG_INT: lambda: int(next_content()),
    }
    for kind in source.kinds:
        yield readers[kind]()


def read_contents(source: Any) -> Iterator[bytes]:
    """Yield the byte strings that are concatenated in the content."""
    content = bytes(source.content)
    start = 0
    for size in source.sizes:
        end = start + size
        if end > len(content):
            raise ValueError(f'byte string ends at {end} of {len(content)} bytes')
        yield content[start:end]
        start = end
