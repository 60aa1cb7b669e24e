"""Cap'n Proto schema of the protocol between daemons, loaded on first use."""

import functools
from pathlib import Path
from typing import Any

# Limit on the words read from one message; protects against amplification by repeated pointers.
TRAVERSAL_LIMIT_WORDS = 64 * 1024 * 1024


@functools.cache
def load_schema() -> Any:
    """Return the schema module; pycapnp is imported lazily because it loads slowly."""
    import capnp  # noqa: PLC0415

    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name('peer.capnp')))


def encode_text(text: str) -> bytes:
    """Encode a string as UTF-8, including lone surrogates, which callers may send."""
    return text.encode('utf-8', 'surrogatepass')


def decode_text(encoded: bytes) -> str:
    """Decode a string encoded by `encode_text`."""
    return bytes(encoded).decode('utf-8', 'surrogatepass')
