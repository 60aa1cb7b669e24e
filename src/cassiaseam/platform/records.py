"""Decodes and encodes the objects in the store: configuration, target records and own records."""

import dataclasses
import ipaddress
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, BeforeValidator, Field, StrictBool, ValidationError
from pydantic_core import ErrorDetails, PydanticCustomError
from result import Err, Ok, Result

from cassiaseam.platform.json_parts import Unreadable
from cassiaseam.pooler.accounts.decoding import build_directory, is_single_word
from cassiaseam.pooler.events import LeaseRecord, PeerRecord
from cassiaseam.pooler.group_sizes import SizeRecord
from cassiaseam.pooler.model import (
    Consistency,
    GroupLimits,
    Route,
    RoutingConfig,
    TargetRecord,
)
from cassiaseam.pooler.quotas.shares import ShareRecord
from cassiaseam.settings.units import IpAddress

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
TARGETS_KIND = 'servers'
DUTY_KIND = 'cassiaseam-duties'
DUTY_NAME = 'promotion'
VMS_KIND = 'cassiaseam-vms'
SIZES_KIND = 'cassiaseam-groups'
SHARES_KIND = 'cassiaseam-quotas'

_CONSISTENCY = {
    'primary': Consistency.PRIMARY,
    'bounded_staleness': Consistency.BOUNDED_AGE,
    'read_your_writes': Consistency.READ_YOUR_WRITES,
}
_STATES = ('ready', 'draining')
_ROLES = ('primary', 'replica')


# Largest integer that a float holds exactly, so that arithmetic with numbers of either type has no
# overflow.
MAX_NUMBER = 1 << 53
MAX_PORT = 65535
# Longest name or word that targets and VMs write about themselves.
MAX_WORD_CHARS = 512
MAX_SLOTS = 10_000
MAX_COLD_MS = 86_400_000
MAX_GROUP_SIZE = 10_000
MAX_ERA = 999_999
# Longest text of the input in a log line.
MAX_SHOWN_CHARS = 80
MAX_REASON_CHARS = 200


def _require_number(given: Any) -> Any:
    if isinstance(given, bool) or not isinstance(given, int | float):
        # The input is left out, because it may be a key in the wrong place.
        raise ValueError(f'a {type(given).__name__} is not a number')
    # False for NaN as well.
    if not -MAX_NUMBER <= given <= MAX_NUMBER:
        raise PydanticCustomError('number_out_of_range', 'the number is out of range')
    return given


Number = Annotated[float, BeforeValidator(_require_number)]
Limit = Annotated[Number, Field(ge=0)]
Integer = Annotated[int, BeforeValidator(_require_number)]
Counter = Annotated[Integer, Field(ge=0)]
Era = Annotated[Counter, Field(le=MAX_ERA)]
Port = Annotated[Integer, Field(ge=1, le=MAX_PORT)]
Text = Annotated[str, Field(strict=True, min_length=1)]
Word = Annotated[Text, Field(max_length=MAX_WORD_CHARS)]
DocumentT = TypeVar('DocumentT', bound=BaseModel)


class RouteDocument(BaseModel):
    """A route in the configuration of the operators."""

    name: str = ''
    host: Text  # Misleading name: the database that callers request, not a machine.
    service: Text
    kind: str = Field(alias='routeKind')
    timeout_ms: Number = Field(alias='timeoutMs', default=1000)
    objective_ms: Number = Field(alias='targetLatencyMs', default=1000)
    max_age_ms: Number = Field(alias='maxStalenessMs', default=0)
    priority: Integer = 0
    allows_anonymous: StrictBool = Field(alias='allowAnonymous', default=False)

    @property
    def is_known_kind(self) -> bool:
        """Return whether the daemon knows the kind; it ignores routes of other kinds."""
        return self.kind in _CONSISTENCY


class AccountDocument(BaseModel):
    """A client account, which the configuration calls a tenant."""

    name: Text
    keys: list[Text] = Field(alias='apiKeys')
    priority: Integer = 0
    # Operations over all VMs; the names say requests per second.
    operations_per_s: Limit | None = Field(alias='ratePerS', default=None)
    burst: Limit = 0


