"""One key=value log line per event."""

import contextlib
import json
import re
from collections.abc import Iterator
from contextvars import ContextVar
from typing import Any

from absl import logging

MAX_VALUE_CHARS = 1000
HIDDEN_TEXT = 'hidden'

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
    """Whether log lines show statement text, which may hold personal data.

    Attributes:
        shown: False unless an operator asks for it.
    """

    shown = False


def set_log_level(level: str) -> None:
    """Set the lowest level that is logged: debug, info, warning or error."""
    logging.set_verbosity(_LEVELS[level])


@contextlib.contextmanager
def bind_log_ids(request_id: str = '', trace_id: str = '') -> Iterator[None]:
    """Add request and trace ids to all events logged inside the block."""
    given = (('request_id', request_id), ('trace_id', trace_id))
    added = tuple((name, text) for name, text in given if text)
    reset = _bound_ids.set((*_bound_ids.get(), *added))
    try:
        yield
    finally:
        _bound_ids.reset(reset)


def log_event(kind: str, /, *, level: str = 'info', **fields: Any) -> None:
    """Write one line for one event.

    Args:
        kind: Name of the event, such as `promotion_started`.
        level: debug, info, warning or error.
        fields: Values to show; None is left out.
    """
    severity = _LEVELS[level]
    if logging.vlog_is_on(severity):
        logging.log(severity, '%s', format_log_event(kind, fields))


def format_log_event(kind: str, fields: dict[str, Any]) -> str:
    """Return the line of an event: kind first, then the bound ids, then the fields."""
    pairs = {'event': kind, **dict(_bound_ids.get()), **fields}
    shown = ((name, found) for name, found in pairs.items() if found is not None)
    return ' '.join(f'{name}={_format_value(name, found)}' for name, found in shown)


def _format_value(name: str, found: Any) -> str:
    if name in _SECRET_FIELDS:
        return HIDDEN_TEXT
    if name in _STATEMENT_FIELDS and not StatementText.shown:
        return HIDDEN_TEXT
    if isinstance(found, bool):
        return 'true' if found else 'false'
    if isinstance(found, float):
        return f'{found:.6g}'
    text = str(found)
    if len(text) > MAX_VALUE_CHARS:
        text = f'{text[:MAX_VALUE_CHARS]}...'
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
