"""HTTP server of the administration API with a bound on request bodies."""

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
# A body above the limit is read and dropped up to this size, so that the client sees the answer.
MAX_DROPPED_BYTES = 16 << 20

# Imported for the status sections that they register.
STATUS_MODULES = (cluster, status)


class BoundedRequest(Request):
    """Request that keeps at most `MAX_BODY_BYTES` of its body, and never in a file.

    Attributes:
        received_bytes: Size of the body so far.
    """

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory: VMs have no disk."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body unless it is too large."""
        self.received_bytes += len(data)
        if self.received_bytes <= MAX_BODY_BYTES:
            self.content.write(data)
        elif self.received_bytes > MAX_DROPPED_BYTES:
            self.channel.forceAbortClient()


class AdminSite(Site):
    """Site without an access log; the API logs its own events."""

    requestFactory = BoundedRequest  # noqa: N815

    def log(self, request: Any) -> None:
        """Write no line per request."""


def build_site(api: AdminApi) -> AdminSite:
    """Return the site of an API."""
    return AdminSite(AdminResource(api.app), timeout=IDLE_TIMEOUT_S)


def listen_for_administration(
    api: AdminApi, address: Address, reactor: Any, tls: CertificateSettings | None = None
) -> Any:
    """Start to listen.

    Args:
        api: The API.
        address: IP number and port; port 0 lets the system choose one.
        reactor: Twisted reactor.
        tls: Certificate files; plain TCP when None.

    Returns:
        Deferred that fires with the listening port.
    """
    factory: Any = build_site(api)
    if tls is not None:
        factory = TLSMemoryBIOFactory(ReloadingCertificates(tls), False, factory, reactor)
    endpoint = TCP6ServerEndpoint if ':' in address.host else TCP4ServerEndpoint
    return endpoint(reactor, address.port, interface=address.host).listen(factory)
