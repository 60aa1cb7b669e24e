"""Callers of the soak test, and the checks of the answers they receive."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

LOOPBACK = '127.0.0.1'
# Error codes that guarantee that the attempt left no effect.
NOT_APPLIED_CODES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY', 'DENIED')
)
PAUSE_S = 0.01
# Statement timeout of the routes, and the delay that a busy machine may add to it.
STATEMENT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_SLACK_S = 2.0
CONNECT_TIMEOUT_S = 2.5
# Cumulative shares of the operations: reads, then single writes; the rest are transactions.
READ_SHARE = 0.4
SINGLE_STATEMENT_SHARE = 0.75


class SessionLost(Exception):
    """The connection of a caller was lost before an answer arrived."""


@dataclass(slots=True)
class Ledger:
    """State shared by all callers: outcomes of writes, and violations of guarantees.

    Attributes:
        acknowledged: Acknowledgement time per item, on the clock of the event loop.
        rejected_items: Items whose write was answered with a code that rules out any effect.
        texts: Statement text per request id.
        violations: Descriptions of violated guarantees.
        outcomes: Number of statements per outcome.
        answer_timeout_s: Timeout of a statement in seconds.
    """

    acknowledged: dict[str, float] = field(default_factory=dict)
    rejected_items: set[str] = field(default_factory=set)
    texts: dict[str, str] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    answer_timeout_s: float = STATEMENT_TIMEOUT_S + ANSWER_TIMEOUT_SLACK_S


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one statement: rows, or an error code; `code` is empty on success."""

    rows: tuple[str, ...]
    signature: str
    code: str


class Session:
    """One connection of a caller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ledger: Ledger):
        self.reader = reader
        self.writer = writer
        self.ledger = ledger

    async def read_line(self) -> str:
        """Read one message.

        Raises:
            SessionLost: The connection was closed or failed.
        """
        try:
            line = await self.reader.readline()
        except OSError as error:
            raise SessionLost(str(error)) from error
        if not line.endswith(b'\r\n'):
            raise SessionLost('end of the connection')
        return line.decode().rstrip('\r\n')

    async def run(self, request_id: str, text: str) -> Reply:
        """Send a statement and return its answer."""
        self.ledger.texts[request_id] = text
        self.writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        rows: list[str] = []
        signature = ''
        code = ''
        while True:
            word, _, rest = (await self.read_line()).partition(' ')
            if word == 'ROW':
                rows.append(rest)
            elif word == 'DONE':
                signature = rest
            elif word == 'ERROR':
                code = rest.partition(' ')[0]
            elif word == 'READY':
                return Reply(tuple(rows), signature, code)


class Caller:
    """Writes items in single statements and transactions, and reads them back.

    Attributes:
        key: Key that the caller sends at START; its name if routes need no key.
        port: Port of the daemon of the current connection.
        own_items: Items acknowledged on the current connection.
    """

    def __init__(self, name: str, database: str, ports: list[int], ledger: Ledger, seed: int):
        self.name = name
        self.key = name
        self.port = 0
        self.database = database
        self.ports = ports
        self.ledger = ledger
        self.rng = random.Random(f'{name}-{seed}')
        self.numbers = itertools.count()
        self.own_items: list[str] = []
        self.session: Session | None = None

    async def run_until(self, end: float) -> None:
        """Run operations until `end`, a time on the clock of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            try:
                if self.session is None:
                    await self.connect()
                await self.run_operation()
            except (SessionLost, OSError):
                self.disconnect()
                await asyncio.sleep(PAUSE_S * 5)
            await asyncio.sleep(self.draw_pause_s())
        self.disconnect()

    def draw_pause_s(self) -> float:
        """Return the pause in seconds before the next operation."""
        return self.rng.random() * PAUSE_S * 4

    def disconnect(self) -> None:
        """Abort the connection."""
        if self.session is not None:
            self.session.writer.transport.abort()
        self.session = None
        self.own_items = []

    async def connect(self) -> None:
        """Open a session on a random daemon."""
        self.port = self.rng.choice(self.ports)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(LOOPBACK, self.port)
                session = Session(*streams, self.ledger)
                session.writer.write(f'START {self.database} {self.key}\r\n'.encode())
                line = await session.read_line()
        except TimeoutError as error:
            raise SessionLost('no session in time') from error
        if not line.startswith('READY'):
            session.writer.close()
            raise SessionLost(line)
        self.session = session

    def make_request_id(self) -> str:
        """Return a new request id."""
        return f'{self.name}.{next(self.numbers)}'

    async def execute(self, text: str) -> Reply:
        """Run a statement; a timeout counts as a violation."""
        request_id = self.make_request_id()
        try:
            async with asyncio.timeout(self.ledger.answer_timeout_s):
                reply = await self.session.run(request_id, text)
        except TimeoutError as error:
            self.ledger.outcomes['hanging'] += 1
            raise SessionLost('no answer in time') from error
        self.ledger.outcomes[reply.code or 'success'] += 1
        signed = not reply.code and text.split()[0] in {'READ', 'WRITE', 'COMMIT'}
        if signed and not reply.signature.endswith(f'.{request_id}'):
            self.ledger.violations.append(f'{request_id}: signature {reply.signature!r}')
        return reply

    async def run_operation(self) -> None:
        """Run one random operation."""
        chosen = self.rng.random()
        if self.database == 'prices' or chosen < READ_SHARE:
            await self.read()
        elif chosen < SINGLE_STATEMENT_SHARE:
            await self.write()
        else:
            await self.run_transaction()

    async def write(self) -> None:
        """Write a new item."""
        item = f'{self.name}.{next(self.numbers)}w'
        reply = await self.execute(f'WRITE {item} {item}')
        self.record_outcome(reply, [item])

    def record_outcome(self, reply: Reply, items: list[str]) -> None:
        """Record which items the answer guarantees to be kept or not kept."""
        if not reply.code:
            now = asyncio.get_running_loop().time()
            self.ledger.acknowledged.update(dict.fromkeys(items, now))
            self.own_items += items
        elif reply.code in NOT_APPLIED_CODES:
            self.ledger.rejected_items.update(items)

    async def run_transaction(self) -> None:
        """Write two items in one transaction."""
        items = [f'{self.name}.{next(self.numbers)}t' for _ in range(2)]
        texts = ['BEGIN', *(f'WRITE {item} {item}' for item in items), 'COMMIT']
        for text in texts:
            reply = await self.execute(text)
            if reply.code:
                self.record_outcome(reply, items)
                if text != 'COMMIT':
                    await self.execute('ROLLBACK')
                return
            await asyncio.sleep(PAUSE_S * self.rng.random())
        self.record_outcome(reply, items)

    async def read(self) -> None:
        """Read an item that must be visible, and check the answer."""
        item = self.choose_item()
        reply = await self.execute(f'READ {item}')
        if not reply.code and item != 'none' and reply.rows != (item,):
            self.ledger.violations.append(f'{self.name}: read {item!r} gave {reply.rows}')

    def choose_item(self) -> str:
        """Return an item that the next read must see under the consistency level of the route."""
        if self.database == 'orders' and self.ledger.acknowledged:
            return self.rng.choice(list(self.ledger.acknowledged))
        if self.database == 'stock' and self.own_items:
            return self.rng.choice(self.own_items[-3:])
        return self.choose_old_item()

    def choose_old_item(self) -> str:
        """Return an item older than the staleness bound, or 'none'."""
        limit = asyncio.get_running_loop().time() - 1.5
        old = [item for item, at in self.ledger.acknowledged.items() if at < limit]
        return self.rng.choice(old) if old else 'none'