class ServiceDocument(BaseModel):
    """A database group, which the configuration calls a service."""

    name: Text
    max_connections: Integer = Field(alias='maxConnections')
    sync_replicas: Integer = Field(alias='syncReplicas', default=0)


class LimitsDocument(BaseModel):
    """Limits for callers in the configuration of the operators."""

    transaction_idle_ms: Number = Field(alias='transactionIdleMs', default=3000)


class ConfigDocument(BaseModel):
    """The configuration that the operators write."""

    version: Integer
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = Field(default_factory=LimitsDocument)
    tenants: list[AccountDocument] | None = None


class TargetDocument(BaseModel):
    """The record that a target writes about itself."""

    service: Word
    address: Word
    zone: Word
    slots: Annotated[Integer, Field(ge=1, le=MAX_SLOTS)] = 1
    state: Word
    cold_ms: Annotated[Limit, Field(le=MAX_COLD_MS)] = Field(alias='coldRemainingMs', default=0)
    role: Word = Field(alias='databaseRole')
    # Start time in Unix milliseconds.
    born: Counter = 0


class DutyDocument(BaseModel):
    """The VM that holds the promotion lease; an object kind of this project."""

    holder: Annotated[str, Field(max_length=MAX_WORD_CHARS)]
    nonce: Annotated[str, Field(max_length=MAX_WORD_CHARS)]
    released: StrictBool
    era: Era = 0


class VmDocument(BaseModel):
    """The address of a VM for its peers; an object kind of this project."""

    place: Word
    host: IpAddress
    port: Port


class SizeDocument(BaseModel):
    """The number of targets of a group; an object kind of this project."""

    size: Annotated[Integer, Field(ge=1, le=MAX_GROUP_SIZE)]
    era: Era = 0


class ShareDocument(BaseModel):
    """The VM that holds a share of the quotas; an object kind of this project."""

    holder: Word
    place: Word
    host: IpAddress
    port: Port
    nonce: Word
    era: Era
    released: StrictBool = False
    renewals: Counter = 0


def _validate(model: type[DocumentT], spec: Any) -> Result[DocumentT, str]:
    """Return the validated document, or the reason why it is invalid."""
    if isinstance(spec, Unreadable):
        return Err(spec.reason)
    try:
        return Ok(model.model_validate(spec))
    except ValidationError as error:
        problem = error.errors(include_input=False, include_url=False, include_context=False)[0]
        place = '.'.join(str(part) for part in problem['loc'])
        return Err(f'{place or "the record"} is not valid: {problem["msg"]}'[:MAX_REASON_CHARS])


def validate_config(spec: Any) -> Result[ConfigDocument, list[ErrorDetails]]:
    """Return the validated document, or all problems with their places and without input."""
    try:
        return Ok(ConfigDocument.model_validate(spec))
    except ValidationError as error:
        # The input is left out, because it may contain a key.
        return Err(error.errors(include_input=False, include_url=False))


def decode_config(spec: Any) -> Result[RoutingConfig, str]:
    """Return the configuration, or the reason why it is invalid."""
    if isinstance(spec, Unreadable):
        return Err(f'configuration: {spec.reason}')
    validated = validate_config(spec)
    if isinstance(validated, Err):
        problem = validated.err_value[0]
        return Err(f'configuration: {problem["loc"]}: {problem["msg"]}')
    document = validated.ok_value
    routes: dict[str, Route] = {}
    for route in document.routes:
        if route.is_known_kind:
            routes.setdefault(route.host, _build_route(route))
    groups = {
        service.name: GroupLimits(service.max_connections, service.sync_replicas)
        for service in document.services
    }
    idle_s = document.limits.transaction_idle_ms / 1000
    if document.tenants is None:
        return Ok(RoutingConfig(document.version, routes, groups, idle_s))
    accounts = build_directory(document.tenants)
    if isinstance(accounts, Err):
        return accounts
    return Ok(RoutingConfig(document.version, routes, groups, idle_s, accounts.ok_value))


def _build_route(route: RouteDocument) -> Route:
    return Route(
        name=route.name,
        database=route.host,
        group=route.service,
        consistency=_CONSISTENCY[route.kind],
        statement_timeout_s=route.timeout_ms / 1000,
        latency_objective_s=route.objective_ms / 1000,
        max_age_s=route.max_age_ms / 1000,
        priority=route.priority,
        allows_anonymous=route.allows_anonymous,
    )


