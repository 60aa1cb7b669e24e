"""Runs a daemon in the pooler role: sockets and timers become events, effects become calls."""

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
from cassiaseam.pooler import (
    catalogue,
    failover,
    operations,
    peers,
    sessions,
    sharing,
    targets,
    ticks,
)
from cassiaseam.pooler.clock import install_reactor, read_clock
from cassiaseam.pooler.datagrams import PeerProtocol
from cassiaseam.pooler.directory import VmDirectory
from cassiaseam.pooler.environments import Environment, find_environment
from cassiaseam.pooler.events import (
    AcceptCaller,
    AnswerCaller,
    AskSample,
    CallPromotion,
    CloseCaller,
    CloseTarget,
    DutyRead,
    DutyReadFailed,
    DutyWritten,
    OfferSample,
    OpenTarget,
    PeerRecord,
    PoolerStopping,
    PoolerTick,
    PromotionAnswered,
    ReadDuty,
    RefuseCaller,
    SendCommands,
    WriteDuty,
    WriteLog,
)
from cassiaseam.pooler.metrics import render_metrics
from cassiaseam.pooler.settings import PoolerSettings, load_pooler_settings
from cassiaseam.pooler.state import PoolerState
from cassiaseam.pooler.storecalls import SizeCalls
from cassiaseam.pooler.storewatch import StoreWatcher

# Importing these modules registers the handlers.
REGISTERED = (catalogue, failover, operations, peers, sessions, sharing, targets, ticks)
# Connections that the kernel keeps while the daemon is busy.
BACKLOG = 512
# Longest time in seconds that a watch of the store waits, and the part of the time for which the
# store keeps its history that it may take: a watch must end before its revision is dropped.
LONGEST_WATCH_S = 25.0
WATCH_SHARE = 0.85
# Seconds of the stop limit kept for the end of the process itself.
STOP_MARGIN_S = 0.4
EXIT_START_FAILED = 1
METRICS_PATH = '/metrics'
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class PoolerRuntime:
    """One daemon in the pooler role.

    Attributes:
        settings: Settings in force.
        node: State, clock and services.
        environment: Connections to callers, targets and the store.
        output: Log lines.
        signals: Signals that the next tick acts on.
        exit_code: Exit code of the process.
    """

    def __init__(self, settings: PoolerSettings, path: str, reactor: Any, signals: PendingSignals):
        self.settings = settings
        self.signals = signals
        self.path = path
        self.reactor = reactor
        self.output = BoundedOutput(read_clock, prefix=f'vm={settings.vm} ')
        rng = random.Random()
        state = PoolerState(settings.vm, settings.place, rng, read_clock(), dict(settings.regions))
        self.node = Node(state, read_clock)
        builder = find_environment(settings.environment)
        if builder is None:
            raise LookupError(f'no environment {settings.environment!r}')
        self.environment = builder(settings, reactor, self.node.dispatch)
        self.node.services[PoolerRuntime] = self
        self.node.services[Environment] = self.environment
        self.node.services[SizeCalls] = SizeCalls(self.environment, self.node.dispatch, self.log)
        watch_s = min(LONGEST_WATCH_S, settings.store_history * WATCH_SHARE)
        self.watcher = StoreWatcher(
            reactor, self.environment, self.node.dispatch, self.log, rng, watch_s
        )
        self.peers = PeerProtocol(self.node.dispatch, self.log)
        self.node.services[PeerProtocol] = self.peers
        self.directory = self.build_directory(rng)
        self.ticker: Any = None
        self.next_tick_at = read_clock()
        self.finished = False
        self.exit_code = 0

    def build_directory(self, rng: random.Random) -> VmDirectory | None:
        """Return what finds the other VMs, or None when this one does not talk to them."""
        address = self.settings.listen.peers
        if address is None:
            return None
        own = PeerRecord(self.settings.vm, self.settings.place, address.host, address.port)
        return VmDirectory(
            self.reactor,
            self.environment,
            own,
            self.node.dispatch,
            self.log,
            rng,
            self.count_peer_failures,
        )

    def count_peer_failures(self, vm: str) -> int:
        """Return how many questions in a row another VM did not answer."""
        peer = self.node.state.peers.get(vm)
        return peer.failures if peer is not None else 0

    def log(self, kind: str, /, **fields: Any) -> None:
        """Write one log line."""
        self.output.write_line(format_log_event(kind, fields))

    def log_failure(self, failure: Any) -> None:
        """Log an exception that nobody handled."""
        self.log('task_failed', cause=failure.getTraceback(), level='error')

    def start(self) -> None:
        """Open the sockets and begin to follow the store; without its ports the daemon ends."""
        try:
            self.open_ports()
        except CannotListenError as error:
            self.log('daemon_start_failed', cause=str(error), level='error')
            self.exit_code = EXIT_START_FAILED
            self.finished = True
            self.reactor.stop()
            return
        self.watcher.start()
        self.join_peers()
        self.node.after_dispatch = self.hasten_tick
        self.schedule_tick(ticks.TICK_S)
        listen = self.settings.listen
        self.log('daemon_started', place=self.settings.place, callers=str(listen.callers))

    def open_ports(self) -> None:
        """Accept callers, the load balancer and readers of the metrics.

        Raises:
            CannotListenError: A port is taken.
        """
        listen = self.settings.listen
        self.listen(listen.callers, self.environment.callers)
        server = HttpServerFactory(self.respond)
        self.listen(listen.readiness, server)
        if listen.metrics is not None:
            self.listen(listen.metrics, server)

    def join_peers(self) -> None:
        """Talk to the other VMs; a daemon that cannot serves all the same."""
        if self.directory is None:
            return
        own = self.directory.own
        try:
            self.reactor.listenUDP(own.port, self.peers, interface=own.host)
        except CannotListenError as error:
            self.log('peers_unavailable', cause=str(error), level='error')
            return
        self.directory.start()

    def listen(self, address: Any, factory: Any) -> None:
        """Accept connections at an address."""
        self.reactor.listenTCP(address.port, factory, backlog=BACKLOG, interface=address.host)

    def schedule_tick(self, pause_s: float) -> None:
        """Let the next tick come after a pause."""
        self.next_tick_at = read_clock() + pause_s
        self.ticker = self.reactor.callLater(pause_s, self.tick)

    def hasten_tick(self) -> None:
        """Bring the next tick forward when an event has ended a quiet time."""
        if self.ticker is None or self.next_tick_at - read_clock() <= ticks.TICK_S:
            return
        if ticks.find_tick_pause_s(self.node.state) < ticks.QUIET_TICK_S:
            self.ticker.cancel()
            self.schedule_tick(ticks.TICK_S)

    def tick(self) -> None:
        """Let time pass in the state, act on signals and plan the next tick."""
        self.ticker = None
        late_s = read_clock() - self.next_tick_at
        try:
            self.run_tick(late_s)
        except Exception:
            self.log('tick_failed', cause=traceback.format_exc(), level='error')
        if not self.finished:
            self.schedule_tick(ticks.find_tick_pause_s(self.node.state))

    def run_tick(self, late_s: float) -> None:
        """Do what a tick does.

        Args:
            late_s: Seconds by which the tick is late.
        """
        if self.signals.consume_reload_request():
            self.reload()
        if self.signals.consume_stop_request():
            self.log('daemon_stopping', sessions=len(self.node.state.sessions))
            self.node.dispatch(PoolerStopping())
        self.node.dispatch(PoolerTick(suspended_s=late_s))
        limit_s = self.settings.stop_limit - STOP_MARGIN_S
        # Answers may still be on their way while the state knows no session any longer.
        flushed = not self.environment.callers.sessions
        if ticks.is_finished(self.node.state, read_clock(), limit_s, flushed):
            self.finish()

    def reload(self) -> None:
        """Read the settings file again; a file with mistakes changes nothing."""
        loaded = load_pooler_settings(self.path)
        if isinstance(loaded, Err):
            self.log('settings_refused', cause=loaded.err_value)
            return
        self.settings = loaded.ok_value
        self.node.state.regions = dict(self.settings.regions)
        self.log('settings_reloaded', file=str(Path(self.path).name))

    def finish(self) -> None:
        """End the daemon."""
        self.finished = True
        self.log('daemon_stopped', sessions=len(self.node.state.sessions))
        self.reactor.stop()

    def respond(self, method: str, path: str) -> tuple[int, str, bytes]:
        """Answer the load balancer and whoever reads the metrics."""
        if path == self.environment.readiness_path:
            return (200 if ticks.is_ready(self.node.state) else 503), 'application/json', b'{}'
        if path == METRICS_PATH:
            return 200, METRICS_TYPE, render_metrics(self.node.state)
        return 404, 'application/json', b'{}'


