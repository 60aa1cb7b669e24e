"""Validated models of the intents that operators send to the administration API."""

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
    """A service accepts reads up to an age; without one only the primary serves its reads."""

    kind: Literal['accept_age'] = 'accept_age'
    database: Name
    service: ServiceName
    max_age: DurationText | None


class DrainTarget(Section):
    """Stop sending new work to a target."""

    kind: Literal['drain_target'] = 'drain_target'
    database: Name
    target: Name


class UndrainTarget(Section):
    """Resume sending work to a drained target."""

    kind: Literal['undrain_target'] = 'undrain_target'
    database: Name
    target: Name


class MoveOwner(Section):
    """Pin a database to a VM while that is alive; None selects the highest-ranked VM."""

    kind: Literal['move_owner'] = 'move_owner'
    database: Name
    owner: Name | None


class SetLimits(Section):
    """Change limits of a database, or of one target if `target` is given."""

    kind: Literal['set_limits'] = 'set_limits'
    database: Name
    queue_limit: Count | None = None
    drain_limit: DurationText | None = None
    target: Name | None = None
    slots: Count | None = None
    connections: Annotated[int, Field(ge=2, le=100_000)] | None = None


class AddDatabase(Section):
    """Add a database group."""

    kind: Literal['add_database'] = 'add_database'
    database: Name
    targets: Annotated[tuple[TargetSettings, ...], Field(min_length=1, max_length=15)]
    granted: tuple[Name, ...] = ()


class RemoveDatabase(Section):
    """Stop serving a database group."""

    kind: Literal['remove_database'] = 'remove_database'
    database: Name


class Grant(Section):
    """Grant a service access to a database."""

    kind: Literal['grant'] = 'grant'
    database: Name
    service: Name


class Revoke(Section):
    """Revoke a service's access to a database."""

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
    """Validate a JSON document as an intent; the error lists all problems, up to a limit."""
    try:
        return Ok(_ADAPTER.validate_python(document))
    except ValidationError as error:
        problems = describe_validation_errors('intent', error)[:MAX_SHOWN_PROBLEMS]
    return Err(RequestError(ErrorKind.BAD_REQUEST, '; '.join(map(str, problems))))
