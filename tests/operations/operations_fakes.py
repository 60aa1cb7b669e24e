"""In-memory object store with fault injection, and helpers for plans."""

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from cassiaseam.configuration.document import find_shard, format_shard_key
from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans.codec import encode_shard

LOST = RequestError(ErrorKind.OUTCOME_UNKNOWN, 'answer lost')
NOT_SENT = RequestError(ErrorKind.PLATFORM_UNAVAILABLE, 'connection refused')


@dataclass(frozen=True)
class FakeObject:
    key: str
    version: int
    value: Any


class FakeStore:
    """Object store with one fault per write: `ok`, `lost_before`, `lost_after`, `late`, `down`.

    Writes beyond `write_faults` are `ok`. A `late` write gets no response and is attempted after
    further operations. `yields` holds the number of event loop iterations of each operation, to
    vary the interleaving.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.write_faults = []
        self.read_faults = []
        self.is_down = False
        self.applied = []
        self.before_write = None
        self.late_writes = []
        self.yields = []

    async def advance_event_loop(self):
        for _ in range(self.yields.pop(0) if self.yields else 1):
            await asyncio.sleep(0)
        self.late_writes = [(due - 1, *write) for due, *write in self.late_writes]
        while self.late_writes and self.late_writes[0][0] <= 0:
            self.apply(*self.late_writes.pop(0)[1:])

    def apply(self, key, value, version):
        current = self.objects.get(key)
        if (current.version if current else 0) != version:
            return False
        self.revision += 1
        self.objects[key] = FakeObject(key, self.revision, value)
        self.applied.append((key, value))
        return True

    async def read_object(self, key):
        await self.advance_event_loop()
        if self.is_down or (self.read_faults and self.read_faults.pop(0) != 'ok'):
            return Err(NOT_SENT)
        return Ok(self.objects.get(key))

    async def list_objects(self, prefix):
        await self.advance_event_loop()
        if self.is_down:
            return Err(NOT_SENT)
        return Ok([it for key, it in self.objects.items() if key.startswith(prefix)])

    async def write_object(self, key, value, version):
        if self.before_write:
            await self.before_write(key, value)
        fault = self.write_faults.pop(0) if self.write_faults else 'ok'
        await self.advance_event_loop()
        if self.is_down or fault == 'down':
            return Err(NOT_SENT)
        if fault == 'late':
            self.late_writes.append((4, key, value, version))
        if fault in {'late', 'lost_before'}:
            return Err(LOST)
        applied = self.apply(key, value, version)
        if fault == 'lost_after':
            return Err(LOST)
        return Ok(self.revision) if applied else Err(self.conflict(key))

    def conflict(self, key):
        return RequestError(ErrorKind.VERSION_CONFLICT, f'{key} has another version')

    def list_confirmed(self, shard):
        """Return the IDs of the plans that wrote a shard, in order."""
        written = [value for key, value in self.applied if key == format_shard_key(shard)]
        return [value['confirmed']['plan'] for value in written if value['confirmed']]


def build_config(name='orders'):
    targets = tuple(TargetConfig(f't{n}', f'10.0.0.{n}', 3306, f'place-{n}') for n in (1, 2, 3))
    return DatabaseConfig(name, targets, max_age_s={'till': 5.0})


async def put_database(store, config):
    document = encode_shard({config.name: config}, None)
    await store.write_object(format_shard_key(find_shard(config.name)), document, 0)


async def skip_sleep(seconds):
    return None
