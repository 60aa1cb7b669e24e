"""Messages between VMs as JSON in datagrams: samples, quota tokens, notices of promotions."""

from collections.abc import Callable
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from twisted.internet.error import InvalidAddressError
from twisted.internet.protocol import DatagramProtocol

from cassiaseam.daemon.node import Node, executes
from cassiaseam.observability.refusals import RefusalLog
from cassiaseam.pooler.admission.load_state import TargetReport
from cassiaseam.pooler.events import (
    AgedPosition,
    SampleReceived,
    SampleRequested,
    SendSample,
    SendSampleRequest,
)
from cassiaseam.pooler.notices import messages as notice_messages
from cassiaseam.pooler.notices.events import FencesLifted, PromotionNotice, SendNotice
from cassiaseam.pooler.quotas import messages
from cassiaseam.pooler.quotas.events import (
    SendTokenRequest,
    SendTokens,
    TokensReceived,
    TokensRequested,
)
from cassiaseam.positions import LogPosition

# Largest number that a VM sends: revisions and nonces have 63 bits.
MAX_NUMBER = (1 << 63) - 1
NonNegativeInt = Annotated[int, Field(strict=True, ge=0, le=MAX_NUMBER)]
Seconds = Annotated[float, Field(ge=0, le=3600, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]
# Served and failed reads, their answer times, running statements and the age of these.
LoadWords = tuple[Weight, Weight, Seconds, NonNegativeInt | None, Seconds]


class _Message(BaseModel):
    model_config = ConfigDict(frozen=True)


class SampleRequestMessage(_Message):
    """Request for a sample of a group.

    Earlier versions do not send `accepts_busy` and take a response without samples for a sample:
    they would ask again at once. They ignore the field in a request.
    """

    kind: Literal['sample?'] = 'sample?'
    nonce: NonNegativeInt
    group: str
    max_age_s: Seconds
    loads: dict[str, LoadWords] = {}
    accepts_busy: bool = False


class SampleResponseMessage(_Message):
    """Response to a sample request.

    A response without samples says that the targets are too busy to answer the VM that samples.
    Each sample is a tuple of its age in seconds, the term and the offset of its position, and its
    fenced term.
    """

    kind: Literal['sample'] = 'sample'
    nonce: NonNegativeInt
    group: str
    samples: list[tuple[Seconds, NonNegativeInt, NonNegativeInt, NonNegativeInt]]
    group_size: NonNegativeInt
    connections: dict[str, NonNegativeInt] = {}
    loads: dict[str, LoadWords] = {}


Message = (
    SampleRequestMessage
    | SampleResponseMessage
    | messages.TokenRequestMessage
    | messages.TokensMessage
    | notice_messages.PromotionNoticeMessage
    | notice_messages.FencesLiftedMessage
)
DatagramEffect = SendSampleRequest | SendSample | SendTokenRequest | SendTokens
DatagramEvent = (
    SampleRequested
    | SampleReceived
    | TokensRequested
    | TokensReceived
    | PromotionNotice
    | FencesLifted
)
_MESSAGES: TypeAdapter[Message] = TypeAdapter(Annotated[Message, Field(discriminator='kind')])


def encode_datagram(effect: DatagramEffect) -> bytes:
    """Return the datagram of a request or a response."""
    if isinstance(effect, SendTokenRequest | SendTokens):
        return messages.build_message(effect).model_dump_json().encode()
    if isinstance(effect, SendSampleRequest):
        message: BaseModel = SampleRequestMessage(
            nonce=effect.nonce,
            group=effect.group,
            max_age_s=effect.max_age_s,
            loads=encode_loads(effect.loads),
            accepts_busy=effect.accepts_busy,
        )
    else:
        message = SampleResponseMessage(
            nonce=effect.nonce,
            group=effect.group,
            samples=[
                (aged.age_s, aged.position.term, aged.position.offset, aged.term)
                for aged in effect.positions
            ],
            group_size=effect.group_size,
            connections=effect.connections,
            loads=encode_loads(effect.loads),
        )
    # Without adaptive admission, responses with samples are those of earlier versions.
    optional = {'loads': effect.loads, 'accepts_busy': getattr(message, 'accepts_busy', False)}
    unused = {name for name, content in optional.items() if not content}
    return message.model_dump_json(exclude=unused).encode()


def encode_loads(loads: dict[str, TargetReport]) -> dict[str, LoadWords]:
    """Return the observations per target as they are sent, rounded to a millisecond."""
    return {
        name: (
            round(report.served, 2),
            round(report.failed, 2),
            round(report.time_s, 3),
            report.running,
            round(report.age_s, 3),
        )
        for name, report in loads.items()
    }


def decode_datagram(datagram: bytes, host: str, port: int) -> DatagramEvent:
    """Return the event for a datagram.

    Raises:
        ValidationError: The datagram is malformed.
    """
    message = _MESSAGES.validate_json(datagram)
    if isinstance(message, messages.TokenRequestMessage | messages.TokensMessage):
        return messages.build_event(message, host, port)
    if isinstance(message, notice_messages.NoticeMessage):
        return notice_messages.build_event(message)
    if isinstance(message, SampleRequestMessage):
        loads = {name: TargetReport(*words) for name, words in message.loads.items()}
        fields = message.nonce, message.group, message.max_age_s, loads, message.accepts_busy
        return SampleRequested(host, port, *fields)
    positions = tuple(
        AgedPosition(age_s, LogPosition(position_term, offset), term)
        for age_s, position_term, offset, term in message.samples
    )
    loads = {name: TargetReport(*words) for name, words in message.loads.items()}
    return SampleReceived(
        message.nonce, message.group, positions, message.group_size, message.connections, loads
    )


class PeerProtocol(DatagramProtocol):
    """UDP protocol for datagrams between VMs.

    Attributes:
        dispatch: Callback for events.
        refusals: Refused datagrams and failed sends, by address of the peer.
    """

    def __init__(self, dispatch: Callable[[Any], None], log: Callable[..., None]):
        self.dispatch = dispatch
        self.refusals = RefusalLog(log)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Decode a datagram; log and drop a malformed one."""
        host, port = addr[0], addr[1]
        try:
            event = decode_datagram(datagram, host, port)
        except ValidationError as error:
            cause = error.errors(include_input=False, include_context=False)[0]['type']
            self.refusals.report('datagram_refused', host, cause, peer=host)
            return
        self.dispatch(event)

    def send(self, effect: DatagramEffect) -> None:
        """Send a request or a response; log and drop one that cannot be sent.

        The address is from a record of another VM, so any part of it may be invalid.
        """
        if self.transport is not None:
            self.write(encode_datagram(effect), effect.host, effect.port)

    def send_notice(self, effect: SendNotice) -> None:
        """Send a notice to each of its addresses."""
        if self.transport is None:
            return
        datagram = notice_messages.build_message(effect.notice).model_dump_json().encode()
        for host, port in effect.addresses:
            self.write(datagram, host, port)

    def write(self, datagram: bytes, host: str, port: int) -> None:
        """Send a datagram; log one that cannot be sent."""
        peer = f'{host}:{port}'
        try:
            self.transport.write(datagram, (host, port))
        except (OSError, OverflowError, InvalidAddressError) as error:
            self.refusals.report('datagram_not_sent', peer, str(error), peer=host)
        else:
            self.refusals.forget('datagram_not_sent', peer)


@executes(SendSampleRequest)
@executes(SendSample)
def send_datagram(node: Node, effect: SendSampleRequest | SendSample) -> None:
    """Send a sample request or a sample response to a peer."""
    node.services[PeerProtocol].send(effect)


@executes(SendNotice)
def send_notice(node: Node, effect: SendNotice) -> None:
    """Send a notice of a promotion, or of lifted fences, to the peers."""
    node.services[PeerProtocol].send_notice(effect)
