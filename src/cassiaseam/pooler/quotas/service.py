"""Connects the quotas to a running daemon: handlers, executors, and the terms in force."""

from collections.abc import Callable
from typing import Any

from cassiaseam.daemon.node import Node, executes
from cassiaseam.pooler.datagrams import PeerProtocol
from cassiaseam.pooler.quotas import issuing, leasing, responses
from cassiaseam.pooler.quotas.arithmetic import QuotaTerms
from cassiaseam.pooler.quotas.events import SendTokenRequest, SendTokens
from cassiaseam.pooler.quotas.quota_state import QuotaState
from cassiaseam.pooler.quotas.store_client import ShareClient
from cassiaseam.pooler.settings import PoolerSettings
from cassiaseam.pooler.state import PoolerState

# Importing these modules registers the handlers.
HANDLER_MODULES = (issuing, leasing, responses)


def add_share_client(node: Node, environment: Any, log: Callable[..., None]) -> None:
    """Add the client for the records of the shares to the services of a node."""
    node.services[ShareClient] = ShareClient(environment, node.dispatch, log)


def apply_terms(state: PoolerState, settings: PoolerSettings) -> None:
    """Put the terms of the settings in force; without terms or an address there are no quotas."""
    terms, address = settings.quotas, settings.listen.peers
    if terms is None or address is None:
        return
    quota_terms = QuotaTerms(terms.window, terms.overage, terms.slack)
    if state.quotas is None:
        state.quotas = QuotaState(quota_terms, address.host, address.port)
    state.quotas.terms = quota_terms


def confirm_listening(state: PoolerState) -> None:
    """Record that the port for token requests is open, so that this VM may claim shares."""
    if state.quotas is not None:
        state.quotas.listening = True


@executes(SendTokenRequest)
@executes(SendTokens)
def send_datagram(node: Node, effect: SendTokenRequest | SendTokens) -> None:
    """Send a token request or response to another VM."""
    node.services[PeerProtocol].send(effect)
