"""Runs a daemon in the pooler role: turns I/O and timers into events, and executes effects."""

import random
import traceback
from pathlib import Path
from typing import Any

from result import Err
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import CannotListenError

from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.signals import PendingSignals
from cassiaseam.httpio import HttpServerFactory
from cassiaseam.observability.bounded_output import BoundedOutput
from cassiaseam.observability.logs import format_log_event
from cassiaseam.observability.refusals import RefusalLog
from cassiaseam.pooler import (
    discovery,
    failover,
    operations,
    peers,
    sample_sharing,
    sessions,
    store_era,
    targets,
    ticks,
)
from cassiaseam.pooler.admission.mode import Admission
from cassiaseam.pooler.clock import install_reactor, read_clock
from cassiaseam.pooler.datagrams import PeerProtocol
from cassiaseam.pooler.environments import Environment, find_environment
from cassiaseam.pooler.events import (
    AcceptCaller,
    AnswerCaller,
    CallPromotion,
    CloseCaller,
    CloseConnection,
    LeaseRead,
    LeaseReadFailed,
    LeaseWritten,
    OpenConnection,
    PeerRecord,
    PoolerStopping,
    PoolerTick,
    PromotionAnswered,
    ReadLease,
    RefuseCaller,
    SendCommands,
    WriteLease,
    WriteLog,
)
from cassiaseam.pooler.metrics import render_metrics
from cassiaseam.pooler.quotas import service as quota_service
from cassiaseam.pooler.relay import handlers as relay_handlers
from cassiaseam.pooler.relay.service import RelayService
from cassiaseam.pooler.settings import PoolerSettings, load_pooler_settings
from cassiaseam.pooler.size_client import SizeClient
from cassiaseam.pooler.state import PoolerState
from cassiaseam.pooler.store_types import DutySnapshot
from cassiaseam.pooler.store_watcher import StoreWatcher
from cassiaseam.pooler.vm_registry import VmRegistry

