"""JSON encoding of plans and configuration shards."""

from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from cassiaseam.configuration.document import (
    decode_shard_document,
    encode_shard_document,
    format_shard_key,
)
from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans.model import Confirmed, Plan, ShardState

PLAN_PREFIX = 'plans/'
MAX_SHOWN_CHARS = 200

_PLAN: TypeAdapter[Plan] = TypeAdapter(Plan)
_CONFIRMED: TypeAdapter[Confirmed | None] = TypeAdapter(Confirmed | None)


def encode_plan(plan: Plan) -> dict[str, Any]:
    """Return a plan as a JSON object."""
    return _PLAN.dump_python(plan, mode='json')


def decode_plan(document: Any) -> Result[Plan, RequestError]:
    """Decode a plan from a JSON object."""
    try:
        return Ok(_PLAN.validate_python(document))
    except ValidationError as error:
        return Err(_report_malformed('plan', error))


def encode_shard(
    databases: dict[str, DatabaseConfig], confirmed: Confirmed | None
) -> dict[str, Any]:
    """Return a shard as a JSON object that identifies the plan that writes it."""
    document = encode_shard_document(tuple(databases.values()))
    return {**document, 'confirmed': _CONFIRMED.dump_python(confirmed, mode='json')}


def decode_shard(shard: int, version: int, document: Any) -> Result[ShardState, RequestError]:
    """Decode a shard from a JSON object."""
    decoded = decode_shard_document(shard, version, document)
    if decoded.is_err():
        return Err(decoded.unwrap_err())
    try:
        confirmed = _CONFIRMED.validate_python(document.get('confirmed'))
    except ValidationError as error:
        return Err(_report_malformed(format_shard_key(shard), error))
    databases = {config.name: config for config in decoded.unwrap()}
    return Ok(ShardState(shard, version, databases, confirmed))


def _report_malformed(what: str, error: ValidationError) -> RequestError:
    problem = error.errors(include_url=False, include_input=False)[0]
    where = '.'.join(map(str, problem['loc']))
    message = f'malformed {what}: {where}: {problem["msg"]}'[:MAX_SHOWN_CHARS]
    return RequestError(ErrorKind.INTERNAL, message)
