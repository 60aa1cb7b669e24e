"""HTTP client that connects to IP addresses only."""

from typing import Any

from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint, wrapClientTLS
from twisted.internet.ssl import Certificate, platformTrust, trustRootFromCertificates
from twisted.web.client import URI, Agent, BrowserLikePolicyForHTTPS, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

RESPONSE_TIMEOUT_S = 2.0
IDLE_CONNECTION_TIMEOUT_S = 30


@implementer(IAgentEndpointFactory)
class NumericEndpoints:
    """Connects directly to the IP address in a URL.

    Twisted's host name endpoint waits 300 ms after a refused connection for further addresses,
    which would delay every response while one daemon is down.

    Attributes:
        reactor: Twisted reactor.
        policy: Verifies server certificates.
    """

    def __init__(self, reactor: Any, policy: BrowserLikePolicyForHTTPS):
        self.reactor = reactor
        self.policy = policy

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Return the endpoint for a URI; called by the agent."""
        host = uri.host.decode().strip('[]')
        endpoint_type = TCP6ClientEndpoint if ':' in host else TCP4ClientEndpoint
        endpoint = endpoint_type(self.reactor, host, uri.port, timeout=RESPONSE_TIMEOUT_S)
        if uri.scheme != b'https':
            return endpoint
        return wrapClientTLS(self.policy.creatorForNetloc(host.encode(), uri.port), endpoint)


def build_client(
    reactor: Any, authority_pem: bytes | None
) -> tuple[HTTPClient, HTTPConnectionPool]:
    """Return a client and its connection pool.

    Args:
        reactor: Twisted reactor.
        authority_pem: CA certificate of the servers; None uses the system's CA certificates.
    """
    trust = platformTrust()
    if authority_pem is not None:
        trust = trustRootFromCertificates([Certificate.loadPEM(authority_pem)])
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 1
    pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
    endpoints = NumericEndpoints(reactor, BrowserLikePolicyForHTTPS(trustRoot=trust))
    return HTTPClient(Agent.usingEndpointFactory(reactor, endpoints, pool)), pool
