"""Scaling of caller sessions: memory and CPU time per idle and busy connection."""

import gc
import os
import time
from collections.abc import Iterator

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.entry.forwarding import Forwarder
from cassiaseam.entry.identity import CallerDirectory, CallerLogin, hash_password
from cassiaseam.entry.listener import CallerListener, ListenerLimits
from cassiaseam.messages import Answer, Request, ResultSet
from cassiaseam.positions import LogPosition
from cassiaseam_load.slope_callers import PASSWORD, USER, RawCallers, open_caller
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import (
    LOOPBACK,
    MS_PER_S,
    LoopThread,
    read_resident_bytes,
    run_loop_thread,
    trace_memory,
)

ROLE = 'caller sessions'
DATABASE = 'orders'
CONNECTIONS = (100, 400, 1600)
WARM_UP_CONNECTIONS = 20
IDLE_S = 1.5
BUSY_ROUNDS = (100, 200, 400)
BUSY_CONNECTIONS = 16
MAX_SESSIONS = 5000
STOP_S = 2.0
READ_SQL = 'SELECT id, name FROM items WHERE id = 17'
_ANSWERED = ResultSet(('id', 'name'), ((17, 'seventeen'),), column_types=(8, 253))


class InstantOwner:
    """Owner that answers every request immediately."""

    async def send_request(self, vm: str, request: Request, now: float) -> Answer:
        """Return one row."""
        position = LogPosition(1, 1)
        return Answer(request.request_id, _ANSWERED, target='a', position=position, replica=True)


def build_listener() -> CallerListener:
    """Return a listener whose statements are answered immediately."""
    forwarder = Forwarder('vm-1', lambda database: ['vm-1'], InstantOwner(), time.monotonic)
    login = CallerLogin(USER, hash_password(PASSWORD), ('*',))
    directory = CallerDirectory([login], {DATABASE: DatabaseConfig(DATABASE, ())})
    return CallerListener(forwarder, directory, ListenerLimits(sessions=MAX_SESSIONS))


@measures_role(ROLE)
def measure_sessions() -> Iterator[Point]:
    """Measure listener connections; resident sizes come first because they need a fresh heap."""
    with run_loop_thread() as thread:
        listener = thread.call(build_listener)
        port = thread.run(listener.start(LOOPBACK, 0))
        RawCallers(port, DATABASE, WARM_UP_CONNECTIONS).close()
        yield from measure_idle_connections(thread, port)
        yield from measure_traced_connections(port)
        yield from measure_busy_connections(thread, port)
        thread.run(listener.stop(STOP_S))


def measure_idle_connections(thread: LoopThread, port: int) -> Iterator[Point]:
    """Measure resident size and CPU time of the listener with idle connections."""
    gc.collect()
    before = read_resident_bytes()
    started_s = thread.read_cpu_s()
    descriptors: list[int] = []
    login_s: float = 0
    for connections in CONNECTIONS:
        while len(descriptors) < connections:
            descriptors.append(open_caller(port, DATABASE))
        login_s += thread.read_cpu_s() - started_s
        yield Point(ROLE, 'processor time of logins', connections, login_s * MS_PER_S, 'ms')
        gc.collect()
        resident = read_resident_bytes() - before
        yield Point(ROLE, 'resident size of idle connections', connections, resident, 'bytes')
        idle_from_s = thread.read_cpu_s()
        time.sleep(IDLE_S)
        started_s = thread.read_cpu_s()
        idle_ms = (started_s - idle_from_s) / IDLE_S * MS_PER_S
        yield Point(ROLE, 'processor time of idle connections', connections, idle_ms, 'ms/s')
    close_descriptors(descriptors)


def measure_traced_connections(port: int) -> Iterator[Point]:
    """Measure the Python heap of idle connections and of those that ran a statement."""
    callers = RawCallers(port, DATABASE, 0)
    found = {'idle': [], 'used': []}
    with trace_memory() as read_bytes:
        for connections in CONNECTIONS:
            while len(callers.descriptors) < connections:
                callers.descriptors.append(open_caller(port, DATABASE))
            found['idle'].append((connections, read_bytes()))
        callers.close()
        time.sleep(IDLE_S)
        for used in CONNECTIONS:
            while len(callers.descriptors) < used:
                callers.descriptors.append(open_caller(port, DATABASE))
            callers.run_rounds(READ_SQL, 1)
            found['used'].append((used, read_bytes()))
    callers.close()
    for state, sizes in found.items():
        for connections, size in sizes:
            yield Point(ROLE, f'heap of {state} connections', connections, size, 'bytes')


def measure_busy_connections(thread: LoopThread, port: int) -> Iterator[Point]:
    """Measure the CPU time of the entry daemon per statement."""
    callers = RawCallers(port, DATABASE, BUSY_CONNECTIONS)
    callers.run_rounds(READ_SQL, BUSY_ROUNDS[0])
    for rounds in BUSY_ROUNDS:
        started_s = thread.read_cpu_s()
        statements = callers.run_rounds(READ_SQL, rounds)
        spent_ms = (thread.read_cpu_s() - started_s) * MS_PER_S
        yield Point(ROLE, 'processor time of statements', statements, spent_ms, 'ms')
    callers.close()


def close_descriptors(descriptors: list[int]) -> None:
    """Close all descriptors and wait until the listener is idle again."""
    for descriptor in descriptors:
        os.close(descriptor)
    descriptors.clear()
    time.sleep(IDLE_S)
