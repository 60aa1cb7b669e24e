"""Client of the platform's object store and VM list."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from cachetools import LRUCache
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.objectstore.breaker import BackoffSettings
from cassiaseam.objectstore.http import CallFailed, HttpCall, HttpCaller, HttpReply
from cassiaseam.objectstore.model import (
    WRITE_IDS_FIELD,
    BatchDocument,
    ConflictDocument,
    ObjectBatch,
    ObjectDocument,
    StoredObject,
    VersionDocument,
    VmDocument,
    split_stored,
)
from cassiaseam.observability.logs import log_event
from cassiaseam.store_revisions import get_era, get_number, join_revision

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
# Write IDs stored in a value, so that the outcome of a write whose response was lost can be
# determined even after later writes.
MAX_WRITE_IDS = 8
# Base ID of a write that creates its object.
_CREATION_BASE_ID = ''
_WRITE_ID_CACHE_SIZE = 1024
_WATCH_TIMEOUT_MARGIN_S = 2.0

DocumentT = TypeVar('DocumentT', bound=BaseModel)


@dataclass(slots=True)
class ConditionalWrite:
    """State of a conditional write until its outcome is known.

    Attributes:
        key: Key of the object.
        version: Expected version of the object.
        write_id: Unique ID of the write.
        base_ids: IDs of the writes up to `version`, or None if unknown.
        document: Value including the IDs.
        may_have_arrived: Whether an attempt may have reached the platform without a response.
    """

    key: str
    version: int
    write_id: str
    base_ids: tuple[str, ...] | None
    document: dict[str, Any]
    may_have_arrived: bool = False


class PlatformClient:
    """Client of the platform's object store and VM list.

    Methods return PLATFORM_UNAVAILABLE if the platform does not respond and INTERNAL if its
    response is invalid.

    Attributes:
        caller: HTTP client, with its counters.
        write_ids: Last seen version and write IDs by key.
        era: Newest era of the store that a response named.
    """

    def __init__(
        self,
        base_url: str,
        reactor: Any,
        rng: random.Random,
        settings: BackoffSettings | None = None,
        token: str = '',
        timeout_s: float = 1,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.settings = settings or BackoffSettings()
        self.timeout_s = timeout_s
        self.caller = HttpCaller(base_url, reactor, rng, self.settings, token, clock)
        self.counters = self.caller.counters
        self.write_ids: LRUCache[str, tuple[int, tuple[str, ...]]] = LRUCache(_WRITE_ID_CACHE_SIZE)
        self.era = 0

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self.caller.close()

    # reading

    async def read_object(self, key: str) -> Result[StoredObject | None, RequestError]:
        """Read an object; None if it does not exist."""
        reply = await self.run_with_retries(HttpCall('GET', make_object_path(key)))
        if reply.is_ok() and reply.unwrap().status == HTTP_NOT_FOUND:
            return Ok(None)
        checked = reply.and_then(lambda ok: parse_versioned(ok, ObjectDocument))
        return checked.map(self.cache_write_ids)

    async def list_objects(self, prefix: str) -> Result[ObjectBatch, RequestError]:
        """List the objects whose keys start with `prefix`."""
        query = urlencode({'prefix': prefix})
        reply = await self.run_with_retries(HttpCall('GET', f'/objects?{query}'))
        return reply.and_then(lambda ok: parse_versioned(ok, BatchDocument)).map(
            self.cache_batch_write_ids
        )

    async def watch_objects(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[ObjectBatch, RequestError]:
        """Long-poll for objects written after a revision; the batch may be empty."""
        timeout_ms = int(wait_s * 1000)
        query = urlencode({'prefix': prefix, 'after': get_number(after), 'timeout_ms': timeout_ms})
        timeout_s = wait_s + self.timeout_s + _WATCH_TIMEOUT_MARGIN_S
        call = HttpCall('GET', f'/watch?{query}', timeout_s=timeout_s)
        reply = await self.run_once(call)
        return reply.and_then(lambda ok: parse_versioned(ok, BatchDocument)).map(
            self.cache_batch_write_ids
        )

    async def list_vms(self) -> Result[tuple[VmDocument, ...], RequestError]:
        """Return the platform's list of VMs."""
        reply = await self.run_with_retries(HttpCall('GET', '/vms'))
        if reply.is_err():
            return reply
        listed = reply.unwrap().content
        if reply.unwrap().status != HTTP_OK or not isinstance(listed, list):
            return Err(make_invalid_error(reply.unwrap()))
        try:
            return Ok(tuple(VmDocument.model_validate(vm) for vm in listed))
        except ValidationError as error:
            return Err(RequestError(ErrorKind.INTERNAL, f'VM list: {error.errors()[0]}'))

    async def register_vm(self, vm: VmDocument) -> Result[None, RequestError]:
        """Add a VM to the list; idempotent."""
        path = f'/vms/{quote(vm.name, safe="")}'
        reply = await self.run_with_retries(HttpCall('PUT', path, vm.model_dump(exclude={'name'})))
        if reply.is_ok() and reply.unwrap().status >= 300:
            return Err(make_invalid_error(reply.unwrap()))
        return reply.map(lambda ok: None)

    # writing

    async def write_object(
        self, key: str, value: dict[str, Any], version: int
    ) -> Result[int, RequestError]:
        """Write an object if its version is `version`; 0 creates it.

        If a response is lost, the object is read back before the write is retried or fails.

        Returns:
            A version at which the object contains this write: its own, or a later one if other
            writes followed before a lost response was resolved. Errors: VERSION_CONFLICT if
            another write came first, OUTCOME_UNKNOWN if this one may have taken or may still
            take effect, PLATFORM_UNAVAILABLE if it does not.
        """
        write = self.prepare_write(key, value, version)
        for attempt in range(self.settings.attempts):
            if attempt:
                await asyncio.sleep(self.caller.breaker.compute_delay(attempt - 1))
            settled = await self.attempt_write(write)
            if settled is not None:
                return settled
        if write.may_have_arrived:
            message = f'write of {key} at version {version} got no answer'
            return Err(RequestError(ErrorKind.OUTCOME_UNKNOWN, message))
        return Err(self.make_unavailable_error(f'write of {key}'))

    def prepare_write(self, key: str, value: dict[str, Any], version: int) -> ConditionalWrite:
        """Return a write with a new ID and the IDs of the preceding writes."""
        known_version, base_ids = self.write_ids.get(key, (None, None))
        if version == 0:
            base_ids = (_CREATION_BASE_ID,)
        elif known_version != version:
            base_ids = None
        write_id = secrets.token_hex(8)
        ids = (write_id, *(base_ids or ()))[:MAX_WRITE_IDS]
        document = {**value, WRITE_IDS_FIELD: list(ids)}
        return ConditionalWrite(key, version, write_id, base_ids, document)

    async def attempt_write(self, write: ConditionalWrite) -> Result[int, RequestError] | None:
        """Send a write once; None if it may be retried."""
        if write.version and get_era(write.version) < self.era:
            message = f'{write.key} was read before a restore of the store'
            kind = ErrorKind.VERSION_CONFLICT
            if write.may_have_arrived:
                kind = ErrorKind.OUTCOME_UNKNOWN
            return Err(RequestError(kind, message))
        headers = {'If-Match': str(get_number(write.version))}
        path = make_object_path(write.key)
        call = HttpCall('PUT', path, write.document, headers, self.timeout_s)
        try:
            reply = await self.run_call(call)
        except CallFailed as failure:
            return await self.handle_lost_response(write, failure)
        if reply.status == HTTP_CONFLICT:
            return parse_versioned(reply, ConflictDocument, HTTP_CONFLICT).and_then(
                lambda found: resolve_write(
                    write, self.cache_write_ids(add_key(write.key, found.version, found.value))
                )
            )
        parsed = parse_versioned(reply, VersionDocument)
        if parsed.is_ok():
            written = add_key(write.key, parsed.unwrap().version, write.document)
            self.cache_write_ids(written)
        return parsed.map(lambda found: found.version)

    async def handle_lost_response(
        self, write: ConditionalWrite, failure: CallFailed
    ) -> Result[int, RequestError] | None:
        """Resolve a write without a response; None if it may be retried."""
        if failure.may_have_arrived:
            write.may_have_arrived = True
        if write.may_have_arrived:
            return await self.read_back(write)
        if failure.retry_after_s > 0:
            return Err(self.make_unavailable_error(str(failure)))
        return None

    async def read_back(self, write: ConditionalWrite) -> Result[int, RequestError] | None:
        """Read the object to determine the outcome of a write; None while it is unknown."""
        self.counters['read_backs'] += 1
        found = await self.read_object(write.key)
        if found.is_err():
            return None
        stored = found.unwrap() or StoredObject(write.key, 0, None)
        if stored.version == write.version:
            # The write may still arrive; a retry is safe, since the version matches only once.
            return None
        return resolve_write(write, stored)

    # helpers

    def cache_write_ids(self, found: ObjectDocument) -> StoredObject:
        """Cache the write IDs of an object and return it without them."""
        stored = split_stored(found.key, found.version, found.value)
        known_version, _ = self.write_ids.get(stored.key, (0, ()))
        if stored.version >= known_version:
            self.write_ids[stored.key] = (stored.version, stored.write_ids)
        return stored

    def cache_batch_write_ids(self, batch: BatchDocument) -> ObjectBatch:
        """Cache the write IDs of several objects and return them without them."""
        return ObjectBatch(batch.revision, tuple(map(self.cache_write_ids, batch.objects)))

    async def run_call(self, call: HttpCall) -> HttpReply:
        """Make one attempt of a call.

        Raises:
            CallFailed: No usable response, or one from a former era of the store.
        """
        reply = await self.caller.run(call)
        if reply.era < self.era:
            message = f'response of era {reply.era} after era {self.era}'
            raise CallFailed(message, may_have_arrived=True)
        if reply.era > self.era:
            log_event('store_era_changed', era=reply.era, former=self.era)
            self.era = reply.era
        return reply

    async def run_once(self, call: HttpCall) -> Result[HttpReply, RequestError]:
        """Make a call without retries."""
        try:
            return Ok(await self.run_call(call))
        except CallFailed as failure:
            return Err(self.make_unavailable_error(str(failure)))

    async def run_with_retries(self, call: HttpCall) -> Result[HttpReply, RequestError]:
        """Make an idempotent call, with retries and backoff."""
        call = HttpCall(call.method, call.path, call.body, call.headers, self.timeout_s)
        reply = await self.run_once(call)
        for attempt in range(1, self.settings.attempts):
            if reply.is_ok() or self.caller.breaker.find_wait(self.caller.clock()):
                break
            await asyncio.sleep(self.caller.breaker.compute_delay(attempt - 1))
            reply = await self.run_once(call)
        return reply

    def make_unavailable_error(self, message: str) -> RequestError:
        """Return the error for a call without a response, with the time to retry after."""
        wait_s = self.caller.breaker.find_wait(self.caller.clock())
        retry_after_s = max(wait_s, self.settings.first_s)
        return RequestError(ErrorKind.PLATFORM_UNAVAILABLE, message, retry_after_s)


