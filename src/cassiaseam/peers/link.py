"""TCP connection between two daemons: framing, bounded send queue and heartbeats."""

import asyncio
import struct
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from cassiaseam.messages import Answer, Request, RequestKind
from cassiaseam.peers.codec import (
    PROTOCOL_VERSION,
    Envelope,
    MalformedMessage,
    decode_message,
    encode_message,
)
from cassiaseam.peers.messages import Goodbye, Hello, Ping
from cassiaseam.peers.stamps import MessageStamps

_LENGTH = struct.Struct('>I')
# A heartbeat timer that fires this late means that this process was stalled, so the silence is no
# evidence of a frozen peer.
_LOCAL_STALL_THRESHOLD_S = 0.2
# Number of checks of an idle link before it is closed. A daemon may have links to all others:
# checks at the heartbeat rate use 0.013% of a core per idle link, this rate uses 0.001%.
IDLE_CHECKS_PER_TIMEOUT = 10


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """Limits of the transport; times in seconds.

    Attributes:
        frame_bytes: Maximum size of a frame, sent or received.
        queue_frames: Maximum number of queued frames per connection while the peer does not read.
        queue_bytes: Maximum number of queued bytes per connection.
        requests_in_flight: Maximum number of unanswered requests per connection.
        connect_timeout_s: Timeout of connecting and the hello exchange.
        idle_s: Idle time after which a connection is closed.
        heartbeat_interval_s: Time between heartbeats while requests or transactions are open.
        silence_timeout_s: Silence after which a peer is considered frozen; with two heartbeat
            intervals added it stays below one second.
        goodbye_timeout_s: Time for the peer to close a connection after a goodbye.
    """

    frame_bytes: int = 32 * 1024 * 1024
    queue_frames: int = 1024
    queue_bytes: int = 64 * 1024 * 1024
    requests_in_flight: int = 4096
    connect_timeout_s: float = 1
    idle_s: float = 60
    heartbeat_interval_s: float = 0.15
    silence_timeout_s: float = 0.55
    goodbye_timeout_s: float = 2


class SendRejected(Exception):
    """The send queue is full or the message exceeds the frame size."""

    def __init__(self, too_large: bool, message: str):
        super().__init__(message)
        self.too_large = too_large


@dataclass(slots=True, eq=False)
class PendingRequest:
    """Request in flight.

    Attributes:
        request: Request that was sent or is queued.
        outcome: Future of the answer.
        written: Whether the frame was written to the socket.
    """

    request: Request
    outcome: asyncio.Future[Answer]
    written: bool = False


@dataclass(slots=True)
class _Frame:
    content: bytes
    pending: PendingRequest | None


@dataclass(slots=True)
class LinkContext:
    """State shared by all links of a transport.

    Attributes:
        hello: Hello message of this daemon.
        limits: Limits of the transport.
        clock: Monotonic clock in seconds.
        on_message: Called with every message except hello, ping and goodbye.
        on_closed: Called once when the link is closed.
        on_ready: Called after the hello of the peer was accepted.
        counters: Counters by name.
        stamps: Stamps outgoing messages and advances the clock by incoming ones.
    """

    hello: Hello
    limits: TransportLimits
    clock: Callable[[], float]
    on_message: Callable[['PeerLink', Envelope], None]
    on_closed: Callable[['PeerLink', str], None]
    on_ready: Callable[['PeerLink'], None] = lambda link: None
    counters: Counter[str] = field(default_factory=Counter)
    stamps: MessageStamps = field(default_factory=MessageStamps)


