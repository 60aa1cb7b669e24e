"""Conditional writes whose lost answers are settled by reading back."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError

WRITE_ATTEMPTS = 3
RETRY_PAUSE_S = 0.1
MAX_VALUE_BYTES = 1_000_000


class StoredObject(Protocol):
    """An object of the platform's store."""

    key: str
    version: int
    value: Any


class ObjectStore(Protocol):
    """The part of `PlatformClient` that plans need."""

    async def read_object(self, key: str) -> Result[Any, RequestError]:
        """Return the object, or None when it does not exist."""

    async def write_object(self, key: str, value: Any, version: int) -> Result[int, RequestError]:
        """Write if the stored version equals `version`; return the new version."""

    async def list_objects(self, prefix: str) -> Result[Any, RequestError]:
        """Return the objects whose keys start with `prefix`."""


Pause = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class SettledWrite:
    """Outcome of a write.

    Attributes:
        version: Version of the object now.
        value: Stored value now.
        won: Whether the stored value is the written one.
    """

    version: int
    value: Any
    won: bool


async def write_settled(
    store: ObjectStore,
    key: str,
    value: Any,
    version: int,
    is_same: Callable[[Any], bool],
    pause: Pause = asyncio.sleep,
) -> Result[SettledWrite, RequestError]:
    """Write an object conditionally and find out what became of a lost answer.

    The same write is repeated only while the object still has the expected version: at most one
    of the copies can take effect.

    Args:
        store: Object store.
        key: Key of the object.
        value: JSON value.
        version: Version that the object has to have; 0 creates it.
        is_same: Whether a stored value is the one written here.
        pause: Waits for a number of seconds.

    Returns:
        What is stored; OUTCOME_UNKNOWN when the write may still take effect.
    """
    for attempt in range(WRITE_ATTEMPTS):
        if attempt:
            await pause(RETRY_PAUSE_S * 2**attempt)
        written = await store.write_object(key, value, version)
        if written.is_ok():
            return Ok(SettledWrite(written.unwrap(), value, won=True))
        settled = await _read_back(store, key, version, is_same)
        if settled is not None:
            return Ok(settled)
    message = f'the write of {key} at version {version} got no answer'
    return Err(RequestError(ErrorKind.OUTCOME_UNKNOWN, message))


async def _read_back(
    store: ObjectStore, key: str, version: int, is_same: Callable[[Any], bool]
) -> SettledWrite | None:
    found = await store.read_object(key)
    if found.is_err():
        return None
    stored = found.unwrap()
    if stored is None or stored.version == version:
        return None
    return SettledWrite(stored.version, stored.value, is_same(stored.value))