# Importing these modules registers the handlers.
HANDLER_MODULES = (
    discovery,
    failover,
    operations,
    peers,
    relay_handlers,
    sessions,
    sample_sharing,
    store_era,
    targets,
    ticks,
    *quota_service.HANDLER_MODULES,
)
# Connections that the kernel queues while the event loop is busy.
LISTEN_BACKLOG = 512
# Upper limits of the time that a watch of the store waits: in seconds, and as a fraction of the
# history retention of the store, because a watch must end before its revision is dropped.
MAX_WATCH_TIMEOUT_S = 25.0
WATCH_HISTORY_RATIO = 0.85
# Part of the stop limit that is reserved for the exit of the process.
STOP_MARGIN_S = 0.4
# Part of the rest in which the final answers are delivered.
DELIVERY_MARGIN_S = 0.3
# Delay of the exit at the stop limit, in which the latest answers leave the process.
FLUSH_S = 0.05
EXIT_START_FAILED = 1
METRICS_PATH = '/metrics'
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class PoolerRuntime:
    """One daemon in the pooler role.

    Attributes:
        settings: Settings in force.
        node: State, clock and services.
        environment: Adapter for callers, targets and the store.
        output: Writer of log lines.
        signals: Signals that the next tick handles.
        refusals: Refused records that no other service reads.
        exit_code: Exit code of the process.
    """

    def __init__(self, settings: PoolerSettings, path: str, reactor: Any, signals: PendingSignals):
        self.settings = settings
        self.signals = signals
        self.path = path
        self.reactor = reactor
        self.output = BoundedOutput(read_clock, prefix=f'vm={settings.vm} ')
        rng = random.Random()
        state = PoolerState(
            settings.vm,
            settings.place,
            rng,
            started_at=read_clock(),
            regions=dict(settings.regions),
        )
        self.refusals = RefusalLog(self.log)
        self.node = Node(state, read_clock)
        builder = find_environment(settings.environment)
        if builder is None:
            raise LookupError(f'unknown environment {settings.environment!r}')
        self.environment = builder(settings, reactor, self.node.dispatch)
        state.admission = self.find_admission()
        self.node.services[PoolerRuntime] = self
        self.node.services[Environment] = self.environment
        self.node.services[SizeClient] = SizeClient(self.environment, self.node.dispatch, self.log)
        quota_service.add_share_client(self.node, self.environment, self.log)
        quota_service.apply_terms(state, settings)
        watch_timeout_s = min(MAX_WATCH_TIMEOUT_S, settings.store_history * WATCH_HISTORY_RATIO)
        self.watcher = StoreWatcher(
            reactor, self.environment, self.node.dispatch, self.log, rng, watch_timeout_s
        )
        self.relay = RelayService(reactor, self.node.dispatch, lambda: sessions.get_version(state))
        self.node.services[RelayService] = self.relay
        is_set = settings.relay is not None
        state.relay.enabled = settings.relay if is_set else state.adaptive_admission
        self.peers = PeerProtocol(self.node.dispatch, self.log)
        self.node.services[PeerProtocol] = self.peers
        self.directory = self.build_directory(rng)
        self.ticker: Any = None
        self.next_tick_at = read_clock()
        self.finished = False
        self.exit_code = 0

    def find_admission(self) -> Admission:
        """Return the mode of admission: the one set, or else what the platform asks for."""
        if self.settings.admission is not None:
            return self.settings.admission
        return self.environment.find_admission(self.settings.terms)

    def build_directory(self, rng: random.Random) -> VmRegistry | None:
        """Return the directory of peers, or None without an address for peers."""
        address = self.settings.listen.peers
        if address is None:
            return None
        own = PeerRecord(self.settings.vm, self.settings.place, address.host, address.port)
        return VmRegistry(
            self.reactor,
            self.environment,
            own,
            self.node.dispatch,
            self.log,
            rng,
            self.count_peer_failures,
        )

    def count_peer_failures(self, vm: str) -> int:
        """Return the number of consecutive requests that a peer did not answer."""
        peer = self.node.state.peers.get(vm)
        return peer.failures if peer is not None else 0

    def log(self, kind: str, /, **fields: Any) -> None:
        """Write a log line."""
        self.output.write_line(format_log_event(kind, fields))

    def log_refused_lease(self, snapshot: DutySnapshot) -> None:
        """Log once that the lease record is invalid."""
        if snapshot.problem:
            self.refusals.report('duty_record_refused', '', snapshot.problem)
        else:
            self.refusals.forget('duty_record_refused', '')

    def log_failure(self, failure: Any) -> None:
        """Log an unhandled exception."""
        self.log('task_failed', cause=failure.getTraceback(), level='error')

    def start(self) -> None:
        """Open the ports and follow the store; stop the daemon if a port is unavailable."""
        try:
            self.open_ports()
        except CannotListenError as error:
            self.log('daemon_start_failed', cause=str(error), level='error')
            self.exit_code = EXIT_START_FAILED
            self.finished = True
            self.reactor.stop()
            return
        self.watcher.start()
        self.start_peering()
        self.node.after_dispatch = self.expedite_tick
        self.schedule_tick(ticks.TICK_INTERVAL_S)
        listen = self.settings.listen
        self.log('daemon_started', place=self.settings.place, callers=str(listen.callers))

    def open_ports(self) -> None:
        """Listen for callers, readiness probes and metrics scrapers.

        Raises:
            CannotListenError: A port is in use.
        """
        listen = self.settings.listen
        self.listen(listen.callers, self.environment.callers)
        server = HttpServerFactory(self.respond)
        self.listen(listen.readiness, server)
        if listen.metrics is not None:
            self.listen(listen.metrics, server)

    def start_peering(self) -> None:
        """Open the UDP port for peers and start the directory; a failure is not fatal."""
        if self.directory is None:
            return
        own = self.directory.own
        try:
            self.reactor.listenUDP(own.port, self.peers, interface=own.host)
        except CannotListenError as error:
            self.log('peers_unavailable', cause=str(error), level='error')
            return
        quota_service.confirm_listening(self.node.state)
        self.directory.start()
        if self.node.state.relay.enabled:
            self.open_relay_port(own)

    def open_relay_port(self, own: PeerRecord) -> None:
        """Open the TCP port for relayed sessions; a failure is not fatal."""
        try:
            self.listen(own, self.relay.listener)
        except CannotListenError as error:
            self.log('relay_unavailable', cause=str(error), level='error')

    def listen(self, address: Any, factory: Any) -> None:
        """Listen for TCP connections at an address."""
        self.reactor.listenTCP(
            address.port, factory, backlog=LISTEN_BACKLOG, interface=address.host
        )

    def schedule_tick(self, delay_s: float) -> None:
        """Schedule the next tick."""
        self.next_tick_at = read_clock() + delay_s
        self.ticker = self.reactor.callLater(delay_s, self.tick)

    def expedite_tick(self) -> None:
        """Reschedule the next tick to an earlier time when an event has started work."""
        if self.ticker is None or self.next_tick_at - read_clock() <= ticks.TICK_INTERVAL_S:
            return
        if ticks.find_tick_interval_s(self.node.state) < ticks.IDLE_TICK_INTERVAL_S:
            self.ticker.cancel()
            self.schedule_tick(ticks.TICK_INTERVAL_S)

    def tick(self) -> None:
        """Run a tick, log an exception in it and schedule the next one."""
        self.ticker = None
        late_s = read_clock() - self.next_tick_at
        try:
            self.run_tick(late_s)
        except Exception:
            self.log('tick_failed', cause=traceback.format_exc(), level='error')
        if not self.finished:
            self.schedule_tick(ticks.find_tick_interval_s(self.node.state))

    def run_tick(self, late_s: float) -> None:
        """Handle signals, dispatch the tick and stop the daemon when it has finished.

        Args:
            late_s: Seconds by which the tick is late.
        """
        if self.signals.consume_reload_request():
            self.reload()
        limit_s = self.settings.stop_limit - STOP_MARGIN_S
        if self.signals.consume_stop_request():
            self.log('daemon_stopping', sessions=len(self.node.state.sessions))
            self.node.dispatch(PoolerStopping(max(limit_s - DELIVERY_MARGIN_S, 0)))
        self.node.dispatch(PoolerTick(suspended_s=late_s))
        self.relay.close_outdated()
        if self.node.state.stopping_since is not None:
            self.relay.close_for_stop(
                read_clock() - self.node.state.stopping_since,
                sessions.STOP_GRACE_S,
                ticks.TRANSACTION_GRACE_S,
                limit_s,
            )
        # Answers may still be buffered after the state has removed their session.
        flushed = not self.environment.callers.sessions and not self.relay.sessions
        if ticks.is_shutdown_complete(self.node.state, read_clock(), limit_s, flushed):
            self.end_process(flushed)

    def reload(self) -> None:
        """Reload the settings file; keep the current settings if it is invalid."""
        loaded = load_pooler_settings(self.path)
        if isinstance(loaded, Err):
            self.log('settings_refused', cause=loaded.err_value)
            return
        self.settings = loaded.ok_value
        self.node.state.regions = dict(self.settings.regions)
        self.node.state.admission = self.find_admission()
        quota_service.apply_terms(self.node.state, self.settings)
        self.log('settings_reloaded', file=str(Path(self.path).name))

    def end_process(self, flushed: bool) -> None:
        """Stop the reactor, and before that write what is buffered for connected callers.

        Without a connected caller it stops at once: one that connected meanwhile would be cut.
        """
        self.finished = True
        if flushed:
            self.finish()
        else:
            # The reactor drops what is buffered when it stops, also answers of the last tick.
            self.reactor.callLater(FLUSH_S, self.finish)

    def finish(self) -> None:
        """Stop the reactor."""
        self.log('daemon_stopped', sessions=len(self.node.state.sessions))
        self.reactor.stop()

    def respond(self, method: str, path: str) -> tuple[int, str, bytes]:
        """Respond to readiness probes and metrics scrapes."""
        if path == self.environment.readiness_path:
            return (200 if ticks.is_ready(self.node.state) else 503), 'application/json', b'{}'
        if path == METRICS_PATH:
            return 200, METRICS_TYPE, render_metrics(self.node.state)
        return 404, 'application/json', b'{}'


