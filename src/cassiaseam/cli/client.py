"""HTTP client for the administration API."""

import json
import ssl
from http.client import HTTPException
from pathlib import Path
from typing import Any
from urllib.error import HTTPError, URLError
from urllib.parse import urlencode
from urllib.request import (
    HTTPRedirectHandler,
    HTTPSHandler,
    ProxyHandler,
    Request,
    build_opener,
)

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError

TIMEOUT_S = 10.0
MAX_RESPONSE_BYTES = 64 << 20
_MALFORMED = (OSError, HTTPException, ValueError, KeyError, TypeError)


class NoRedirectHandler(HTTPRedirectHandler):
    """Refuses redirects, which could leak the token to another server."""

    def redirect_request(self, *arguments: Any) -> None:
        """Return no request, which makes the redirect an error."""


class ApiClient:
    """Client for the administration API of one daemon.

    Attributes:
        api: Base URL.
        token: Bearer token.
        opener: URL opener that uses no proxy and follows no redirects.
        timeout_s: Timeout of one call in seconds.
    """

    def __init__(self, api: str, token: str, ca_file: str = '', timeout_s: float = TIMEOUT_S):
        self.api = api.rstrip('/')
        self.token = token
        context = ssl.create_default_context(cafile=ca_file or None)
        self.opener = build_opener(
            ProxyHandler({}), HTTPSHandler(context=context), NoRedirectHandler()
        )
        self.timeout_s = timeout_s

    def read(self, path: str, **arguments: str) -> Result[Any, RequestError]:
        """Send a GET request and return the response."""
        given = {name: text for name, text in arguments.items() if text}
        return self.call('GET', f'{path}?{urlencode(given)}')

    def send(self, path: str, document: Any = None) -> Result[Any, RequestError]:
        """Send a POST request and return the response."""
        return self.call('POST', path, json.dumps(document).encode())

    def call(self, method: str, path: str, body: bytes | None = None) -> Result[Any, RequestError]:
        """Send a request and return the JSON response.

        Without a response, a POST that was sent fails with OUTCOME_UNKNOWN; all other requests
        fail with PEER_UNREACHABLE.
        """
        if not self.api.startswith(('http://', 'https://')):
            message = f'the API address is an http or https URL, not {self.api!r}'
            return Err(RequestError(ErrorKind.BAD_REQUEST, message))
        headers = {'Authorization': f'Bearer {self.token}', 'Content-Type': 'application/json'}
        try:
            request = Request(f'{self.api}{path}', data=body, headers=headers, method=method)
            with self.opener.open(request, timeout=self.timeout_s) as response:
                return Ok(json.loads(response.read(MAX_RESPONSE_BYTES)))
        except HTTPError as error:
            return Err(_decode_error(error))
        except (OSError, HTTPException, ValueError) as error:
            kind = _find_failure_kind(method, error)
            return Err(RequestError(kind, f'{self.api}: {_describe(error)}'))


def read_token_file(file: str) -> Result[str, RequestError]:
    """Read a token from a file."""
    try:
        token = Path(file).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f'token file {file!r}: {_describe(error)}'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    if not token.isascii() or not token.isprintable() or not token:
        message = f'token file {file!r} holds no printable ASCII token'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    return Ok(token)


def _find_failure_kind(method: str, error: Exception) -> ErrorKind:
    # urllib raises URLError only for failures before the request has been sent.
    if method == 'POST' and not isinstance(error, URLError):
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.PEER_UNREACHABLE


def _describe(error: Exception) -> str:
    reason = getattr(error, 'reason', error)
    return f'{type(reason).__name__}: {reason}'


def _decode_error(error: HTTPError) -> RequestError:
    try:
        with error:
            found = json.loads(error.read(MAX_RESPONSE_BYTES))['error']
        return RequestError(ErrorKind(found['kind']), str(found['message']))
    except _MALFORMED:
        message = f'unexpected answer with status {error.code}'
        return RequestError(ErrorKind.INTERNAL, message)
