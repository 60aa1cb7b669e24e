"""Messages of other daemons, other than requests and answers, as events."""

from collections.abc import Callable
from typing import Any, TypeVar

from absl import logging

from cassiaseam.daemon.node import Node
from cassiaseam.peers.messages import CancelRequest
from cassiaseam.reducer.common import RequestCancelled

MessageHandler = Callable[[Node, str, Any], None]
MessageHandlerT = TypeVar('MessageHandlerT', bound=MessageHandler)

MESSAGE_HANDLERS: dict[type, MessageHandler] = {}


def accepts_message(message_type: type) -> Callable[[MessageHandlerT], MessageHandlerT]:
    """Register the function `(node, vm, message)` for one message type."""

    def register(handler: MessageHandlerT) -> MessageHandlerT:
        MESSAGE_HANDLERS[message_type] = handler
        return handler

    return register


def accept_message(node: Node, vm: str, message: Any) -> None:
    """Pass on a message of a peer; a type without a handler is logged and dropped."""
    handler = MESSAGE_HANDLERS.get(type(message))
    if handler is None:
        logging.info('event=message_dropped vm=%s type=%s', vm, type(message).__name__)
        return
    handler(node, vm, message)


@accepts_message(CancelRequest)
def cancel_request(node: Node, _vm: str, message: CancelRequest) -> None:
    """Withdraw a request whose entry daemon no longer waits for it."""
    node.dispatch(RequestCancelled(message.database, message.request_id))