def run_pooler(settings: PoolerSettings, path: str, signals: PendingSignals) -> int:
    """Run a daemon in the pooler role until it stops, and return its exit code.

    Raises:
        ReactorAlreadyInstalledError: A module has imported the default reactor.
    """
    reactor = install_reactor()
    runtime = PoolerRuntime(settings, path, reactor, signals)
    reactor.callWhenRunning(runtime.start)
    reactor.run(installSignalHandlers=False)
    return runtime.exit_code


def get_session(node: Node, session_id: int) -> Any:
    """Return the connection of a caller, or None if it is closed."""
    return node.services[Environment].callers.sessions.get(session_id)


def run_coroutine(node: Node, coroutine: Any) -> None:
    """Run a coroutine and log an exception in it."""
    runtime = node.services[PoolerRuntime]
    ensureDeferred(coroutine).addErrback(runtime.log_failure)


@executes(AcceptCaller)
def accept_caller(node: Node, effect: AcceptCaller) -> None:
    """Tell a caller that its session is open."""
    caller = get_session(node, effect.session_id)
    if caller is not None:
        caller.accept()


@executes(RefuseCaller)
def refuse_caller(node: Node, effect: RefuseCaller) -> None:
    """Tell a caller why its session is refused."""
    caller = get_session(node, effect.session_id)
    if caller is not None:
        caller.refuse(effect.error)


