"""Validated responses of the platform."""

import ipaddress
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, Field, NonNegativeInt

WRITE_IDS_FIELD = 'write_ids'
MAX_NAME_LENGTH = 63


def check_numeric_host(host: str) -> str:
    """Return the host if it is an IP address.

    Raises:
        ValueError: It is a host name, which would need a resolver.
    """
    return str(ipaddress.ip_address(host))


NumericHost = Annotated[str, AfterValidator(check_numeric_host)]
Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
Port = Annotated[int, Field(gt=0, lt=65536)]


class ObjectDocument(BaseModel):
    """Object as sent by the store."""

    key: str
    version: NonNegativeInt
    value: Any = None


class ConflictDocument(BaseModel):
    """Response to a conditional write whose version did not match."""

    version: NonNegativeInt
    value: Any = None


class VersionDocument(BaseModel):
    """Response to a conditional write that took effect."""

    version: NonNegativeInt


class BatchDocument(BaseModel):
    """Response to a list or watch request."""

    revision: NonNegativeInt
    objects: list[ObjectDocument]


class VmDocument(BaseModel):
    """Entry of the platform's VM list."""

    name: Name
    place: Name
    host: NumericHost
    peer_port: Port
    admin_port: int = 0
    state: Literal['live', 'leaving'] = 'live'


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store.

    Attributes:
        key: Key of the object.
        version: Revision of its latest write; 0 if it does not exist.
        value: JSON value without the write IDs.
        write_ids: IDs of the latest writes, newest first.
    """

    key: str
    version: int
    value: Any
    write_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ObjectBatch:
    """Result of a list or watch request.

    Attributes:
        revision: Store revision of the response.
        objects: The objects.
    """

    revision: int
    objects: tuple[StoredObject, ...]

    def __iter__(self) -> Iterator[StoredObject]:
        """Iterate over the objects."""
        return iter(self.objects)


def split_stored(key: str, version: int, document: Any) -> StoredObject:
    """Return an object with the write IDs separated from its value."""
    if not isinstance(document, dict) or WRITE_IDS_FIELD not in document:
        return StoredObject(key, version, document)
    rest = {name: part for name, part in document.items() if name != WRITE_IDS_FIELD}
    ids = document[WRITE_IDS_FIELD]
    listed = tuple(map(str, ids)) if isinstance(ids, list) else ()
    return StoredObject(key, version, rest, listed)
