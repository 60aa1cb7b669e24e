"""Conditional writes that resolve a lost response by reading the object back."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError

WRITE_ATTEMPTS = 3
RETRY_DELAY_S = 0.1
MAX_VALUE_BYTES = 1_000_000


class StoredObject(Protocol):
    """Object in the platform's store."""

    key: str
    version: int
    value: Any


class ObjectStore(Protocol):
    """Subset of `PlatformClient` that plans need."""

    async def read_object(self, key: str) -> Result[Any, RequestError]:
        """Return the object, or None if it does not exist."""

    async def write_object(self, key: str, value: Any, version: int) -> Result[int, RequestError]:
        """Write the object if its stored version equals `version`; return the new version."""

    async def list_objects(self, prefix: str) -> Result[Any, RequestError]:
        """Return the objects whose keys start with `prefix`."""


Pause = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class WriteOutcome:
    """Outcome of a write.

    Attributes:
        version: Current version of the object.
        value: Current stored value.
        is_own_write: Whether the current value is the one that was written.
    """

    version: int
    value: Any
    is_own_write: bool


async def write_conditionally(
    store: ObjectStore,
    key: str,
    value: Any,
    version: int,
    is_same: Callable[[Any], bool],
    pause: Pause = asyncio.sleep,
) -> Result[WriteOutcome, RequestError]:
    """Write an object conditionally and resolve a lost response by reading it back.

    The write is retried only while the object still has the expected version, so that at most
    one of the attempts can take effect.

    Args:
        store: Object store.
        key: Key of the object.
        value: JSON value.
        version: Expected version of the object; 0 creates it.
        is_same: Returns whether a stored value is the one written here.
        pause: Sleeps for a number of seconds.

    Returns:
        The stored state; OUTCOME_UNKNOWN if the write may still take effect.
    """
    for attempt in range(WRITE_ATTEMPTS):
        if attempt:
            await pause(RETRY_DELAY_S * 2**attempt)
        written = await store.write_object(key, value, version)
        if written.is_ok():
            return Ok(WriteOutcome(written.unwrap(), value, is_own_write=True))
        settled = await _read_back(store, key, version, is_same)
        if settled is not None:
            return Ok(settled)
    message = f'the write of {key} at version {version} got no answer'
    return Err(RequestError(ErrorKind.OUTCOME_UNKNOWN, message))


async def _read_back(
    store: ObjectStore, key: str, version: int, is_same: Callable[[Any], bool]
) -> WriteOutcome | None:
    found = await store.read_object(key)
    if found.is_err():
        return None
    stored = found.unwrap()
    if stored is None or stored.version == version:
        return None
    return WriteOutcome(stored.version, stored.value, is_same(stored.value))
