"""Registry of message codecs for the protocol between daemons."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cassiaseam.peers.schema import (
    TRAVERSAL_LIMIT_WORDS,
    decode_text,
    encode_text,
    load_schema,
)
from cassiaseam.peers.stamps import NO_STAMP
from cassiaseam.timeline.clock import Stamp

_Encoder = Callable[[Any, Any, float], None]
_Decoder = Callable[[Any, float], Any]
_ENCODERS: dict[type, _Encoder] = {}
_DECODERS: dict[str, _Decoder] = {}


class MalformedMessage(Exception):
    """A frame is not a valid PeerMessage."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """One decoded frame.

    Attributes:
        wire_id: Correlation id of a request and its answer; 0 for other messages.
        body: Decoded message.
        stamp: Stamp of the sender's hybrid logical clock, or (0, 0).
    """

    wire_id: int
    body: Any
    stamp: Stamp = NO_STAMP


def encodes(message_type: type) -> Callable[[_Encoder], _Encoder]:
    """Register the encoder `(message, body, now)` of a message type; it fills a PeerMessage."""

    def register(encoder: _Encoder) -> _Encoder:
        _ENCODERS[message_type] = encoder
        return encoder

    return register


def decodes(union_field: str) -> Callable[[_Decoder], _Decoder]:
    """Register the decoder `(message, now) -> body` of one member of the PeerMessage union."""

    def register(decoder: _Decoder) -> _Decoder:
        _DECODERS[union_field] = decoder
        return decoder

    return register


def encode_message(wire_id: int, body: Any, now: float, stamp: Stamp = NO_STAMP) -> bytes:
    """Encode a message as the payload of a frame.

    Raises:
        KeyError: No encoder is registered for the type of `body`.
    """
    message = load_schema().PeerMessage.new_message(
        requestId=wire_id, stampMs=stamp[0], stampCounter=stamp[1]
    )
    _ENCODERS[type(body)](message, body, now)
    return message.to_bytes()


def decode_message(frame: bytes, now: float) -> Envelope:
    """Decode the payload of a frame.

    Raises:
        MalformedMessage: The payload is not a PeerMessage known to this protocol version.
    """
    schema = load_schema()
    try:
        with schema.PeerMessage.from_bytes(
            frame, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as message:
            body = _DECODERS[message.which()](message, now)
            stamp = (message.stampMs, message.stampCounter)
            return Envelope(message.requestId, body, stamp)
    except Exception as error:
        raise MalformedMessage(f'{len(frame)} bytes: {error}') from error


def fill_pairs(target: Any, name: str, pairs: dict[str, str]) -> None:
    """Encode a dict of strings into the list field `name`."""
    listed = target.init(name, len(pairs))
    for index, (key, text) in enumerate(pairs.items()):
        listed[index].key = encode_text(key)
        listed[index].value = encode_text(text)


def read_pairs(listed: Any) -> dict[str, str]:
    """Decode a dict encoded by `fill_pairs`."""
    return {decode_text(pair.key): decode_text(pair.value) for pair in listed}