class PeerLink(asyncio.Protocol):
    """One side of a connection between two daemons.

    Attributes:
        vm: Name of the peer, known from dialling it or from its hello.
        dialled: Whether this side opened the connection.
        pending: Requests in flight by wire id.
        open_transactions: Ids of open transactions whose requests use this link.
        incoming: Wire ids of unanswered requests of the peer.
        draining: Whether a goodbye was sent or received.
        closed_for_silence: Whether the link was closed because the peer was silent.
    """

    def __init__(self, context: LinkContext, vm: str = ''):
        self.context = context
        self.vm = vm
        self.dialled = bool(vm)
        self.ready: asyncio.Future[Hello] = asyncio.get_running_loop().create_future()
        self.pending: dict[int, PendingRequest] = {}
        self.open_transactions: set[str] = set()
        self.incoming: set[int] = set()
        self.draining = False
        self.closed_for_silence = False
        self.closed = False
        self.close_reason = ''
        self.incarnation = 0
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.queue: deque[_Frame] = deque()
        self.queued_bytes = 0
        self.paused = False
        self.last_received_at = context.clock()
        self.last_used_at = self.last_received_at
        self.awaiting_traffic_since: float | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_at = self.last_received_at

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the hello and start the heartbeat timer."""
        self.transport = transport
        self.last_received_at = self.context.clock()
        context = self.context
        hello = encode_message(0, context.hello, 0, context.stamps.issue())
        self.write_frame(_Frame(hello, None))
        self.schedule_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the link and report the reason."""
        reason = 'closed by peer' if exc is None else str(exc)
        self.finish_close(self.close_reason or reason)

    def pause_writing(self) -> None:
        """Queue further frames."""
        self.paused = True

    def resume_writing(self) -> None:
        """Write queued frames."""
        self.paused = False
        while self.queue and not self.paused and not self.closed:
            frame = self.queue.popleft()
            self.queued_bytes -= len(frame.content)
            self.write_frame(frame)

    def data_received(self, received: bytes) -> None:
        """Split received bytes into frames."""
        self.last_received_at = self.context.clock()
        self.received += received
        self.context.counters['bytes_received'] += len(received)
        while not self.closed and len(self.received) >= _LENGTH.size:
            length = int.from_bytes(self.received[: _LENGTH.size])
            if length > self.context.limits.frame_bytes:
                self.context.counters['oversized_frames'] += 1
                self.abort(f'frame of {length} bytes')
                return
            end = _LENGTH.size + length
            if len(self.received) < end:
                return
            content = bytes(self.received[_LENGTH.size : end])
            del self.received[:end]
            self.accept_frame(content)

    # receiving

    def accept_frame(self, content: bytes) -> None:
        """Decode one frame and handle its message."""
        try:
            envelope = decode_message(content, self.context.clock())
        except MalformedMessage as error:
            self.context.counters['malformed_frames'] += 1
            self.abort(f'malformed frame: {error}')
            return
        self.context.stamps.observe(envelope.stamp)
        if isinstance(envelope.body, Hello):
            self.accept_hello(envelope.body)
        elif not self.ready.done():
            self.abort('message before hello')
        elif isinstance(envelope.body, Ping):
            self.accept_ping(envelope.body)
        elif isinstance(envelope.body, Goodbye):
            self.draining = True
            self.close_if_drained()
        else:
            self.last_used_at = self.last_received_at
            self.context.on_message(self, envelope)

    def accept_hello(self, hello: Hello) -> None:
        """Verify the identity of the peer; an unexpected version or VM closes the link."""
        own = self.context.hello
        if hello.protocol_version != PROTOCOL_VERSION:
            self.context.counters['refused_versions'] += 1
            self.abort(f'protocol version {hello.protocol_version}, not {PROTOCOL_VERSION}')
        elif self.ready.done() or not hello.vm or hello.vm == own.vm:
            self.abort(f'unexpected hello of vm {hello.vm!r}')
        elif self.vm and self.vm != hello.vm:
            self.abort(f'vm {hello.vm!r} answered at the address of {self.vm!r}')
        else:
            self.vm = hello.vm
            self.incarnation = hello.incarnation
            self.ready.set_result(hello)
            self.context.on_ready(self)

    def accept_ping(self, ping: Ping) -> None:
        """Handle a heartbeat and answer it if requested."""
        self.awaiting_traffic_since = None
        if ping.wants_answer:
            self.send(0, Ping(wants_answer=False))

    # sending

    def send(self, wire_id: int, body: Any, pending: PendingRequest | None = None) -> None:
        """Write a message, or queue it while writing is paused.

        Raises:
            SendRejected: The queue is full or the message is too large.
        """
        context = self.context
        content = encode_message(wire_id, body, context.clock(), context.stamps.issue())
        limits = self.context.limits
        if len(content) > limits.frame_bytes:
            raise SendRejected(True, f'message of {len(content)} bytes')
        if not isinstance(body, Ping):
            self.last_used_at = self.context.clock()
        frame = _Frame(content, pending)
        if not self.paused:
            self.write_frame(frame)
            return
        if len(self.queue) >= limits.queue_frames or self.queued_bytes >= limits.queue_bytes:
            self.context.counters['queue_full'] += 1
            raise SendRejected(False, f'{len(self.queue)} frames wait for vm {self.vm}')
        self.queue.append(frame)
        self.queued_bytes += len(content)

    def write_frame(self, frame: _Frame) -> None:
        """Write a frame to the socket, unless its request ended while it was queued."""
        if self.transport is None or self.closed:
            return
        if frame.pending is not None:
            if frame.pending.outcome.done():
                return
            frame.pending.written = True
        self.transport.write(_LENGTH.pack(len(frame.content)) + frame.content)
        self.context.counters['bytes_sent'] += _LENGTH.size + len(frame.content)

    def track_transaction(self, request: Request) -> None:
        """Track a transaction, so that its link keeps heartbeats and stays open."""
        if request.transaction_id is not None and request.kind is RequestKind.BEGIN:
            self.open_transactions.add(request.transaction_id)

    def untrack_transaction(self, request: Request, answer: Answer) -> None:
        """Stop tracking a transaction that has ended."""
        ended = request.kind in {RequestKind.COMMIT, RequestKind.ROLLBACK}
        failed_begin = request.kind is RequestKind.BEGIN and answer.error is not None
        if request.transaction_id is not None and (ended or failed_begin):
            self.open_transactions.discard(request.transaction_id)

    # timer

    def is_busy(self) -> bool:
        """Return whether requests are in flight or transactions are open on this link."""
        return bool(self.pending or self.incoming or self.open_transactions)

    def schedule_timer(self) -> None:
        """Schedule the next check: at the heartbeat rate while busy, else at the idle rate."""
        limits = self.context.limits
        interval_s = limits.heartbeat_interval_s
        if not self.is_busy():
            interval_s = max(interval_s, limits.idle_s / IDLE_CHECKS_PER_TIMEOUT)
        self.timer_due_at = self.context.clock() + interval_s
        self.timer = asyncio.get_running_loop().call_later(interval_s, self.run_timer)

    def start_heartbeats(self) -> None:
        """Switch an idle link to the heartbeat rate."""
        interval_s = self.context.limits.heartbeat_interval_s
        if self.timer is not None and self.timer_due_at > self.context.clock() + interval_s:
            self.timer.cancel()
            self.schedule_timer()

    def run_timer(self) -> None:
        """Send a heartbeat, detect a frozen peer or close an idle link."""
        now = self.context.clock()
        if (
            now - self.timer_due_at > _LOCAL_STALL_THRESHOLD_S
            and self.awaiting_traffic_since is not None
        ):
            self.awaiting_traffic_since = now
        if self.is_busy():
            self.check_heartbeat(now)
        else:
            self.awaiting_traffic_since = None
            self.check_idle(now)
        if not self.closed:
            self.schedule_timer()

    def check_heartbeat(self, now: float) -> None:
        """Send a heartbeat; abort the link when the peer was silent for too long."""
        limits = self.context.limits
        if self.awaiting_traffic_since is not None:
            since = max(self.awaiting_traffic_since, self.last_received_at)
            if now - since >= limits.silence_timeout_s:
                self.context.counters['frozen_peers'] += 1
                self.closed_for_silence = True
                self.abort(f'silent for {now - since:.2f} s')
                return
        if not self.paused:
            self.send(0, Ping(wants_answer=True))
        if self.awaiting_traffic_since is None:
            self.awaiting_traffic_since = now

    def check_idle(self, now: float) -> None:
        """Send a goodbye on an idle link; the peer closes it, which interrupts no request."""
        limits = self.context.limits
        idle_s = now - self.last_used_at
        if self.draining:
            if idle_s > limits.goodbye_timeout_s:
                self.abort('drained')
        elif self.dialled and self.ready.done() and idle_s > limits.idle_s:
            self.send_goodbye()

    def send_goodbye(self) -> None:
        """Start draining: send no further requests and let the peer close the link."""
        self.draining = True
        try:
            self.send(0, Goodbye())
        except SendRejected as refusal:
            logging.warning('event=goodbye_not_sent vm=%s reason=%r', self.vm, str(refusal))

    def close_if_drained(self) -> None:
        """Close a draining link as soon as it is not busy."""
        if self.draining and not self.is_busy() and not self.closed:
            self.close_reason = 'drained'
            self.transport.close()

    # closing

    def abort(self, reason: str) -> None:
        """Close the link immediately."""
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.abort()
        self.finish_close(self.close_reason)

    def finish_close(self, reason: str) -> None:
        """Release the resources of the link once; later calls do nothing."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if not self.ready.done():
            self.ready.set_exception(ConnectionError(reason))
            # Marks the exception as retrieved, as nothing awaits the future of an accepted link.
            self.ready.exception()
        self.queue.clear()
        self.context.on_closed(self, reason)
