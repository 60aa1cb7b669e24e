"""JSON forms of plans and of configuration shards."""

from typing import Any

import xxhash
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans.model import Confirmed, Plan, ShardState

SHARD_COUNT = 64
PLAN_PREFIX = 'plans/'
MAX_SHOWN_CHARS = 200

_PLAN: TypeAdapter[Plan] = TypeAdapter(Plan)
_DATABASES: TypeAdapter[dict[str, DatabaseConfig]] = TypeAdapter(dict[str, DatabaseConfig])
_CONFIRMED: TypeAdapter[Confirmed | None] = TypeAdapter(Confirmed | None)


def find_shard(database: str) -> int:
    """Return the number of the shard that holds a database."""
    return xxhash.xxh64_intdigest(database.encode()) % SHARD_COUNT


def format_shard_key(shard: int) -> str:
    """Return the key of a shard in the object store."""
    return f'config/{shard}'


def encode_plan(plan: Plan) -> dict[str, Any]:
    """Return a plan as a JSON object."""
    return _PLAN.dump_python(plan, mode='json')


def decode_plan(document: Any) -> Result[Plan, RequestError]:
    """Return the plan in a JSON object."""
    try:
        return Ok(_PLAN.validate_python(document))
    except ValidationError as error:
        return Err(_report_malformed('plan', error))


def encode_shard(databases: dict[str, DatabaseConfig], confirmed: Confirmed | None) -> Any:
    """Return a shard as a JSON object; versions of databases are those of the object."""
    plain = _DATABASES.dump_python(databases, mode='json')
    for database in plain.values():
        database.pop('version', None)
    return {'databases': plain, 'confirmed': _CONFIRMED.dump_python(confirmed, mode='json')}


def decode_shard(shard: int, version: int, document: Any) -> Result[ShardState, RequestError]:
    """Return the shard in a JSON object."""
    found = document if isinstance(document, dict) else {}
    named = {
        name: {'name': name, **plain} for name, plain in dict(found.get('databases', {})).items()
    }
    try:
        databases = _DATABASES.validate_python(named)
        confirmed = _CONFIRMED.validate_python(found.get('confirmed'))
    except ValidationError as error:
        return Err(_report_malformed(format_shard_key(shard), error))
    return Ok(ShardState(shard, version, databases, confirmed))


def _report_malformed(what: str, error: ValidationError) -> RequestError:
    problem = error.errors(include_url=False, include_input=False)[0]
    where = '.'.join(map(str, problem['loc']))
    message = f'malformed {what}: {where}: {problem["msg"]}'[:MAX_SHOWN_CHARS]
    return RequestError(ErrorKind.INTERNAL, message)
