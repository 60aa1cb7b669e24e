"""Registry of event handlers and the reducer for all events."""

from collections.abc import Callable
from typing import Any, TypeVar

Event = Any
Effect = Any
Handler = Callable[[Any, Any, float], list[Effect]]
HandlerT = TypeVar('HandlerT', bound=Handler)

HANDLERS: dict[type, list[Handler]] = {}


def handles(event_type: type) -> Callable[[HandlerT], HandlerT]:
    """Register a function `(node_state, event, now) -> effects` for one event type.

    Several roles may handle the same event type; they run in the order of registration.
    """

    def register(handler: HandlerT) -> HandlerT:
        HANDLERS.setdefault(event_type, []).append(handler)
        return handler

    return register


def reduce_event(state: Any, event: Event, now: float) -> list[Effect]:
    """Apply one event to the state of a node and return the effects to execute.

    Args:
        state: `NodeState`; changed in place, because the cost of a copy grows with the databases.
        event: Data class of a type with a registered handler.
        now: Monotonic time in seconds.

    Returns:
        Effects in the order in which the caller must start them.

    Raises:
        LookupError: No handler is registered for the type of the event.
    """
    handlers = HANDLERS.get(type(event))
    if handlers is None:
        raise LookupError(f'no handler for event type {type(event).__name__}')
    effects: list[Effect] = []
    for handler in handlers:
        effects.extend(handler(state, event, now))
    return effects
