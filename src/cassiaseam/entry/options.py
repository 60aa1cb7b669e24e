"""Request options of callers: parsing, validation and precedence.

Options come from connection attributes, session variables, query attributes and the leading
comment of a statement; later sources take precedence.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError

OPTION_PREFIX = 'cassiaseam_'
DEFAULT_DEADLINE_S = 5.0
MAX_DURATION_S = 3600.0
MAX_KEY_CHARS = 128
MAX_TOKEN_CHARS = 512

_UNITS_S = {'us': 1e-6, 'ms': 1e-3, 's': 1.0, 'm': 60.0, 'min': 60.0, 'h': 3600.0}
_DURATION = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,9})?)(us|ms|s|min|m|h)')
_COMMENT = re.compile(r'\s*/\*\s*cassiaseam:\s*(.*?)\s*\*/', re.DOTALL)
_PAIR = re.compile(r'([a-z_]+)\s*=\s*(?:\'([^\']*)\'|"([^"]*)"|([^\s,\'"]*))')
_KEY = re.compile(r'[\x21-\x7e]+')
_BOOLEANS = {'yes': True, 'no': False, 'true': True, 'false': False, '1': True, '0': False}


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options that apply to one statement.

    Attributes:
        max_age_s: Maximum staleness of read data in seconds, or None if unset.
        deadline_s: Time until the final answer is due, in seconds.
        key: Idempotency key, or None.
        repeatable: Whether the caller allows a read to be retried after it may have run.
        token: Session token that raises the minimum log position (floor) of reads, or None.
    """

    max_age_s: float | None = None
    deadline_s: float = DEFAULT_DEADLINE_S
    key: str | None = None
    repeatable: bool = True
    token: str | None = None


OptionParser = Callable[[str], Result[tuple[str, object], RequestError]]
OPTION_PARSERS: dict[str, OptionParser] = {}


def parses_option(name: str) -> Callable[[OptionParser], OptionParser]:
    """Register the parser of one option; it returns a `RequestOptions` field and its value."""

    def register(parser: OptionParser) -> OptionParser:
        OPTION_PARSERS[name] = parser
        return parser

    return register


def parse_duration(text: str) -> Result[float, RequestError]:
    """Parse a duration such as `5s` or `200ms` and return it in seconds."""
    match = _DURATION.fullmatch(text.strip().lower())
    if match is None:
        return _refuse(f'duration {text!r} is not a number with a unit (us, ms, s, min, h)')
    seconds = float(match.group(1)) * _UNITS_S[match.group(2)]
    if seconds > MAX_DURATION_S:
        return _refuse(f'duration {text!r} exceeds {MAX_DURATION_S:g}s')
    return Ok(seconds)


def parse_leading_comment(sql: str) -> Result[dict[str, str], RequestError]:
    """Return the options in the leading comment `/* cassiaseam: name=value, ... */`.

    Returns an empty dict for a statement without such a comment.
    """
    if not sql.lstrip().startswith('/*'):
        return Ok({})
    match = _COMMENT.match(sql)
    if match is None:
        return Ok({})
    options: dict[str, str] = {}
    rest = match.group(1)
    while rest:
        pair = _PAIR.match(rest)
        if pair is None:
            return _refuse(f'malformed options {rest!r}')
        name, *values = pair.groups()
        options[name] = next(value for value in values if value is not None)
        rest = rest[pair.end() :].strip()
        if rest and not rest.startswith(','):
            return _refuse(f'malformed options {rest!r}')
        rest = rest[1:].lstrip()
    return Ok(options)


def select_prefixed_options(attributes: Mapping[str, object]) -> dict[str, str]:
    """Return the attributes that start with `cassiaseam_`, without the prefix."""
    return {
        str(name)[len(OPTION_PREFIX) :].lower(): str(text)
        for name, text in attributes.items()
        if str(name).lower().startswith(OPTION_PREFIX)
    }


def validate_options(texts: Mapping[str, str]) -> Result[RequestOptions, RequestError]:
    """Parse option texts; returns an error for the first invalid one."""
    values: dict[str, object] = {}
    for name, text in texts.items():
        parser = OPTION_PARSERS.get(name)
        if parser is None:
            known = ', '.join(sorted(OPTION_PARSERS))
            return _refuse(f'unknown option {name!r}; known are {known}')
        parsed = parser(text)
        if isinstance(parsed, Err):
            return parsed
        field_name, parsed_value = parsed.ok_value
        values[field_name] = parsed_value
    return Ok(RequestOptions(**values))  # type: ignore[arg-type]


@parses_option('max_age')
def parse_max_age(text: str) -> Result[tuple[str, object], RequestError]:
    """Parse the maximum staleness."""
    return parse_duration(text).map(lambda seconds: ('max_age_s', seconds))


@parses_option('deadline')
def parse_deadline(text: str) -> Result[tuple[str, object], RequestError]:
    """Parse the deadline, relative to the start of the statement."""
    duration = parse_duration(text)
    if isinstance(duration, Ok) and duration.ok_value <= 0:
        return _refuse('deadline must be longer than 0s')
    return duration.map(lambda seconds: ('deadline_s', seconds))


@parses_option('repeatable')
def parse_repeatable(text: str) -> Result[tuple[str, object], RequestError]:
    """Parse whether the statement may be retried."""
    if text.lower() not in _BOOLEANS:
        return _refuse(f'repeatable is {text!r}; expected yes or no')
    return Ok(('repeatable', _BOOLEANS[text.lower()]))


@parses_option('key')
def parse_key(text: str) -> Result[tuple[str, object], RequestError]:
    """Validate the idempotency key."""
    if len(text) > MAX_KEY_CHARS or not _KEY.fullmatch(text):
        return _refuse(f'key {text[:MAX_KEY_CHARS]!r} is not 1 to 128 printable characters')
    return Ok(('key', text))


@parses_option('token')
def parse_token(text: str) -> Result[tuple[str, object], RequestError]:
    """Validate the size of a session token; it is decoded once its database is known."""
    if not text or len(text) > MAX_TOKEN_CHARS:
        return _refuse('token is empty or too long')
    return Ok(('token', text))


def _refuse(message: str) -> Err[RequestError]:
    return Err(RequestError(ErrorKind.BAD_REQUEST, message))
