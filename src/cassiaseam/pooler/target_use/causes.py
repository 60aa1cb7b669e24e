"""Causes of status polls and of connections that are opened and closed, and their counts."""

import enum
from collections import Counter
from dataclasses import dataclass, field


class PollCause(enum.Enum):
    """Why a status poll was sent. A poll that later requests join keeps its cause."""

    OWN_SAMPLE = 'own_sample'
    PEER_SAMPLE = 'peer_sample'
    SAMPLE_REFRESH = 'sample_refresh'
    PRIMARY_CONFIRMATION = 'primary_confirmation'
    HELD_WRITE = 'held_write'
    COMMIT_CONFIRMATION = 'commit_confirmation'
    SILENT_TARGET = 'silent_target'
    UNREACHABLE_TARGET = 'unreachable_target'
    FULL_TARGET = 'full_target'
    UNKNOWN_CONNECTION_COUNT = 'unknown_connection_count'
    PRIMARY_DISCOVERY = 'primary_discovery'
    LOST_PRIMARY = 'lost_primary'
    PROMOTION = 'promotion'
    ROLE_CHANGE = 'role_change'
    TARGET_RESTART = 'target_restart'


class PollOutcome(enum.Enum):
    """How a status poll ended."""

    ANSWERED = 'answered'
    BUSY = 'busy'
    FAILED = 'failed'
    LOST = 'lost'
    NO_CONNECTION = 'no_connection'


class OpenCause(enum.Enum):
    """Why a connection was opened."""

    STATEMENT = 'statement'
    STATUS_POLL = 'status_poll'
    CONTROL_COMMAND = 'control_command'
    FULL_TARGET_RETRY = 'full_target_retry'
    REPLACEMENT = 'replacement'


class CloseCause(enum.Enum):
    """Why a connection was closed, or why its opening ended without one."""

    IDLE = 'idle'
    REFUSED = 'refused'
    LOST = 'lost'
    REPLACED = 'replaced'
    TARGET_REMOVED = 'target_removed'
    TARGET_RESTARTED = 'target_restarted'
    OPENING_TIMED_OUT = 'opening_timed_out'
    REPLY_TIMED_OUT = 'reply_timed_out'
    OPEN_TRANSACTION = 'open_transaction'
    SETUP_FAILED = 'setup_failed'
    UNEXPECTED_REPLY = 'unexpected_reply'
    ACCOUNT_REMOVED = 'account_removed'


@dataclass(slots=True)
class TargetUse:
    """Counts since the start of the daemon.

    The connections that were opened and not closed are those that are open or being opened.

    Attributes:
        polls: Number of status polls that have ended, by cause and outcome.
        opened: Number of connections that were requested, by cause.
        closed: Number of connections that were closed, lost or refused, by cause.
    """

    polls: Counter[tuple[PollCause, PollOutcome]] = field(default_factory=Counter)
    opened: Counter[OpenCause] = field(default_factory=Counter)
    closed: Counter[CloseCause] = field(default_factory=Counter)
