"""Runs the relayed sessions of one VM, and executes the effects of the relay."""

from collections.abc import Callable
from typing import Any

from cassiaseam.daemon.node import Node, executes
from cassiaseam.pooler.environments import Environment
from cassiaseam.pooler.events import PeerRecord
from cassiaseam.pooler.relay import decisions
from cassiaseam.pooler.relay.events import (
    AcceptRelay,
    PeerAnswered,
    ProbeRelay,
    RefuseRelay,
    RelayEnded,
    RelaySession,
    SessionRelayed,
)
from cassiaseam.pooler.relay.listener import RelayListener
from cassiaseam.pooler.relay.pipe import SessionPipe
from cassiaseam.pooler.relay.requests import PeerConnection, PeerRequest

# Seconds before the stop limit at which all relayed sessions are closed, so that buffered bytes
# are still written.
CLOSE_MARGIN_S = 0.2


class OutgoingRelay:
    """One session of a caller that is relayed, from the choice of the peer to its end.

    Attributes:
        session_id: Session of the caller.
        version: Version of the configuration that its latest request named.
        peer: Name of the peer that accepted it, or ''.
        pipe: Both connections, or None before a peer has accepted it.
    """

    def __init__(self, service: 'RelayService', caller: Any, request: RelaySession):
        self.service = service
        self.caller = caller
        self.session_id = request.session_id
        self.group = request.group
        self.version = request.version
        self.remaining = list(request.peers)
        self.attempts = 0
        self.started_at = service.reactor.seconds()
        self.peer = ''
        self.pipe: SessionPipe | None = None
        self.caller_lost = False

    def ask_next_peer(self) -> None:
        """Ask the next peer; without one, this VM serves the caller itself."""
        if self.caller_lost:
            self.end('caller_closed')
        elif self.remaining:
            self.attempts += 1
            record = self.remaining.pop(0)
            PeerRequest(
                self.service.reactor, record, self.group, self.version, self.receive_answer
            ).start()
        else:
            self.end('no_peer')
            self.caller.continue_locally()

    def receive_answer(
        self, record: PeerRecord, cause: str, responded: bool, connection: PeerConnection | None
    ) -> None:
        """Connect the caller to a peer that accepts its session, or ask the next one."""
        in_force = self.service.get_version()
        cause = decisions.find_answer_refusal(cause, self.version, in_force)
        self.service.dispatch(PeerAnswered(record.vm, self.group, cause, responded))
        if connection is not None and (cause or self.caller_lost):
            connection.transport.loseConnection()
        if cause:
            self.version = in_force
            self.ask_next_peer()
        elif self.caller_lost:
            self.end('caller_closed')
        else:
            self.peer = record.vm
            self.pipe = SessionPipe(self.caller, connection, self.close_if_outdated, self.finish)
            self.pipe.start(self.caller.take_input())
            self.caller.transport.resumeProducing()
            took_s = self.service.reactor.seconds() - self.started_at
            self.service.dispatch(
                SessionRelayed(self.session_id, record.vm, self.group, self.attempts, took_s)
            )

    def receive_from_caller(self, data: bytes) -> None:
        """Pass bytes of the caller to the peer."""
        if self.pipe is not None:
            self.pipe.receive_from_caller(data)

    def lose_caller(self) -> None:
        """Handle the end of the connection of the caller."""
        self.caller_lost = True
        if self.pipe is not None:
            self.pipe.lose_caller()

    def close_if_outdated(self) -> None:
        """Close this session if it is idle and was relayed under another version.

        Its caller connects again and is served under one version on both VMs.
        """
        if self.pipe is None or self.pipe.cause or self.version == self.service.get_version():
            return
        if self.pipe.is_idle():
            self.pipe.close('other_version')

    def finish(self) -> None:
        """Report the end of both connections."""
        self.end(self.pipe.cause, self.pipe.tracker.is_outstanding())

    def end(self, cause: str, outstanding: bool = False) -> None:
        """Remove this session and report its end."""
        self.service.sessions.pop(self.session_id, None)
        self.service.dispatch(RelayEnded(self.session_id, cause, self.peer, outstanding))


