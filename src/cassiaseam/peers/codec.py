"""Encoding of messages between daemons; importing this module registers every codec."""

from cassiaseam.peers import control_codec, statement_codec
from cassiaseam.peers.codec_registry import (
    Envelope,
    MalformedMessage,
    decode_message,
    encode_message,
)

PROTOCOL_VERSION = 1
CODEC_MODULES = (control_codec, statement_codec)

__all__ = (
    'CODEC_MODULES',
    'PROTOCOL_VERSION',
    'Envelope',
    'MalformedMessage',
    'decode_message',
    'encode_message',
)
