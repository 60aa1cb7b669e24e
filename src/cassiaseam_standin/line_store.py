"""Stand-in for the store and the promotion API of the platform, over HTTP."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from cassiaseam_standin.line_group import LineGroup
from cassiaseam_standin.line_target import LOOPBACK, LineTarget

RETAINED_EVENTS = 500
PROMOTION_PATH = '/promotion'
# Longer than any run, so that an action with this delay never happens.
NEVER_S = 3600.0
_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone', 503: 'Unavailable'}


@dataclass(frozen=True, slots=True)
class UndoEntry:
    """What a change replaced, so that a restore can take the change back.

    Attributes:
        at: Time of the change in seconds on the clock of the event loop.
        former: Object before the change, or None if there was none.
        former_revision: Revision of the store before the change.
    """

    at: float
    kind: str
    name: str
    former: dict[str, Any] | None
    former_revision: int


@dataclass(slots=True)
class PromotionCall:
    """A call to promote a target; times in seconds on the clock of the event loop.

    Attributes:
        arrived_at: When the complete request was read.
        processed_at: When it was processed, or None.
        accepted: Whether the target was running then.
    """

    arrived_at: float
    group: str
    target: str
    holder: str
    token: int
    processed_at: float | None = None
    accepted: bool = False


class LineStore:
    """Versioned objects by kind and name, with one revision counter, and their watches.

    Attributes:
        down: Whether calls are refused.
        silent: Whether calls stay unanswered.
        lose_writes: Number of next writes that are applied without an answer.
        write_delay_s: Delay in seconds of conditional writes, which then get no answer; 0 applies
            and answers them at once.
        promotion_delay_s: Delay in seconds between the arrival and the processing of a promotion
            call.
        promotions_unanswered: Whether promotion calls stay unanswered.
        calls: Calls received.
        promotions: Promotion calls, in order of arrival.
        write_observers: Called with kind and object at each write, before its answer is sent.
        era: Number that rises by one with each restore; every answer names it.
        undo_entries: What each change replaced, in the order of the changes.
        writers: Open connections.
    """

    def __init__(self, groups: dict[str, LineGroup]):
        self.groups = groups
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.dropped_until = 0
        self.changed = asyncio.Condition()
        self.down = False
        self.silent = False
        self.lose_writes = 0
        self.write_delay_s: float = 0
        self.promotion_delay_s: float = 0
        self.promotions_unanswered = False
        self.calls = 0
        self.promotions: list[PromotionCall] = []
        self.write_observers: list[Callable[[str, dict[str, Any]], None]] = []
        self.era = 0
        self.undo_entries: list[UndoEntry] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        for group in groups.values():
            group.announce = self.announce

    async def start(self) -> None:
        """Accept calls."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Cancel all calls and stop listening."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    # content

    def announce(self, target: LineTarget) -> None:
        """Publish the record of a target."""
        spec = {
            'service': target.group.name,
            'address': f'{LOOPBACK}:{target.port}',
            'zone': target.place,
            'version': 'v1',
            'slots': 5,
            'state': 'draining' if target.leaving else 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'databaseRole': 'primary' if target.is_primary else 'replica',
            'born': target.born,
        }
        self.put('servers', target.name, spec)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object and notify the watches."""
        self.record_undo(kind, name)
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created_revision = known['meta']['createdRevision'] if known else self.revision
        meta = {
            'name': name,
            'revision': self.revision,
            'createdRevision': created_revision,
            'finalizers': [],
            'deletionPending': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind][name] = stored
        self.record_event(kind, stored, deleted=False)
        for observe in list(self.write_observers):
            observe(kind, stored)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).get(name)
        if stored is not None:
            self.record_undo(kind, name)
            del self.objects[kind][name]
            self.revision += 1
            self.record_event(kind, stored, deleted=True)

    def record_undo(self, kind: str, name: str) -> None:
        """Record what a change is about to replace."""
        now = asyncio.get_running_loop().time()
        former = self.objects.get(kind, {}).get(name)
        self.undo_entries.append(UndoEntry(now, kind, name, former, self.revision))

    def restore(self, now: float, age_s: float) -> None:
        """Return to the state of `age_s` seconds ago, begin an era and close all connections."""
        while self.undo_entries and self.undo_entries[-1].at > now - age_s:
            entry = self.undo_entries.pop()
            self.revision = entry.former_revision
            if entry.former is None:
                self.objects[entry.kind].pop(entry.name, None)
            else:
                self.objects[entry.kind][entry.name] = entry.former
        self.events = [event for event in self.events if event[0] <= self.revision]
        self.dropped_until = min(self.dropped_until, self.revision)
        self.era += 1
        for writer in self.writers:
            writer.transport.abort()

    def record_event(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        """Record a change for the watches."""
        self.events.append((self.revision, kind, stored, deleted))
        if len(self.events) > RETAINED_EVENTS:
            self.dropped_until = self.events.pop(0)[0]
        task = asyncio.get_running_loop().create_task(self.notify_watches())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def drop_history(self) -> None:
        """Discard the event history."""
        self.dropped_until = self.revision
        self.events.clear()

    async def notify_watches(self) -> None:
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()

    # HTTP

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        self.writers.add(writer)
        try:
            keep_alive = True
            while keep_alive:
                keep_alive = await self.serve_call(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one call; return whether to keep the connection open."""
        method, target, _ = (await reader.readuntil(b'\r\n')).decode().split(' ')
        headers = {}
        while line := (await reader.readuntil(b'\r\n')).decode().strip():
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        self.calls += 1
        promotion = parse_promotion_call(body, headers) if target == PROMOTION_PATH else None
        if promotion is not None:
            self.promotions.append(promotion)
        if self.silent:
            await asyncio.sleep(NEVER_S)
        status, content = 503, {}
        if promotion is not None:
            status, content = await self.promote(promotion)
        elif not self.down:
            status, content = await self.handle(method, target, body)
        if method != 'GET' and self.lose_writes > 0:
            self.lose_writes -= 1
            return False
        encoded = json.dumps(content).encode()
        lines = (
            f'HTTP/1.1 {status} {_REASONS[status]}',
            f'Store-Era: {self.era}',
            f'Content-Length: {len(encoded)}',
            '\r\n',
        )
        writer.write('\r\n'.join(lines).encode() + encoded)
        await writer.drain()
        return True

    async def handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Return the status and body of the answer to a call."""
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        names = [unquote(name) for name in parts.path.split('/')[2:]]
        if method == 'GET':
            return await self.read(names, query)
        if self.write_delay_s > 0:
            await asyncio.sleep(self.write_delay_s)
            self.change(method, names, query, body)
            await asyncio.sleep(NEVER_S)
        return self.change(method, names, query, body)

    def change(
        self, method: str, names: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        """Write or delete an object conditionally."""
        if method == 'DELETE':
            return self.remove(names, query)
        return self.write(names, json.loads(body))

    async def read(self, names: list[str], query: dict[str, str]) -> tuple[int, Any]:
        """Return one object, a list, or the changes after a revision."""
        kind = names[0]
        if len(names) > 1:
            stored = self.objects.get(kind, {}).get(names[1])
            return (200, stored) if stored else (404, {})
        revision = query.get('watch')
        if revision is not None:
            return await self.watch(kind, int(revision), int(query['waitMs']) / 1000)
        items = [stored for _, stored in sorted(self.objects.get(kind, {}).items())]
        return 200, {'items': items, 'hasMore': False, 'at': self.revision}

    async def watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, Any]:
        """Wait for changes up to a timeout, and return them."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        async with self.changed:
            while True:
                if revision < self.dropped_until or revision > self.revision:
                    return 410, {}
                found = [
                    {'object': stored, 'deleted': deleted}
                    for at, changed_kind, stored, deleted in self.events
                    if at > revision and changed_kind == kind
                ]
                if found or loop.time() >= end:
                    return 200, {'events': found, 'at': self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), end - loop.time())

    def write(self, names: list[str], document: dict[str, Any]) -> tuple[int, Any]:
        """Create an object, or replace it if its revision matches."""
        kind = names[0]
        name = names[1] if len(names) > 1 else document['meta']['name']
        known = self.objects.get(kind, {}).get(name)
        if len(names) == 1:
            return (409, known) if known else (200, self.put(kind, name, document['spec']))
        if known is None:
            return 404, {}
        wanted = document['meta'].get('revision')
        if wanted is not None and wanted != known['meta']['revision']:
            return 409, known
        return 200, self.put(kind, name, document['spec'])

    def remove(self, names: list[str], query: dict[str, str]) -> tuple[int, Any]:
        """Delete an object if its revision matches."""
        known = self.objects.get(names[0], {}).get(names[1])
        if known is None:
            return 404, {}
        if query.get('revision', str(known['meta']['revision'])) != str(known['meta']['revision']):
            return 409, known
        self.delete(*names)
        return 200, known

    async def promote(self, call: PromotionCall) -> tuple[int, Any]:
        """Promote a target; the faults in force at the arrival of the call apply."""
        unanswered = self.promotions_unanswered
        if self.promotion_delay_s > 0:
            await asyncio.sleep(self.promotion_delay_s)
        call.processed_at = asyncio.get_running_loop().time()
        call.accepted = self.groups[call.group].accept_promotion(call.target)
        if unanswered:
            await asyncio.sleep(NEVER_S)
        return (200, {}) if call.accepted else (409, {})


def parse_promotion_call(body: bytes, headers: dict[str, str]) -> PromotionCall:
    """Parse a promotion call that has just arrived."""
    document = json.loads(body)
    return PromotionCall(
        asyncio.get_running_loop().time(),
        document['service'],
        document['id'],
        headers['duty-holder'],
        int(headers['fencing-token']),
    )
