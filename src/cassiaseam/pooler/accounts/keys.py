"""Digests of the keys of client accounts.

The reducer, logs, metrics and datagrams never see a key. Keys are compared by a digest under a
secret of this process, so that the time of a comparison tells nothing about a key.
"""

import hashlib
import secrets

_PROCESS_SECRET = secrets.token_bytes(32)


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key in its encoding on the wire; it is valid in this process only."""
    return hashlib.blake2b(key, key=_PROCESS_SECRET, digest_size=32).digest()
