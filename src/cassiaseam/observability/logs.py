"""Structured logging: one line of key=value pairs per event."""

import contextlib
import json
import re
from collections.abc import Iterator
from contextvars import ContextVar
from typing import Any

from absl import logging

MAX_VALUE_CHARS = 1000
REDACTED_TEXT = 'hidden'

_PLAIN = re.compile(r'[A-Za-z0-9_.:/@*,+\[\]{}()-]+', re.ASCII)
_STATEMENT_FIELDS = frozenset(('sql', 'statement', 'query'))
_SECRET_FIELDS = frozenset(('password', 'token', 'secret', 'authorization', 'key_text'))
_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
_bound_ids: ContextVar[tuple[tuple[str, str], ...]] = ContextVar('bound_ids', default=())


class StatementText:
    """Switch for statement text in log lines, which may contain personal data.

    Attributes:
        shown: Whether statement text is logged; False unless an operator enables it.
    """

    shown = False


def set_log_level(level: str) -> None:
    """Set the minimum level that is logged: debug, info, warning or error."""
    logging.set_verbosity(_LEVELS[level])


@contextlib.contextmanager
def bind_log_ids(request_id: str = '', trace_id: str = '') -> Iterator[None]:
    """Add request and trace IDs to all events logged within the context."""
    given = (('request_id', request_id), ('trace_id', trace_id))
    added = tuple((name, text) for name, text in given if text)
    reset = _bound_ids.set((*_bound_ids.get(), *added))
    try:
        yield
    finally:
        _bound_ids.reset(reset)


def log_event(kind: str, /, *, level: str = 'info', **fields: Any) -> None:
    """Log one event as one line.

    Args:
        kind: Name of the event, such as `promotion_started`.
        level: debug, info, warning or error.
        fields: Values to log; None values are omitted.
    """
    severity = _LEVELS[level]
    if logging.vlog_is_on(severity):
        logging.log(severity, '%s', format_log_event(kind, fields))


def format_log_event(kind: str, fields: dict[str, Any]) -> str:
    """Return the line of an event: its kind, then the bound IDs, then the fields."""
    pairs = {'event': kind, **dict(_bound_ids.get()), **fields}
    shown = ((name, value) for name, value in pairs.items() if value is not None)
    return ' '.join(f'{name}={_format_value(name, value)}' for name, value in shown)


def _format_value(name: str, value: Any) -> str:
    if name in _SECRET_FIELDS:
        return REDACTED_TEXT
    if name in _STATEMENT_FIELDS and not StatementText.shown:
        return REDACTED_TEXT
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, float):
        return f'{value:.6g}'
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = f'{text[:MAX_VALUE_CHARS]}...'
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
