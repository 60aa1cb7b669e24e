"""HTTP calls to the platform, with timeout, circuit breaker and counters."""

import asyncio
import ipaddress
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import treq
from absl import logging
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.error import SchemeNotSupported
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from cassiaseam.objectstore.breaker import BackoffSettings, CircuitBreaker

_SERVER_ERROR = 500
_TOO_MANY_REQUESTS = 429
_CONNECTIONS_PER_HOST = 8


# Number in each answer that rises by one when the store is restored from a copy.
ERA_HEADER = 'Store-Era'


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Request to the platform.

    Attributes:
        method: HTTP method.
        path: Path with query string.
        body: JSON value, or None.
        headers: Additional headers.
        timeout_s: Timeout in seconds.
    """

    method: str
    path: str
    body: Any = None
    headers: dict[str, str] | None = None
    timeout_s: float = 1


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Response of the platform.

    Attributes:
        status: Status code.
        content: JSON content, or None if it is not JSON.
        era: Era of the store, 0 if the platform names none.
    """

    status: int
    content: Any
    era: int = 0


class CallFailed(Exception):
    """The platform gave no usable response.

    Attributes:
        may_have_arrived: Whether the platform may have executed the call.
        retry_after_s: Seconds after which to retry.
    """

    def __init__(self, message: str, may_have_arrived: bool, retry_after_s: float = 0):
        super().__init__(message)
        self.may_have_arrived = may_have_arrived
        self.retry_after_s = retry_after_s


@implementer(IAgentEndpointFactory)
class NumericEndpointFactory:
    """Connects to IP addresses only, so that no resolver thread is needed."""

    def __init__(self, reactor: Any):
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Return the endpoint for a URI; called by Twisted."""
        if uri.scheme != b'http':
            raise SchemeNotSupported(uri.scheme.decode())
        host = uri.host.decode().strip('[]')
        version = ipaddress.ip_address(host).version
        endpoint = TCP4ClientEndpoint if version == 4 else TCP6ClientEndpoint
        return endpoint(self.reactor, host, uri.port)


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body in one piece; the producer of treq would need the global reactor."""

    def __init__(self, body: bytes):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the body."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""


class HttpCaller:
    """HTTP client of one platform.

    Attributes:
        breaker: Circuit breaker; refuses calls while the platform is down.
        counters: `calls`, `failures`, `timeouts`, `refused`.
    """

    def __init__(
        self,
        base_url: str,
        reactor: Any,
        rng: random.Random,
        settings: BackoffSettings | None = None,
        token: str = '',
        clock: Callable[[], float] = time.monotonic,
    ):
        self.base_url = base_url.rstrip('/')
        self.clock = clock
        self.breaker = CircuitBreaker(settings or BackoffSettings(), rng)
        self.counters: Counter[str] = Counter()
        self.headers = {'Authorization': f'Bearer {token}'} if token else {}
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = _CONNECTIONS_PER_HOST
        # Twisted must not retry a request on a reused connection: a write could then take effect
        # twice.
        self.pool.retryAutomatically = False
        self.http = HTTPClient(
            Agent.usingEndpointFactory(reactor, NumericEndpointFactory(reactor), pool=self.pool)
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self.pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def run(self, call: HttpCall) -> HttpReply:
        """Make one attempt of a call.

        Raises:
            CallFailed: Timeout, connection failure, server error, or open circuit.
        """
        now = self.clock()
        wait_s = self.breaker.find_wait(now)
        if wait_s > 0:
            self.counters['refused'] += 1
            raise CallFailed('platform is down', False, wait_s)
        self.breaker.start_trial(now)
        self.counters['calls'] += 1
        try:
            reply = await self.send(call)
        except CallFailed as failure:
            self.counters['failures'] += 1
            self.breaker.record_failure(self.clock())
            logging.warning(
                'event=platform_call_failed method=%s path=%s cause=%r',
                call.method,
                call.path,
                str(failure),
            )
            raise
        except asyncio.CancelledError:
            self.breaker.end_trial(self.clock())
            raise
        self.breaker.record_success()
        return reply

    async def send(self, call: HttpCall) -> HttpReply:
        """Send a call and read its response within the timeout."""
        try:
            async with asyncio.timeout(call.timeout_s):
                return await self.exchange(call)
        except (CallFailed, asyncio.CancelledError):
            raise
        except Exception as error:
            raise self.classify_failure(error) from error

    def classify_failure(self, error: Exception) -> CallFailed:
        """Convert an exception of the HTTP client to `CallFailed`."""
        if isinstance(error, TimeoutError):
            self.counters['timeouts'] += 1
            return CallFailed('no answer in time', may_have_arrived=True)
        return CallFailed(repr(error), may_have_arrived=not isinstance(error, ConnectError))

    async def exchange(self, call: HttpCall) -> HttpReply:
        """Send a call and return its response."""
        loop = asyncio.get_running_loop()
        options: dict[str, Any] = {'headers': {**self.headers, **(call.headers or {})}}
        if call.body is not None:
            encoded = json.dumps(call.body, separators=(',', ':')).encode()
            options['data'] = BytesProducer(encoded)
            options['headers']['Content-Type'] = 'application/json'
        url = f'{self.base_url}{call.path}'
        response = await self.http.request(call.method, url, **options).asFuture(loop)
        content = await treq.content(response).asFuture(loop)
        if response.code >= _SERVER_ERROR or response.code == _TOO_MANY_REQUESTS:
            raise CallFailed(f'status {response.code}', may_have_arrived=True)
        era = response.headers.getRawHeaders(ERA_HEADER, ['0'])[0]
        if not era.isdecimal():
            raise CallFailed(f'Store-Era {era!r} is not a number', may_have_arrived=True)
        return HttpReply(response.code, parse_json(content), int(era))


def parse_json(content: bytes) -> Any:
    """Parse the JSON content of a response; None if it is not JSON or nested too deeply."""
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        return None
