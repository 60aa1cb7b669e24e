"""Questions and answers between VMs, as JSON in UDP datagrams."""

from collections.abc import Callable
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from twisted.internet.protocol import DatagramProtocol

from cassiaseam.pooler.events import (
    AgedPosition,
    AskSample,
    OfferSample,
    SampleAsked,
    SampleOffered,
)
from cassiaseam.positions import LogPosition

Count = Annotated[int, Field(strict=True, ge=0)]
Seconds = Annotated[float, Field(ge=0, le=3600, allow_inf_nan=False)]


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True)


class QuestionMessage(_Message):
    """Another VM needs a sample of a group."""

    kind: Literal['sample?'] = 'sample?'
    nonce: Count
    group: str
    max_age_s: Seconds


class OfferMessage(_Message):
    """Answer to a question; each sample is its age in seconds, its position and its term."""

    kind: Literal['sample'] = 'sample'
    nonce: Count
    group: str
    samples: list[tuple[Seconds, Count, Count, Count]]
    group_size: Count
    connections: dict[str, Count] = {}


_MESSAGES: TypeAdapter[QuestionMessage | OfferMessage] = TypeAdapter(
    Annotated[QuestionMessage | OfferMessage, Field(discriminator='kind')]
)


def encode_effect(effect: AskSample | OfferSample) -> bytes:
    """Return the datagram of a question or an answer."""
    if isinstance(effect, AskSample):
        message: _Message = QuestionMessage(
            nonce=effect.nonce, group=effect.group, max_age_s=effect.max_age_s
        )
    else:
        message = OfferMessage(
            nonce=effect.nonce,
            group=effect.group,
            samples=[
                (aged.age_s, aged.position.term, aged.position.offset, aged.term)
                for aged in effect.positions
            ],
            group_size=effect.group_size,
            connections=effect.connections,
        )
    return message.model_dump_json().encode()


def decode_datagram(datagram: bytes, host: str, port: int) -> SampleAsked | SampleOffered:
    """Return the event that a datagram stands for.

    Raises:
        ValidationError: The datagram is malformed.
    """
    message = _MESSAGES.validate_json(datagram)
    if isinstance(message, QuestionMessage):
        return SampleAsked(host, port, message.nonce, message.group, message.max_age_s)
    positions = tuple(
        AgedPosition(age_s, LogPosition(position_term, offset), term)
        for age_s, position_term, offset, term in message.samples
    )
    return SampleOffered(
        message.nonce, message.group, positions, message.group_size, message.connections
    )


class PeerProtocol(DatagramProtocol):
    """UDP socket to the other VMs.

    Attributes:
        dispatch: Function that takes the events.
        log: Function that writes a log line.
    """

    def __init__(self, dispatch: Callable[[Any], None], log: Callable[..., None]):
        self.dispatch = dispatch
        self.log = log

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Decode a datagram; a malformed one is logged and dropped."""
        host, port = addr[0], addr[1]
        try:
            event = decode_datagram(datagram, host, port)
        except ValidationError as error:
            self.log('datagram_refused', peer=host, cause=error.errors()[0]['type'])
            return
        self.dispatch(event)

    def send(self, effect: AskSample | OfferSample) -> None:
        """Send a question or an answer; one that cannot be sent counts as lost."""
        if self.transport is None:
            return
        try:
            self.transport.write(encode_effect(effect), (effect.host, effect.port))
        except OSError as error:
            self.log('datagram_not_sent', peer=effect.host, cause=str(error))
