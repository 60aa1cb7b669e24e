"""Intents of operators as they arrive over the administration API."""

from typing import Annotated, Literal

from pydantic import AfterValidator, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.settings.model import Name, Section, ServiceName, TargetSettings
from cassiaseam.settings.problems import describe_validation_errors
from cassiaseam.settings.units import parse_duration_s

MAX_SHOWN_PROBLEMS = 10


def _check_duration(text: str) -> str:
    parse_duration_s(text)
    return text


DurationText = Annotated[str, AfterValidator(_check_duration)]
Count = Annotated[int, Field(ge=1, le=100_000)]


class AcceptAge(Section):
    """A service may read data up to an age; no age means that only the primary serves it."""

    kind: Literal['accept_age'] = 'accept_age'
    database: Name
    service: ServiceName
    max_age: DurationText | None


class DrainTarget(Section):
    """A target receives no new work."""

    kind: Literal['drain_target'] = 'drain_target'
    database: Name
    target: Name


class UndrainTarget(Section):
    """A drained target receives work again."""

    kind: Literal['undrain_target'] = 'undrain_target'
    database: Name
    target: Name


class MoveOwner(Section):
    """A chosen VM owns a database while it is alive; none means the ranked one."""

    kind: Literal['move_owner'] = 'move_owner'
    database: Name
    owner: Name | None


class SetLimits(Section):
    """Limits of a database, or of one target when `target` is given."""

    kind: Literal['set_limits'] = 'set_limits'
    database: Name
    queue_limit: Count | None = None
    drain_limit: DurationText | None = None
    target: Name | None = None
    slots: Count | None = None
    connections: Annotated[int, Field(ge=2, le=100_000)] | None = None


class AddDatabase(Section):
    """A new database group."""

    kind: Literal['add_database'] = 'add_database'
    database: Name
    targets: Annotated[tuple[TargetSettings, ...], Field(min_length=1, max_length=15)]
    granted: tuple[Name, ...] = ()


class RemoveDatabase(Section):
    """A database group is no longer served."""

    kind: Literal['remove_database'] = 'remove_database'
    database: Name


class Grant(Section):
    """A service may use a database."""

    kind: Literal['grant'] = 'grant'
    database: Name
    service: Name


class Revoke(Section):
    """A service may no longer use a database."""

    kind: Literal['revoke'] = 'revoke'
    database: Name
    service: Name


Intent = (
    AcceptAge
    | DrainTarget
    | UndrainTarget
    | MoveOwner
    | SetLimits
    | AddDatabase
    | RemoveDatabase
    | Grant
    | Revoke
)
_ADAPTER: TypeAdapter[Intent] = TypeAdapter(Annotated[Intent, Field(discriminator='kind')])


def parse_intent(document: object) -> Result[Intent, RequestError]:
    """Return the intent in a JSON document, or an error that names every mistake."""
    try:
        return Ok(_ADAPTER.validate_python(document))
    except ValidationError as error:
        problems = describe_validation_errors('intent', error)[:MAX_SHOWN_PROBLEMS]
    return Err(RequestError(ErrorKind.BAD_REQUEST, '; '.join(map(str, problems))))
