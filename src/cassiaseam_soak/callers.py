"""Callers of the soak and the checks of their answers."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

LOOPBACK = '127.0.0.1'
# Answer codes after which nothing of the attempt is kept.
PROMISES = frozenset(('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'))
PAUSE_S = 0.01
# Statement limit of the routes and the time that the machine may add to it.
STATEMENT_LIMIT_S = 1.0
ANSWER_SLACK_S = 2.0
CONNECT_LIMIT_S = 2.5
# Shares of the operations that are reads, and reads or single writes; the rest are transactions.
READ_SHARE = 0.4
SINGLE_STATEMENT_SHARE = 0.75


class SessionLost(Exception):
    """The connection of a caller ended without an answer."""


@dataclass(slots=True)
class Ledger:
    """What the callers know, and the promises that were broken.

    Attributes:
        acknowledged: Time of the acknowledgement per item.
        denied: Items that were promised not to be kept.
        texts: Text per request id.
        broken: Broken promises.
        outcomes: Number of statements per outcome.
        answer_limit_s: Seconds within which a statement has to be answered.
    """

    acknowledged: dict[str, float] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    texts: dict[str, str] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    answer_limit_s: float = STATEMENT_LIMIT_S + ANSWER_SLACK_S


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one statement: rows, or an error code."""

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
        """Return one message.

        Raises:
            SessionLost: The connection has ended.
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
    """Writes items, alone and in transactions, and reads them back.

    Attributes:
        own: Items that were acknowledged on the current connection.
    """

    def __init__(self, name: str, database: str, ports: list[int], ledger: Ledger, seed: int):
        self.name = name
        self.database = database
        self.ports = ports
        self.ledger = ledger
        self.rng = random.Random(f'{name}-{seed}')
        self.numbers = itertools.count()
        self.own: list[str] = []
        self.session: Session | None = None

    async def run_until(self, end: float) -> None:
        """Send statements until a time on the clock of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            try:
                if self.session is None:
                    await self.connect()
                await self.step()
            except (SessionLost, OSError):
                self.leave()
                await asyncio.sleep(PAUSE_S * 5)
            await asyncio.sleep(self.rng.random() * PAUSE_S * 4)
        self.leave()

    def leave(self) -> None:
        """Close the connection."""
        if self.session is not None:
            self.session.writer.transport.abort()
        self.session = None
        self.own = []

    async def connect(self) -> None:
        """Open a session at one of the daemons."""
        port = self.rng.choice(self.ports)
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                streams = await asyncio.open_connection(LOOPBACK, port)
                session = Session(*streams, self.ledger)
                session.writer.write(f'START {self.database} {self.name}\r\n'.encode())
                line = await session.read_line()
        except TimeoutError as error:
            raise SessionLost('no session in time') from error
        if not line.startswith('READY'):
            session.writer.close()
            raise SessionLost(line)
        self.session = session

    def make_id(self) -> str:
        """Return a request id."""
        return f'{self.name}.{next(self.numbers)}'

    async def ask(self, text: str) -> Reply:
        """Run a statement; an answer that does not come in time is a broken promise."""
        request_id = self.make_id()
        try:
            async with asyncio.timeout(self.ledger.answer_limit_s):
                reply = await self.session.run(request_id, text)
        except TimeoutError as error:
            self.ledger.outcomes['hanging'] += 1
            raise SessionLost('no answer in time') from error
        self.ledger.outcomes[reply.code or 'success'] += 1
        signed = not reply.code and text.split()[0] in {'READ', 'WRITE', 'COMMIT'}
        if signed and not reply.signature.endswith(f'.{request_id}'):
            self.ledger.broken.append(f'{request_id}: signature {reply.signature!r}')
        return reply

    async def step(self) -> None:
        """Run one operation."""
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
        reply = await self.ask(f'WRITE {item} {item}')
        self.note_outcome(reply, [item])

    def note_outcome(self, reply: Reply, items: list[str]) -> None:
        """Remember what the answer promises."""
        if not reply.code:
            now = asyncio.get_running_loop().time()
            self.ledger.acknowledged.update(dict.fromkeys(items, now))
            self.own += items
        elif reply.code in PROMISES:
            self.ledger.denied.update(items)

    async def run_transaction(self) -> None:
        """Write two items in one transaction."""
        items = [f'{self.name}.{next(self.numbers)}t' for _ in range(2)]
        texts = ['BEGIN', *(f'WRITE {item} {item}' for item in items), 'COMMIT']
        for text in texts:
            reply = await self.ask(text)
            if reply.code:
                self.note_outcome(reply, items)
                if text != 'COMMIT':
                    await self.ask('ROLLBACK')
                return
            await asyncio.sleep(PAUSE_S * self.rng.random())
        self.note_outcome(reply, items)

    async def read(self) -> None:
        """Read an item that has to be visible, or any item."""
        item = self.choose_item()
        reply = await self.ask(f'READ {item}')
        if not reply.code and item != 'none' and reply.rows != (item,):
            self.ledger.broken.append(f'{self.name}: read {item!r} gave {reply.rows}')

    def choose_item(self) -> str:
        """Return an item that the next read has to see."""
        if self.database == 'orders' and self.ledger.acknowledged:
            return self.rng.choice(list(self.ledger.acknowledged))
        if self.database == 'stock' and self.own:
            return self.rng.choice(self.own[-3:])
        return self.choose_old_item()

    def choose_old_item(self) -> str:
        """Return an item that is older than the accepted age."""
        limit = asyncio.get_running_loop().time() - 1.5
        old = [item for item, at in self.ledger.acknowledged.items() if at < limit]
        return self.rng.choice(old) if old else 'none'