def make_object_path(key: str) -> str:
    """Return the URL path of an object."""
    return f'/objects/{quote(key)}'


def add_key(key: str, version: int, document: Any) -> ObjectDocument:
    """Return an object; adds the key, which the response does not contain."""
    return ObjectDocument.model_construct(key=key, version=version, value=document)


def parse_reply(
    reply: HttpReply, model: type[DocumentT], status: int = HTTP_OK
) -> Result[DocumentT, RequestError]:
    """Return the validated content of a response."""
    if reply.status != status:
        return Err(make_invalid_error(reply))
    try:
        return Ok(model.model_validate(reply.content))
    except ValidationError as error:
        message = f'answer of the platform: {error.errors(include_input=False)[0]}'
        return Err(RequestError(ErrorKind.INTERNAL, message))


def parse_versioned(
    reply: HttpReply, model: type[DocumentT], status: int = HTTP_OK
) -> Result[DocumentT, RequestError]:
    """Return the validated content of a response; its revisions hold the era of the store."""
    return parse_reply(reply, model, status).map(lambda document: add_era(document, reply.era))


def add_era(document: Any, era: int) -> Any:
    """Return a document whose revisions hold an era; a version of 0 stands for no object."""
    if isinstance(document, BatchDocument):
        objects = [add_era(stored, era) for stored in document.objects]
        revision = join_revision(era, document.revision)
        return document.model_copy(update={'revision': revision, 'objects': objects})
    version = join_revision(era, document.version) if document.version else 0
    return document.model_copy(update={'version': version})


def make_invalid_error(reply: HttpReply) -> RequestError:
    """Return the error for an unexpected response."""
    message = f'unexpected answer of the platform: status {reply.status}'
    return RequestError(ErrorKind.INTERNAL, message)


def resolve_write(write: ConditionalWrite, stored: StoredObject) -> Result[int, RequestError]:
    """Determine the outcome of a write from an object whose version is not the expected one."""
    if write.write_id in stored.write_ids:
        return Ok(stored.version)
    message = f'{write.key} has version {stored.version}, not {write.version}'
    base_ids = write.base_ids or ()
    # If the ID of the base version is no longer stored, the ID of this write may be gone too.
    has_complete_history = bool(base_ids) and base_ids[0] in stored.write_ids
    # After a restore a write without a response may find its version given out again.
    is_restored = get_era(stored.version) > get_era(write.version)
    if write.may_have_arrived and (is_restored or not has_complete_history):
        return Err(RequestError(ErrorKind.OUTCOME_UNKNOWN, message))
    return Err(RequestError(ErrorKind.VERSION_CONFLICT, message))