@executes(AnswerCaller)
def answer_caller(node: Node, effect: AnswerCaller) -> None:
    """Send a final answer."""
    caller = get_session(node, effect.session_id)
    if caller is not None:
        caller.answer(effect)


@executes(CloseCaller)
def close_caller(node: Node, effect: CloseCaller) -> None:
    """Close the connection of a caller."""
    caller = get_session(node, effect.session_id)
    if caller is not None:
        caller.close()


@executes(OpenConnection)
def open_connection(node: Node, effect: OpenConnection) -> None:
    """Open a connection to a target."""
    node.services[Environment].targets.open(effect)


@executes(SendCommands)
def send_commands(node: Node, effect: SendCommands) -> None:
    """Send commands to a target."""
    connection = node.services[Environment].targets.connections.get(effect.connection_id)
    if connection is not None:
        connection.send_commands(effect.commands)


@executes(CloseConnection)
def close_connection(node: Node, effect: CloseConnection) -> None:
    """Close a connection to a target."""
    connection = node.services[Environment].targets.connections.get(effect.connection_id)
    if connection is not None:
        connection.close()


@executes(WriteLog)
def write_log(node: Node, effect: WriteLog) -> None:
    """Write a log line."""
    node.services[PoolerRuntime].log(effect.kind, **effect.fields)


@executes(ReadLease)
def read_duty(node: Node, effect: ReadLease) -> None:
    """Read the lease record."""

    async def read() -> None:
        found = await node.services[Environment].store.read_duty()
        if isinstance(found, Err):
            node.services[PoolerRuntime].log('duty_read_failed', cause=found.err_value.reason)
            node.dispatch(LeaseReadFailed())
        else:
            snapshot = found.ok_value
            node.services[PoolerRuntime].log_refused_lease(snapshot)
            node.dispatch(LeaseRead(snapshot.revision, snapshot.record))

    run_coroutine(node, read())


@executes(WriteLease)
def write_duty(node: Node, effect: WriteLease) -> None:
    """Write the lease record."""

    async def write() -> None:
        store = node.services[Environment].store
        written = await store.write_duty(effect.record, effect.revision)
        node.dispatch(LeaseWritten(effect.record, written.outcome, written.revision))

    run_coroutine(node, write())


@executes(CallPromotion)
def call_promotion(node: Node, effect: CallPromotion) -> None:
    """Ask the platform to promote a target."""

    async def call() -> None:
        promotions = node.services[Environment].promotions
        answer = await promotions.promote(
            effect.group,
            effect.target,
            effect.holder,
            effect.fencing_token,
            may_send=lambda: node.clock() <= effect.send_by,
        )
        if isinstance(answer, Err):
            failure = answer.err_value
            event = PromotionAnswered(
                effect.group,
                effect.target,
                accepted=False,
                reason=failure.reason,
                may_have_run=failure.may_have_run,
                may_arrive=failure.may_arrive,
                fencing_token=effect.fencing_token,
            )
        else:
            event = PromotionAnswered(
                effect.group,
                effect.target,
                accepted=True,
                fencing_token=effect.fencing_token,
            )
        node.dispatch(event)

    run_coroutine(node, call())
