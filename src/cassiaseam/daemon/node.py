"""Imperative shell around the reducer: dispatches events and executes effects."""

import time
from collections.abc import Callable
from typing import Any, TypeVar

from absl import logging

from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event

Executor = Callable[['Node', Any], None]
ExecutorT = TypeVar('ExecutorT', bound=Executor)

EXECUTORS: dict[type, Executor] = {}


def executes(effect_type: type) -> Callable[[ExecutorT], ExecutorT]:
    """Register the function `(node, effect)` that executes one effect type."""

    def register(executor: ExecutorT) -> ExecutorT:
        EXECUTORS[effect_type] = executor
        return executor

    return register


class Node:
    """One daemon: its state, its clock and its services.

    Attributes:
        state: State of the reducer; only `dispatch` changes it.
        services: Objects that executors use, by type.
        after_dispatch: Called after every event, or None.
    """

    def __init__(self, state: NodeState, clock: Callable[[], float] = time.monotonic):
        self.state = state
        self.clock = clock
        self.services: dict[type, Any] = {}
        self.after_dispatch: Callable[[], None] | None = None

    def dispatch(self, event: Any) -> None:
        """Reduce one event and execute its effects.

        An executor that raises is logged and does not prevent the other effects.
        """
        for effect in reduce_event(self.state, event, self.clock()):
            try:
                EXECUTORS[type(effect)](self, effect)
            except Exception:
                logging.exception('event=effect_failed effect=%s', type(effect).__name__)
        if self.after_dispatch is not None:
            self.after_dispatch()
