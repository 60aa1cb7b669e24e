"""Scaling of the statement path: CPU time of local and forwarded statements in full daemons."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.daemon.runtime import Runtime, RuntimeSettings
from cassiaseam.daemon.target_service import TargetCredentials
from cassiaseam.entry.identity import CallerLogin, hash_password
from cassiaseam.peers.services import PeerSettings
from cassiaseam_load.slope_callers import PASSWORD, USER, RawCallers
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import LOOPBACK, MS_PER_S, LoopThread, wait_until
from cassiaseam_standin.group_launcher import StandinGroup, start_group

ROLE = 'statement path'
DATABASE = 'orders'
CALLERS = 8
SLOTS = 16
CONNECTIONS = 200
READ_ROUNDS = (25, 50, 100)
WRITE_ROUNDS = (10, 20, 40)
READ_SQL = '/* cassiaseam: max_age=30s */ SELECT id, name FROM items WHERE id = 17'
WRITE_SQL = "UPDATE items SET name = 'other' WHERE id = 17"
# Nothing listens on the discard port, so the platform is unreachable.
NO_PLATFORM = 'http://127.0.0.1:9'


@dataclass(slots=True)
class DaemonPair:
    """Two daemons in front of one group, each on a separate event loop.

    Attributes:
        threads: Event loop per VM.
        runtimes: Daemon per VM.
        owner: VM that owns the database.
    """

    threads: dict[str, LoopThread] = field(default_factory=dict)
    runtimes: dict[str, Runtime] = field(default_factory=dict)
    owner: str = ''

    def start(self, group: StandinGroup) -> None:
        """Start both daemons and wait until they agree on the owner."""
        for number, vm in enumerate(('vm1', 'vm2')):
            thread = LoopThread()
            self.threads[vm] = thread
            seeds = tuple((LOOPBACK, known.peers.port) for known in self.runtimes.values())
            settings = build_settings(group, vm, seeds)
            self.runtimes[vm] = thread.run(start_daemon(settings, number))
        wait_until(self.find_owner)
        self.owner = self.find_owner()

    def find_owner(self) -> str:
        """Return the owner once both daemons agree on the ranking, else ''."""
        ranked = {tuple(runtime.rank_owners(DATABASE)) for runtime in self.runtimes.values()}
        owners = [vm for vm, found in self.runtimes.items() if found.node.state.databases]
        agreed = len(ranked) == 1 and len(next(iter(ranked))) == len(self.runtimes)
        return owners[0] if agreed and len(owners) == 1 else ''

    def read_cpu_s(self) -> dict[str, float]:
        """Return the CPU time in seconds per VM."""
        return {vm: thread.read_cpu_s() for vm, thread in self.threads.items()}

    def stop(self) -> None:
        """Stop the daemons and their event loops."""
        for vm, runtime in self.runtimes.items():
            self.threads[vm].run(runtime.stop())
        for thread in self.threads.values():
            thread.stop()


def build_settings(
    group: StandinGroup, vm: str, seeds: tuple[tuple[str, int], ...]
) -> RuntimeSettings:
    """Return the settings of one daemon without a platform."""
    return RuntimeSettings(
        callers=(LOOPBACK, 0),
        peers=PeerSettings(vm, 'p1', LOOPBACK, 0, NO_PLATFORM, seeds=seeds),
        credentials=TargetCredentials('proxy', ''),
        logins=(CallerLogin(USER, hash_password(PASSWORD), ('*',)),),
        databases=(DatabaseConfig(DATABASE, group.list_target_configs()),),
        shutdown_timeout_s=1,
    )


async def start_daemon(settings: RuntimeSettings, seed: int) -> Runtime:
    """Start a daemon on the running event loop."""
    runtime = Runtime(settings, AsyncioSelectorReactor(asyncio.get_running_loop()), seed)
    await runtime.start()
    return runtime


@measures_role(ROLE)
def measure_statements() -> Iterator[Point]:
    """Measure replica reads and writes that arrive at the owner or at another daemon."""
    group = asyncio.run(start_group(slots=SLOTS, connections=CONNECTIONS))
    pair = DaemonPair()
    try:
        pair.start(group)
        prepare_table(pair)
        for vm in pair.runtimes:
            yield from measure_entry(pair, vm)
    finally:
        pair.stop()
        group.stop()


def prepare_table(pair: DaemonPair) -> None:
    """Create the table that the statements use."""
    callers = RawCallers(pair.runtimes[pair.owner].callers_port, DATABASE, 1)
    callers.read_answer_length('CREATE TABLE items (id INT PRIMARY KEY, name TEXT)')
    callers.read_answer_length("INSERT INTO items VALUES (17, 'seventeen')")
    callers.close()
    time.sleep(1)


def measure_entry(pair: DaemonPair, vm: str) -> Iterator[Point]:
    """Measure statements that arrive at one daemon."""
    callers = RawCallers(pair.runtimes[vm].callers_port, DATABASE, CALLERS)
    tables = (('reads', READ_SQL, READ_ROUNDS), ('writes', WRITE_SQL, WRITE_ROUNDS))
    for kind, sql, all_rounds in tables:
        callers.run_rounds(sql, all_rounds[0])
        for rounds in all_rounds:
            before = pair.read_cpu_s()
            statements = callers.run_rounds(sql, rounds)
            after = pair.read_cpu_s()
            spent_ms = {name: (after[name] - before[name]) * MS_PER_S for name in after}
            yield from list_points(pair, vm, kind, statements, spent_ms)
    callers.close()


def list_points(
    pair: DaemonPair, vm: str, kind: str, statements: int, spent_ms: dict[str, float]
) -> Iterator[Point]:
    """Yield the CPU time of the entry daemon and, if that is not the owner, of the owner."""
    if vm == pair.owner:
        yield Point(ROLE, f'entry and owner, local {kind}', statements, spent_ms[vm], 'ms')
        return
    yield Point(ROLE, f'entry, forwarded {kind}', statements, spent_ms[vm], 'ms')
    yield Point(ROLE, f'owner, forwarded {kind}', statements, spent_ms[pair.owner], 'ms')
