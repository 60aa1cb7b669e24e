"""JSON documents of configuration shards, validated when they are decoded.

A shard is the object `config/<n>` of the store: `{"databases": {name: {...}}}`. Unknown fields are
ignored, so that older daemons can read documents of newer ones.
"""

import json
import zlib
from dataclasses import asdict
from typing import Annotated, Any

import xxhash
from pydantic import (
    BaseModel,
    Field,
    NonNegativeFloat,
    NonNegativeInt,
    PositiveInt,
    ValidationError,
)
from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig, TargetState
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.objectstore.model import Name, NumericHost, Port

SHARD_COUNT = 64
SHARD_PREFIX = 'config/'
# The store rejects values over 1 MB; a compressed document that expands beyond that is an attack
# or an error.
MAX_DOCUMENT_BYTES = 1024 * 1024


class TargetDocument(BaseModel):
    """One target; see `TargetConfig`."""

    name: Name
    host: NumericHost
    port: Port
    place: Name
    slots: PositiveInt = 5
    connections: PositiveInt = 75
    state: TargetState = TargetState.ACTIVE


class DatabaseDocument(BaseModel):
    """One database; see `DatabaseConfig`."""

    targets: Annotated[list[TargetDocument], Field(min_length=1)]
    max_age_s: dict[str, NonNegativeFloat] = {}
    queue_limit: PositiveInt = 256
    drain_limit_s: NonNegativeFloat = 30
    owner: str = ''
    granted: list[str] = []


class ShardDocument(BaseModel):
    """One shard."""

    databases: dict[Name, DatabaseDocument] = {}


class StampDocument(BaseModel):
    """Confirmation of the plan that wrote a shard; only the clock stamp is read."""

    stamp: tuple[NonNegativeInt, NonNegativeInt] = (0, 0)


class ConfirmationDocument(BaseModel):
    """Confirmation metadata of a shard."""

    confirmed: StampDocument | None = None


def find_shard(database: str) -> int:
    """Return the number of the shard that holds a database."""
    return xxhash.xxh64_intdigest(database.encode()) % SHARD_COUNT


def format_shard_key(number: int) -> str:
    """Return the key of a shard in the object store."""
    return f'{SHARD_PREFIX}{number}'


def parse_shard_key(key: str) -> int | None:
    """Return the shard number of a key, or None if the key belongs to another object."""
    digits = key.removeprefix(SHARD_PREFIX)
    is_shard = key.startswith(SHARD_PREFIX) and digits.isdecimal() and digits.isascii()
    if not is_shard or int(digits) >= SHARD_COUNT:
        return None
    return int(digits)


def encode_shard_document(databases: tuple[DatabaseConfig, ...]) -> dict[str, Any]:
    """Return the JSON value of a shard, without its version, which is that of the object."""
    return {'databases': {config.name: encode_database(config) for config in databases}}


def encode_database(config: DatabaseConfig) -> dict[str, Any]:
    """Return the JSON value of one database without its name and version."""
    plain = asdict(config)
    plain.pop('name')
    plain.pop('version')
    for target in plain['targets']:
        target['state'] = target['state'].value
    return {**plain, 'targets': list(plain['targets']), 'granted': list(config.granted)}


def decode_shard_document(
    number: int, version: int, document: Any
) -> Result[tuple[DatabaseConfig, ...], RequestError]:
    """Return the databases of a shard sorted by name, or an error of kind INTERNAL."""
    try:
        shard = ShardDocument.model_validate(document)
    except ValidationError as error:
        problem = error.errors(include_url=False, include_input=False)[0]
        return Err(make_document_error(number, version, f'{problem["loc"]}: {problem["msg"]}'))
    misplaced = [name for name in shard.databases if find_shard(name) != number]
    if misplaced:
        message = f'databases of other shards: {misplaced[:3]}'
        return Err(make_document_error(number, version, message))
    listed = sorted(shard.databases.items())
    return Ok(tuple(build_config(name, found, version) for name, found in listed))


def make_document_error(number: int, version: int, message: str) -> RequestError:
    """Return the error for an invalid document."""
    text = f'{format_shard_key(number)} version {version}: {message}'
    return RequestError(ErrorKind.INTERNAL, text)


def build_config(name: str, document: DatabaseDocument, version: int) -> DatabaseConfig:
    """Return the configuration of a validated document."""
    targets = (TargetConfig(**dict(target)) for target in document.targets)
    return DatabaseConfig(
        name,
        tuple(targets),
        dict(document.max_age_s),
        document.queue_limit,
        document.drain_limit_s,
        document.owner,
        tuple(document.granted),
        version,
    )


def compress_document(document: Any) -> bytes:
    """Return a JSON value in the compressed form that daemons exchange."""
    encoded = json.dumps(document, separators=(',', ':'), sort_keys=True).encode()
    return zlib.compress(encoded)


def decompress_document(compressed: bytes) -> Result[Any, RequestError]:
    """Return the JSON value of a compressed document, or an error."""
    unpacker = zlib.decompressobj()
    try:
        encoded = unpacker.decompress(compressed, MAX_DOCUMENT_BYTES + 1)
        if len(encoded) > MAX_DOCUMENT_BYTES:
            return Err(RequestError(ErrorKind.TOO_LARGE, 'configuration document'))
        return Ok(json.loads(encoded))
    except (zlib.error, ValueError) as error:
        return Err(RequestError(ErrorKind.INTERNAL, f'configuration document: {error}'))


def read_confirmation_stamp(document: Any) -> tuple[int, int]:
    """Return the clock stamp of the plan confirmation of a shard, or (0, 0) without one."""
    try:
        return ConfirmationDocument.model_validate(document).confirmed.stamp
    except (ValidationError, AttributeError):
        return (0, 0)
