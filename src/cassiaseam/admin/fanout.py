"""Concurrent requests to the administration APIs of other daemons."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlencode

from cassiaseam.admin.numeric_agent import RESPONSE_TIMEOUT_S, build_client
from cassiaseam.settings.units import Address

MAX_RESPONSE_BYTES = 16 << 20
MAX_PARALLEL_REQUESTS = 32
HTTP_OK = 200


@dataclass(slots=True)
class GatheredResponses:
    """Responses of several daemons.

    Attributes:
        answers: JSON response by VM.
        unreachable: Reason by VM that did not respond.
    """

    answers: dict[str, Any] = field(default_factory=dict)
    unreachable: dict[str, str] = field(default_factory=dict)


class DaemonClient:
    """Sends requests to other daemons with the token of the requesting operator.

    Attributes:
        scheme: http or https.
        client: treq HTTP client.
        pool: Persistent connections.
    """

    def __init__(self, reactor: Any, authority_pem: bytes | None = None, uses_tls: bool = False):
        self.scheme = 'https' if uses_tls else 'http'
        self.client, self.pool = build_client(reactor, authority_pem)

    async def close(self) -> None:
        """Close idle connections."""
        await self.pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def query_daemons(
        self,
        daemons: Mapping[str, Address],
        path: str,
        arguments: Mapping[str, str],
        authorization: str,
    ) -> GatheredResponses:
        """Send a request to all daemons, with at most `MAX_PARALLEL_REQUESTS` in flight."""
        gathered = GatheredResponses()
        slots = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)
        query = urlencode(arguments)

        async def ask(vm: str, address: Address) -> None:
            url = f'{self.scheme}://{address}{path}?{query}'
            async with slots:
                try:
                    gathered.answers[vm] = await self.query_daemon(url, authorization)
                except Exception as error:
                    gathered.unreachable[vm] = _describe_failure(error)

        await asyncio.gather(*(ask(vm, address) for vm, address in daemons.items()))
        return gathered

    async def query_daemon(self, url: str, authorization: str) -> Any:
        """Send one request and return the JSON response; raises if there is none."""
        loop = asyncio.get_running_loop()
        headers = {'Authorization': authorization}
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            response = await self.client.get(url, headers=headers, allow_redirects=False).asFuture(
                loop
            )
            body = await _read_bounded(response).asFuture(loop)
        if response.code != HTTP_OK:
            raise ConnectionError(f'status {response.code}')
        return json.loads(body)


def _read_bounded(response: Any) -> Any:
    from treq import collect

    parts: list[bytes] = []
    received = 0

    def keep(part: bytes) -> None:
        nonlocal received
        received += len(part)
        if received > MAX_RESPONSE_BYTES:
            raise ConnectionError(f'answer above {MAX_RESPONSE_BYTES} bytes')
        parts.append(part)

    return collect(response, keep).addCallback(lambda _: b''.join(parts))


def _describe_failure(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return f'no answer within {RESPONSE_TIMEOUT_S:g}s'
    return f'{type(error).__name__}: {error}'[:200]
