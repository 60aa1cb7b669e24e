"""Events and effects that more than one role uses."""

from dataclasses import dataclass

from cassiaseam.messages import Answer, Request, TimelineRecord


@dataclass(frozen=True, slots=True)
class Tick:
    """Timer event, sent to every role at a fixed interval."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request reached the daemon that owns its database."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller or its entry daemon stopped waiting for a request."""

    database: str
    request_id: str


@dataclass(frozen=True, slots=True)
class EntryLost:
    """The link to an entry daemon broke; its open transactions are rolled back."""

    entry: str


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A caller closed its session; its open transaction is rolled back."""

    database: str
    session_id: str


@dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Effect: send the final answer to the entry daemon of a request."""

    entry: str
    answer: Answer


@dataclass(frozen=True, slots=True)
class RecordTimeline:
    """Effect: stamp a record and add it to the timeline."""

    record: TimelineRecord
