"""HTTP server of the administration API with bounded request bodies."""

from io import BytesIO
from typing import Any

from twisted.internet.endpoints import TCP4ServerEndpoint, TCP6ServerEndpoint
from twisted.protocols.tls import TLSMemoryBIOFactory
from twisted.web.server import Request, Site

from cassiaseam.admin import cluster, status
from cassiaseam.admin.api import AdminApi
from cassiaseam.admin.certificates import ReloadingCertificates
from cassiaseam.admin.resource import AdminResource
from cassiaseam.admin.responses import MAX_BODY_BYTES
from cassiaseam.settings.model import CertificateSettings
from cassiaseam.settings.units import Address

IDLE_TIMEOUT_S = 30
# An oversized body is read and discarded up to this size, so that the client gets the response.
MAX_DISCARDED_BYTES = 16 << 20

# Importing these modules registers their status sections.
STATUS_MODULES = (cluster, status)


class BoundedRequest(Request):
    """Request that buffers at most `MAX_BODY_BYTES` of its body, and never in a file.

    Attributes:
        received_bytes: Number of body bytes received.
    """

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Buffer the body in memory, since VMs have no disk."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a chunk; discards chunks above the limit and aborts far above it."""
        self.received_bytes += len(data)
        if self.received_bytes <= MAX_BODY_BYTES:
            self.content.write(data)
        elif self.received_bytes > MAX_DISCARDED_BYTES:
            self.channel.forceAbortClient()


class AdminSite(Site):
    """Site without an access log; the API logs its own events."""

    requestFactory = BoundedRequest  # noqa: N815

    def log(self, request: Any) -> None:
        """Suppress the access log."""


def build_site(api: AdminApi) -> AdminSite:
    """Return the Twisted site of an API."""
    return AdminSite(AdminResource(api.app), timeout=IDLE_TIMEOUT_S)


def listen_for_administration(
    api: AdminApi, address: Address, reactor: Any, tls: CertificateSettings | None = None
) -> Any:
    """Start listening.

    Args:
        api: The API.
        address: IP address and port; port 0 selects a free port.
        reactor: Twisted reactor.
        tls: Certificate files; None disables TLS.

    Returns:
        Deferred that fires with the listening port.
    """
    factory: Any = build_site(api)
    if tls is not None:
        factory = TLSMemoryBIOFactory(ReloadingCertificates(tls), False, factory, reactor)
    endpoint = TCP6ServerEndpoint if ':' in address.host else TCP4ServerEndpoint
    return endpoint(reactor, address.port, interface=address.host).listen(factory)