class RelayService:
    """Relayed sessions of one VM.

    Attributes:
        reactor: Twisted reactor.
        dispatch: Callback for events.
        get_version: Returns the version of the configuration in force, or 0 without one.
        listener: Factory for the connections of peers.
        sessions: Sessions of callers that are relayed to a peer.
    """

    def __init__(
        self, reactor: Any, dispatch: Callable[[Any], None], get_version: Callable[[], int]
    ):
        self.reactor = reactor
        self.dispatch = dispatch
        self.get_version = get_version
        self.listener = RelayListener(reactor, dispatch)
        self.sessions: dict[int, OutgoingRelay] = {}

    def relay_session(self, caller: Any, request: RelaySession) -> None:
        """Relay the session of a caller to the first of the peers that accepts it."""
        relay = OutgoingRelay(self, caller, request)
        self.sessions[request.session_id] = relay
        caller.hand_over(relay)
        relay.ask_next_peer()

    def probe(self, effect: ProbeRelay) -> None:
        """Ask a peer whether it accepts sessions, without relaying one."""

        def receive_answer(
            record: PeerRecord,
            cause: str,
            responded: bool,
            connection: PeerConnection | None,
        ) -> None:
            if connection is not None:
                connection.transport.loseConnection()
            cause = decisions.find_answer_refusal(cause, effect.version, self.get_version())
            self.dispatch(PeerAnswered(record.vm, effect.group, cause, responded))

        PeerRequest(
            self.reactor, effect.peer, effect.group, effect.version, receive_answer
        ).start()

    def close_outdated(self) -> None:
        """Close the idle sessions that are relayed under another version than the one in force."""
        for relay in list(self.sessions.values()):
            relay.close_if_outdated()

    def close_for_stop(
        self, stopping_s: float | None, grace_s: float, transaction_grace_s: float, limit_s: float
    ) -> None:
        """Close the relayed sessions that a stopping VM may close now.

        Args:
            stopping_s: Seconds since the stop request, or None.
            grace_s: Seconds for which idle sessions stay open.
            transaction_grace_s: Seconds for which idle transactions stay open.
            limit_s: Seconds after which the process ends.
        """
        for relay in list(self.sessions.values()):
            pipe = relay.pipe
            if pipe is None or pipe.cause:
                continue
            if decisions.may_close_relayed(
                stopping_s,
                pipe.tracker.is_outstanding(),
                pipe.tracker.in_transaction,
                grace_s,
                transaction_grace_s,
                limit_s - CLOSE_MARGIN_S,
            ):
                pipe.answer_outstanding(relay.session_id)
                pipe.close('stopping')


@executes(RelaySession)
def relay_session(node: Node, effect: RelaySession) -> None:
    """Relay the session of a caller."""
    service = node.services[RelayService]
    caller = node.services[Environment].callers.sessions.get(effect.session_id)
    if caller is None:
        node.dispatch(RelayEnded(effect.session_id, 'caller_closed'))
    else:
        service.relay_session(caller, effect)


@executes(ProbeRelay)
def probe_relay(node: Node, effect: ProbeRelay) -> None:
    """Ask a peer whether it accepts sessions."""
    node.services[RelayService].probe(effect)


@executes(AcceptRelay)
def accept_relay(node: Node, effect: AcceptRelay) -> None:
    """Accept the session of a peer."""
    connection = node.services[RelayService].listener.connections.get(effect.connection_id)
    if connection is not None:
        callers = node.services[Environment].callers
        connection.accept(callers.build_relayed_protocol(effect.version))


@executes(RefuseRelay)
def refuse_relay(node: Node, effect: RefuseRelay) -> None:
    """Refuse the session of a peer."""
    connection = node.services[RelayService].listener.connections.get(effect.connection_id)
    if connection is not None:
        connection.refuse(effect.cause)
