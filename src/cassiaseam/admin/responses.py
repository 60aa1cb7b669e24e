"""Parsing of requests and JSON encoding of responses of the administration API."""

import contextlib
import json
import math
import re
from datetime import UTC, datetime
from typing import Any

from result import Err, Ok, Result

from cassiaseam.errors import RESPONSES, ErrorKind, RequestError
from cassiaseam.settings.units import parse_duration_s
from cassiaseam.timeline.buffer import TimelineQuery

MAX_BODY_BYTES = 1 << 20
SINCE_FORM = 'since is a duration such as 5m, a time such as 2026-12-04T03:00:00Z, or Unix ms'

_UNIX_MS = re.compile(r'[0-9]{1,15}')


def encode_json(document: Any) -> bytes:
    """Return a value as compact JSON in UTF-8."""
    return json.dumps(document, ensure_ascii=False, separators=(',', ':')).encode()


def encode_error(error: RequestError) -> dict[str, Any]:
    """Return the JSON form of an error."""
    answer = RESPONSES[error.kind]
    shown: dict[str, Any] = {
        'kind': error.kind.value,
        'message': error.message,
        'ran': answer.ran.value,
        'retryable': answer.retryable,
    }
    if error.retry_after_s is not None:
        shown['retry_after_ms'] = int(error.retry_after_s * 1000)
    return {'error': shown}


def write_json(request: Any, status: int, document: Any) -> bytes:
    """Set the status and headers of a JSON response and return its body."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    request.setHeader('Cache-Control', 'no-store')
    return encode_json(document)


def write_error(request: Any, error: RequestError) -> bytes:
    """Set the status and headers of an error response and return its body."""
    if error.retry_after_s is not None:
        request.setHeader('Retry-After', str(math.ceil(error.retry_after_s)))
    return write_json(request, RESPONSES[error.kind].http_status, encode_error(error))


def check_body_size(request: Any) -> Result[int, RequestError]:
    """Return the size of a request body in bytes, or TOO_LARGE."""
    size = request.received_bytes
    if size <= MAX_BODY_BYTES:
        return Ok(size)
    message = f'the body has {size} bytes of at most {MAX_BODY_BYTES}'
    return Err(RequestError(ErrorKind.TOO_LARGE, message))


def read_json_body(request: Any) -> Result[Any, RequestError]:
    """Parse the body of a request as JSON."""
    request.content.seek(0)
    try:
        return Ok(json.loads(request.content.read().decode()))
    except (ValueError, RecursionError) as error:
        message = f'the body is not JSON: {type(error).__name__}'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))


def read_argument(request: Any, name: str) -> str:
    """Return the last value of a query argument, or ''."""
    found = request.args.get(name.encode(), [b''])[-1]
    return found.decode(errors='replace')


def parse_timeline_query(
    since: str, database: str, cursor: str, now: float
) -> Result[TimelineQuery, RequestError]:
    """Parse the query arguments of `/v1/timeline`.

    Args:
        since: Duration before now, ISO 8601 time, or Unix milliseconds; '' for everything.
        database: Name of a database, or '' for all.
        cursor: JSON object from VM to `[run, sequence]`, or ''.
        now: Seconds since the epoch.
    """
    since_ms = parse_since_ms(since, now)
    if since_ms is None:
        return Err(RequestError(ErrorKind.BAD_REQUEST, f'{SINCE_FORM}; found {since!r}'))
    try:
        positions = {
            str(vm): (str(run), int(sequence))
            for vm, (run, sequence) in dict(json.loads(cursor or '{}')).items()
        }
    except (ValueError, TypeError, RecursionError):
        message = 'cursor is a JSON object from VM to [run, sequence]'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    return Ok(TimelineQuery(since_ms, database, positions))


def parse_since_ms(since: str, now: float) -> int | None:
    """Return Unix milliseconds, or None if the format is unknown."""
    if not since:
        return 0
    if _UNIX_MS.fullmatch(since):
        return int(since)
    with contextlib.suppress(ValueError):
        return int((now - parse_duration_s(since)) * 1000)
    try:
        moment = datetime.fromisoformat(since)
    except ValueError:
        return None
    zone = moment.tzinfo or UTC
    return int(moment.replace(tzinfo=zone).timestamp() * 1000)