def decode_target(name: str, spec: Any) -> Result[TargetRecord, str]:
    """Return the record of a target, or the reason why it is invalid."""
    validated = _validate(TargetDocument, spec)
    if isinstance(validated, Err):
        return Err(f'target {name!r}: {validated.err_value}')
    document = validated.ok_value
    if not is_word_of_lines(name) or not is_word_of_lines(document.service):
        # Both are fields of the first line on a connection.
        return Err(f'target {name!r}: its name or service is not a single word')
    address = decode_address(document.address)
    if address is None:
        return Err(f'target {name!r}: address {document.address[:MAX_SHOWN_CHARS]!r}')
    host, port = address
    if document.state not in _STATES or document.role not in _ROLES:
        state, role = document.state[:MAX_SHOWN_CHARS], document.role[:MAX_SHOWN_CHARS]
        return Err(f'target {name!r}: state {state!r}, role {role!r}')
    return Ok(
        TargetRecord(
            name=name,
            group=document.service,
            host=host,
            port=port,
            place=document.zone,
            slots=document.slots,
            leaving=document.state == 'draining',
            is_primary=document.role == 'primary',
            incarnation=str(document.born),
            warming_s=document.cold_ms / 1000,
        )
    )


def decode_address(text: str) -> tuple[str, int] | None:
    """Return the IPv4 address and the port in a `Word`, or None if one of them is invalid."""
    host, _, digits = text.rpartition(':')
    if not digits.isdecimal():
        return None
    try:
        host = str(ipaddress.IPv4Address(host))
    except ValueError:
        return None
    port = int(digits)
    return (host, port) if 1 <= port <= MAX_PORT else None


def is_word_of_lines(name: str) -> bool:
    """Return whether a name can be a field of a line to a target and a label of a metric.

    Lines are in Latin-1, and labels of metrics are written without escapes.
    """
    is_word = bool(name) and is_single_word(name) and max(name) <= '\xff'
    return is_word and '"' not in name and '\\' not in name


def decode_duty(spec: Any) -> Result[LeaseRecord, str]:
    """Return the lease record, or the reason why it is invalid."""
    validated = _validate(DutyDocument, spec)
    if isinstance(validated, Err):
        return validated
    document = validated.ok_value
    return Ok(LeaseRecord(document.holder, document.nonce, document.released, document.era))


def encode_duty(record: LeaseRecord) -> dict[str, Any]:
    """Return the stored form of a lease record."""
    return {
        'holder': record.holder,
        'nonce': record.nonce,
        'released': record.released,
        'era': record.era,
    }


def decode_vm(name: str, spec: Any) -> Result[PeerRecord, str]:
    """Return the record of a VM, or the reason why it is invalid."""
    validated = _validate(VmDocument, spec)
    if isinstance(validated, Err):
        return Err(f'VM {name!r}: {validated.err_value}')
    document = validated.ok_value
    return Ok(PeerRecord(name, document.place, document.host, document.port))


def encode_vm(record: PeerRecord) -> dict[str, Any]:
    """Return the stored form of the record of a VM."""
    return {'place': record.place, 'host': record.host, 'port': record.port}


def decode_size(group: str, revision: int, spec: Any) -> Result[SizeRecord, str]:
    """Return the record of the size of a group, or the reason why it is invalid."""
    validated = _validate(SizeDocument, spec)
    if isinstance(validated, Err):
        return validated
    return Ok(SizeRecord(group, validated.ok_value.size, revision, validated.ok_value.era))


def encode_size(record: SizeRecord) -> dict[str, Any]:
    """Return the stored form of the size of a group."""
    return {'size': record.size, 'era': record.era}


def decode_share(spec: Any) -> Result[ShareRecord, str]:
    """Return the record of a quota share, or the reason why it is invalid."""
    validated = _validate(ShareDocument, spec)
    if isinstance(validated, Err):
        return validated
    return Ok(ShareRecord(**validated.ok_value.model_dump()))


def encode_share(record: ShareRecord) -> dict[str, Any]:
    """Return the stored form of the record of a quota share."""
    return dataclasses.asdict(record)
