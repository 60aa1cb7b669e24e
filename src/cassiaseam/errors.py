"""Closed list of error kinds and the response for each kind."""

import enum
from dataclasses import dataclass, field

# Values of `RequestError.detail['cause']` that let the entry skip an owner: the owner does not
# reach a majority of its targets, or the link to it broke after a request was sent.
OWNER_CUT_OFF = 'owner_cut_off'
OWNER_LINK_LOST = 'owner_link_lost'


class RunState(enum.Enum):
    """Whether a failed request ran on a target."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """Every way in which a request can fail."""

    BAD_REQUEST = 'bad_request'
    BAD_SQL = 'bad_sql'
    ACCESS_DENIED = 'access_denied'
    UNKNOWN_DATABASE = 'unknown_database'
    UNKNOWN_OBJECT = 'unknown_object'
    TOO_LARGE = 'too_large'
    UNSUPPORTED = 'unsupported'
    STATEMENT_FAILED = 'statement_failed'
    OVERLOADED = 'overloaded'
    QUOTA_EXCEEDED = 'quota_exceeded'
    NO_PRIMARY = 'no_primary'
    NO_TARGET = 'no_target'
    REPLICAS_BEHIND = 'replicas_behind'
    TOO_OLD = 'too_old'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    STATEMENT_TIMEOUT = 'statement_timeout'
    NOT_OWNER = 'not_owner'
    PEER_UNREACHABLE = 'peer_unreachable'
    SHUTTING_DOWN = 'shutting_down'
    TRANSACTION_ABORTED = 'transaction_aborted'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    KEY_REUSED = 'key_reused'
    VERSION_CONFLICT = 'version_conflict'
    PLAN_EXPIRED = 'plan_expired'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Codes and properties of one error kind for callers and operators.

    Attributes:
        mysql_code: Error code of the MySQL protocol.
        sqlstate: Five-character SQLSTATE.
        http_status: Status of the administration API.
        ran: Whether the request ran on a target.
        retryable: Whether the caller may retry the same request.
    """

    mysql_code: int
    sqlstate: str
    http_status: int
    ran: RunState
    retryable: bool


_NO = RunState.NO
_UNKNOWN = RunState.UNKNOWN

RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(1210, 'HY000', 400, _NO, False),
    ErrorKind.BAD_SQL: ErrorResponse(1064, '42000', 400, _NO, False),
    ErrorKind.ACCESS_DENIED: ErrorResponse(1045, '28000', 403, _NO, False),
    ErrorKind.UNKNOWN_DATABASE: ErrorResponse(1049, '42000', 404, _NO, False),
    ErrorKind.UNKNOWN_OBJECT: ErrorResponse(1305, '42000', 404, _NO, False),
    ErrorKind.TOO_LARGE: ErrorResponse(1153, '08S01', 413, _NO, False),
    ErrorKind.UNSUPPORTED: ErrorResponse(1235, '42000', 501, _NO, False),
    ErrorKind.STATEMENT_FAILED: ErrorResponse(1105, 'HY000', 422, _NO, False),
    ErrorKind.OVERLOADED: ErrorResponse(1203, '42000', 429, _NO, True),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(1226, '42000', 429, _NO, True),
    ErrorKind.NO_PRIMARY: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.NO_TARGET: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.REPLICAS_BEHIND: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.TOO_OLD: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(3024, 'HY000', 504, _NO, True),
    ErrorKind.STATEMENT_TIMEOUT: ErrorResponse(3024, 'HY000', 504, _UNKNOWN, False),
    ErrorKind.NOT_OWNER: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(1053, '08S01', 503, _NO, True),
    ErrorKind.TRANSACTION_ABORTED: ErrorResponse(1213, '40001', 409, _NO, True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(1180, 'HY000', 504, _UNKNOWN, False),
    ErrorKind.KEY_REUSED: ErrorResponse(1062, '23000', 409, _NO, False),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(1020, 'HY000', 409, _NO, False),
    ErrorKind.PLAN_EXPIRED: ErrorResponse(1210, 'HY000', 410, _NO, False),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(1290, 'HY000', 503, _NO, True),
    ErrorKind.INTERNAL: ErrorResponse(1105, 'HY000', 500, _UNKNOWN, False),
}


@dataclass(frozen=True, slots=True)
class RequestError:
    """A failed request.

    Attributes:
        kind: Member of the closed list.
        message: Text for the caller that includes the invalid values.
        retry_after_s: Seconds after which the request may be retried, or None.
        mysql_code: Error code reported by a target that rejected the statement, or None.
        detail: Additional values for logs.
    """

    kind: ErrorKind
    message: str = ''
    retry_after_s: float | None = None
    mysql_code: int | None = None
    detail: dict[str, str] = field(default_factory=dict)

    @property
    def ran(self) -> RunState:
        """Return whether the request ran on a target."""
        return RESPONSES[self.kind].ran

    def format_for_caller(self) -> str:
        """Return the text for an error packet."""
        parts = [f'kind={self.kind.value}', f'ran={self.ran.value}']
        if self.retry_after_s is not None:
            parts.append(f'retry_after_ms={int(self.retry_after_s * 1000)}')
        if self.message:
            parts.append(self.message)
        return ' '.join(parts)