def run_pooler(settings: PoolerSettings, path: str, signals: PendingSignals) -> int:
    """Run a daemon in the pooler role until it is told to stop.

    Raises:
        ReactorAlreadyInstalledError: A module has imported the default reactor.
    """
    reactor = install_reactor()
    runtime = PoolerRuntime(settings, path, reactor, signals)
    reactor.callWhenRunning(runtime.start)
    reactor.run(installSignalHandlers=False)
    return runtime.exit_code


def get_session(node: Node, session_id: int) -> Any:
    """Return the connection of a caller, or None when it has ended."""
    return node.services[Environment].callers.sessions.get(session_id)


def run_coroutine(node: Node, coroutine: Any) -> None:
    """Run a coroutine; an exception in it is logged."""
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
    """Tell a caller why it gets no session."""
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


@executes(OpenTarget)
def open_target(node: Node, effect: OpenTarget) -> None:
    """Open a connection to a target."""
    node.services[Environment].targets.open(effect)


@executes(SendCommands)
def send_commands(node: Node, effect: SendCommands) -> None:
    """Send commands to a target."""
    connection = node.services[Environment].targets.connections.get(effect.connection_id)
    if connection is not None:
        connection.send_commands(effect.commands)


@executes(CloseTarget)
def close_target(node: Node, effect: CloseTarget) -> None:
    """Close a connection to a target."""
    connection = node.services[Environment].targets.connections.get(effect.connection_id)
    if connection is not None:
        connection.close()


@executes(WriteLog)
def write_log(node: Node, effect: WriteLog) -> None:
    """Write one log line."""
    node.services[PoolerRuntime].log(effect.kind, **effect.fields)


@executes(AskSample)
@executes(OfferSample)
def send_datagram(node: Node, effect: AskSample | OfferSample) -> None:
    """Send a question or an answer to another VM."""
    node.services[PeerProtocol].send(effect)


@executes(ReadDuty)
def read_duty(node: Node, effect: ReadDuty) -> None:
    """Read the duty record."""

    async def read() -> None:
        found = await node.services[Environment].store.read_duty()
        if isinstance(found, Err):
            node.services[PoolerRuntime].log('duty_read_failed', cause=found.err_value.reason)
            node.dispatch(DutyReadFailed())
        else:
            snapshot = found.ok_value
            node.dispatch(DutyRead(snapshot.revision, snapshot.record))

    run_coroutine(node, read())


@executes(WriteDuty)
def write_duty(node: Node, effect: WriteDuty) -> None:
    """Write the duty record."""

    async def write() -> None:
        store = node.services[Environment].store
        written = await store.write_duty(effect.record, effect.revision)
        node.dispatch(DutyWritten(effect.record, written.outcome, written.revision))

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
