"""Cap'n Proto schema of the messages between daemons, loaded on first use."""

import functools
from pathlib import Path
from typing import Any

# Word limit of one message while reading; protects against messages that repeat references.
TRAVERSAL_LIMIT_WORDS = 64 * 1024 * 1024


@functools.cache
def load_schema() -> Any:
    """Return the schema module; pycapnp is imported here because it takes long to load."""
    import capnp  # noqa: PLC0415

    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name('peer.capnp')))


def encode_text(text: str) -> bytes:
    """Return UTF-8 that also holds lone surrogates, which callers may send."""
    return text.encode('utf-8', 'surrogatepass')


def decode_text(encoded: bytes) -> str:
    """Return the text of `encode_text`."""
    return bytes(encoded).decode('utf-8', 'surrogatepass')
