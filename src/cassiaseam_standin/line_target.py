"""Stand-in for a target that speaks the line protocol of the platform.

It keeps its log in memory and replicates commits to the other targets of its group.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

LOOPBACK = '127.0.0.1'
APPLY_DELAY_S = 0.01
# Maximum number of concurrent statements, and the duration of one in seconds.
SLOTS = 5
STATEMENT_DURATION_S = 0.002
ENCODING = 'latin-1'

Position = tuple[int, int]


@dataclass(slots=True)
class LogEntry:
    """One committed write."""

    term: int
    item: str
    text: str


@dataclass(frozen=True, slots=True)
class AccountRun:
    """A statement that ran.

    Attributes:
        at: Time in seconds on the clock of the event loop.
        account: Account or VM that the connection named at START.
        is_operation: Whether it begins an operation: a statement outside of a transaction, or the
            first one that ran in a transaction.
    """

    at: float
    account: str
    request_id: str
    is_operation: bool


@dataclass(slots=True, eq=False)
class Connection:
    """State of one connection.

    Attributes:
        writer: Stream to the client.
        account: Account or VM that the client named at START.
        is_counted: Whether a statement of the open transaction has run.
        in_transaction: Whether a transaction is open.
        read_only: Whether the transaction is read-only.
        failed: Whether the transaction has failed and can only be rolled back.
        writes: Writes of the open transaction.
        variables: Session variables.
        prepared: Kind and shape per prepared name.
    """

    writer: asyncio.StreamWriter
    account: str = ''
    is_counted: bool = False
    in_transaction: bool = False
    read_only: bool = False
    failed: bool = False
    writes: list[tuple[str, str]] = field(default_factory=list)
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


class LineTarget:
    """One target.

    Attributes:
        ignores_replication: Whether it ignores replicated entries.
        drop_answers: Number of next statements whose answer is dropped.
        runs: Number of runs per request id.
        ran: Statement text per request id.
        account_runs: Statements that ran, with their accounts, oldest first.
        forbidden_word: Word that no client may send; an empty one is not searched for.
        forbidden_lines: Received lines that contain the word.
    """

    def __init__(self, group: Any, name: str, place: str, is_primary: bool):
        self.group = group
        self.name = name
        self.place = place
        self.is_primary = is_primary
        self.term = 1
        self.fenced = 0
        self.log: list[LogEntry] = []
        self.applied = 0
        self.leaving = False
        self.ignores_replication = False
        self.born = next(group.incarnations)
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs: Counter[str] = Counter()
        self.ran: dict[str, str] = {}
        self.drop_answers = 0
        self.account_runs: list[AccountRun] = []
        self.forbidden_word = b''
        self.forbidden_lines: list[str] = []

    # lifetime

    async def start(self) -> None:
        """Accept connections, on the same port after a restart."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Abort all connections and stop listening."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()
        self.connections.clear()

    async def restart(self) -> None:
        """Start again with the same log, as a replica if another target was promoted."""
        self.born = next(self.group.incarnations)
        self.fenced = 0
        newest = self.group.find_newest_term()
        if self.is_primary and newest > self.term:
            self.step_down()
        await self.start()
        self.group.announce(self)
        self.group.replicate()

    @property
    def is_running(self) -> bool:
        """Return whether the target accepts connections."""
        return self.server is not None

    # log

    @property
    def last(self) -> Position:
        """Return the position of the last entry received."""
        return (self.log[-1].term if self.log else 0, len(self.log))

    @property
    def visible(self) -> Position:
        """Return the position of the last entry visible to reads."""
        count = len(self.log) if self.is_primary else self.applied
        return (self.log[count - 1].term if count else 0, count)

    def commit(self, writes: list[tuple[str, str]]) -> None:
        """Append writes to the log and replicate them."""
        for item, text in writes:
            self.log.append(LogEntry(self.term, item, text))
            self.group.record_superseded_commit(self, text)
        if writes:
            self.group.replicate()

    def receive(self, primary: 'LineTarget', count: int) -> None:
        """Replace the log by the first `count` entries of the primary's log."""
        if self.is_primary or self.ignores_replication or not self.is_running:
            return
        if self.term > primary.term or self.fenced > primary.term:
            return
        if (primary.name, self.name) in self.group.cuts:
            return
        self.term = primary.term
        if self.log[:count] == primary.log[:count] and len(self.log) >= count:
            return
        same = 0
        for own, other in zip(self.log, primary.log[:count], strict=False):
            if own != other:
                break
            same += 1
        self.log = list(primary.log[:count])
        self.applied = min(self.applied, same)
        asyncio.get_running_loop().call_later(APPLY_DELAY_S, self.apply, count)

    def apply(self, count: int) -> None:
        """Make received entries visible."""
        self.applied = max(self.applied, min(count, len(self.log)))

    def step_down(self) -> None:
        """Become a replica."""
        self.is_primary = False
        self.applied = 0

    # protocol

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            if await self.open_session(reader, connection):
                while line := await reader.readline():
                    self.search_forbidden_word(line)
                    await self.answer(connection, line.decode(ENCODING).rstrip('\r\n'))
        except (ConnectionError, ValueError):
            return
        finally:
            self.connections.discard(connection)
            writer.close()

    async def open_session(self, reader: asyncio.StreamReader, connection: Connection) -> bool:
        """Check the first message; return whether the session is accepted."""
        line = await reader.readline()
        self.search_forbidden_word(line)
        words = line.decode(ENCODING).split()
        if len(words) != 4 or words[1] != self.group.name or words[3] != self.name:
            connection.writer.write(b'ERROR MISROUTED\r\n')
            return False
        if len(self.connections) > self.group.max_connections:
            connection.writer.write(b'ERROR TOOMANY\r\n')
            return False
        connection.account = words[2]
        self.end_reply(connection)
        return True

    def search_forbidden_word(self, line: bytes) -> None:
        """Record a received line that contains the forbidden word."""
        if self.forbidden_word and self.forbidden_word in line:
            self.forbidden_lines.append(line.decode(ENCODING))

    def end_reply(self, connection: Connection) -> None:
        """Send the message that ends a reply."""
        state = 'I'
        if connection.in_transaction:
            state = 'E' if connection.failed else 'T'
        term, offset = self.visible
        position = f'{term}.{offset}' if offset else '-'
        connection.writer.write(f'READY {state} {position}\r\n'.encode())

    async def answer(self, connection: Connection, line: str) -> None:
        """Run one message and send its answer."""
        word, _, rest = line.partition(' ')
        request_id, _, text = rest.partition(' ')
        if word != 'QUERY':
            raise ValueError(line)
        lines = await self.run(connection, request_id, text)
        if request_id != '-' and self.drop_answers > 0:
            self.drop_answers -= 1
            return
        for reply in lines:
            connection.writer.write(f'{reply}\r\n'.encode(ENCODING))
        self.end_reply(connection)

    async def run(self, connection: Connection, request_id: str, text: str) -> list[str]:
        """Run a statement and return its reply lines, without the final READY."""
        min_position, text = split_min_position(text)
        verb, _, rest = text.partition(' ')
        if min_position is not None and not covers(self.visible, min_position):
            return self.fail(connection, 'LAGGING')
        command = COMMANDS.get(verb)
        if command is not None:
            return command(self, connection, rest)
        async with self.slots:
            await asyncio.sleep(STATEMENT_DURATION_S)
        # The log may have been rolled back during the wait.
        if min_position is not None and not covers(self.visible, min_position):
            return self.fail(connection, 'LAGGING')
        return self.run_data(connection, request_id, text)

    def run_data(self, connection: Connection, request_id: str, text: str) -> list[str]:
        """Run a read, a write or a commit."""
        full, verb, rest = text, *text.partition(' ')[::2]
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            prepared = connection.prepared.get(name)
            if prepared is None:
                return self.fail(connection, 'UNKNOWN')
            verb = prepared[0]
        if connection.failed:
            return ['ERROR MALFORMED the transaction has failed']
        if verb == 'COMMIT':
            return self.run_commit(connection, request_id, full)
        if verb == 'WRITE' and (not self.is_primary or connection.read_only):
            return self.fail(connection, 'READONLY')
        self.record_run(connection, request_id, full)
        if verb == 'WRITE':
            item, _, written = rest.partition(' ')
            if connection.in_transaction:
                connection.writes.append((item, written))
            else:
                self.commit([(item, written)])
            return [f'DONE {self.name}.{request_id}']
        return [f'ROW {self.find(rest)}', f'DONE {self.name}.{request_id}']

    def run_commit(self, connection: Connection, request_id: str, text: str) -> list[str]:
        """Commit a transaction."""
        if connection.writes and not self.is_primary:
            return self.fail(connection, 'READONLY')
        writes, connection.writes = connection.writes, []
        connection.in_transaction = False
        connection.read_only = False
        self.record_run(connection, request_id, text)
        self.commit(writes)
        return [f'DONE {self.name}.{request_id}']

    def record_run(self, connection: Connection, request_id: str, text: str) -> None:
        """Record a run for the checks of the tests."""
        now = asyncio.get_running_loop().time()
        is_operation = not connection.is_counted
        self.account_runs.append(AccountRun(now, connection.account, request_id, is_operation))
        connection.is_counted = connection.in_transaction
        self.runs[request_id] += 1
        self.ran[request_id] = text

    def find(self, item: str) -> str:
        """Return all visible writes of an item, oldest first."""
        entries = self.log[: self.visible[1]]
        return ','.join(entry.text for entry in entries if entry.item == item)

    def fail(self, connection: Connection, code: str) -> list[str]:
        """Return an error reply; an open transaction fails."""
        connection.failed = connection.in_transaction
        return [f'ERROR {code} {self.name}']

    def begin(self, connection: Connection, rest: str) -> list[str]:
        """Begin a transaction."""
        if rest != 'READ' and not self.is_primary:
            return self.fail(connection, 'READONLY')
        connection.in_transaction = True
        connection.is_counted = False
        connection.read_only = rest == 'READ'
        return ['DONE -']

    def roll_back(self, connection: Connection, rest: str) -> list[str]:
        """Roll back a transaction."""
        connection.in_transaction = False
        connection.is_counted = False
        connection.read_only = False
        connection.failed = False
        connection.writes = []
        return ['DONE -']

    def set_variable(self, connection: Connection, rest: str) -> list[str]:
        """Set a session variable."""
        name, _, setting = rest.partition(' ')
        connection.variables[name] = setting
        return ['DONE -']

    def prepare(self, connection: Connection, rest: str) -> list[str]:
        """Prepare a statement."""
        name, kind, shape = rest.split(' ', 2)
        connection.prepared[name] = (kind, shape)
        return ['DONE -']

    def reset(self, connection: Connection, rest: str) -> list[str]:
        """Reset the session state."""
        connection.variables.clear()
        connection.prepared.clear()
        return ['DONE -']

    def report(self, connection: Connection, rest: str) -> list[str]:
        """Return the status of the target."""
        role = 'primary' if self.is_primary else 'replica'
        term, offset = self.last
        open_count = len(self.connections)
        row = f'{role} {self.term} {term}.{offset} {self.fenced} 0 0 {open_count}'
        return [f'ROW {row}', 'DONE -']

    def pause(self, connection: Connection, rest: str) -> list[str]:
        """Fence the target: stop receiving entries of older terms."""
        if not self.is_primary and int(rest) > max(self.term, self.fenced):
            self.fenced = int(rest)
        return self.report(connection, rest)

    def resume(self, connection: Connection, rest: str) -> list[str]:
        """Lift the fence."""
        self.fenced = 0
        self.group.replicate()
        return self.report(connection, rest)

    def demote(self, connection: Connection, rest: str) -> list[str]:
        """Become a replica if the own term is older."""
        if self.is_primary and self.term < int(rest):
            self.step_down()
            self.applied = len(self.log)
            self.group.announce(self)
        return self.report(connection, rest)


COMMANDS = {
    'BEGIN': LineTarget.begin,
    'ROLLBACK': LineTarget.roll_back,
    'SET': LineTarget.set_variable,
    'PREPARE': LineTarget.prepare,
    'RESET': LineTarget.reset,
    'STATUS': LineTarget.report,
    'PAUSE': LineTarget.pause,
    'RESUME': LineTarget.resume,
    'DEMOTE': LineTarget.demote,
}


def split_min_position(text: str) -> tuple[Position | None, str]:
    """Split a statement into its required minimum position, or None, and its text."""
    if not text.startswith('AFTER '):
        return None, text
    _, position, statement = text.split(' ', 2)
    term, _, offset = position.partition('.')
    return (int(term), int(offset)), statement


def covers(position: Position, min_position: Position) -> bool:
    """Return whether a log that ends at `position` holds the entry at `min_position`."""
    return position[0] >= min_position[0] and position[1] >= min_position[1]
