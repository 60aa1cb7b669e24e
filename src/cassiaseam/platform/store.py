"""Clients of the platform's store and of its promotion API."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from cassiaseam.httpio import HttpCallFailed, HttpClient, HttpResponse
from cassiaseam.platform import records
from cassiaseam.platform.json_parts import Unreadable, decode_parts
from cassiaseam.platform.store_answers import (
    decode_events,
    decode_objects,
    is_revision_number,
    read_page_end,
    read_revision,
)
from cassiaseam.pooler.events import LeaseRecord, PeerRecord, StoreEraObserved, WriteOutcome
from cassiaseam.pooler.group_sizes import SizeRecord
from cassiaseam.pooler.quotas.shares import ShareRecord
from cassiaseam.pooler.store_types import (
    Change,
    DutySnapshot,
    HistoryGone,
    ListedPage,
    Listing,
    PromotionFailure,
    StoreError,
    WriteResult,
)
from cassiaseam.store_revisions import get_era, get_number, join_revision

READ_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 1.5
PROMOTION_TIMEOUT_S = 1.5
# The kernel aborts a connection to the promotion API whose data is unacknowledged for this time,
# so that a call does not arrive after another VM has taken over the promotion lease; see
# `LEASE_TAKEOVER_S` of `pooler.duty`.
PROMOTION_TCP_USER_TIMEOUT_MS = 500
# Added to the waiting time of a watch for the timeout of its call.
WATCH_TIMEOUT_MARGIN_S = 2.0
# Allows the store to respond from a copy that may be seconds old.
ALLOW_STALE_PARAM = '&allowStale=1'
# Number in each answer of the store that rises by one when the store is restored from a copy.
ERA_HEADER = 'store-era'
MAX_ERA_DIGITS = 6
# Levels of an answer that are decoded part by part if it cannot be decoded as a whole. A list has
# items and their fields, a watch has events, their objects and the fields of these.
LIST_LEVELS = 3
WATCH_LEVELS = 4
OBJECT_LEVELS = 1
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_UNAVAILABLE = 503
_TOO_MANY = 429
_SERVER_ERROR = 500


class PlatformStore:
    """Client of the platform's object store.

    Attributes:
        dispatch: Callback for the events that tell the era of each answer.
        era: Newest era that an answer named.
        watched_eras: Era of the revision that a watch in flight waits from, per kind.
    """

    def __init__(self, reactor: Any, host: str, port: int, dispatch: Callable[[Any], None]):
        # A watch occupies its connection, so each kind has its own client.
        self.clients = {
            kind: HttpClient(reactor, host, port)
            for kind in (
                records.CONFIG_KIND,
                records.TARGETS_KIND,
                records.VMS_KIND,
                records.SIZES_KIND,
                records.SHARES_KIND,
            )
        }
        self.reactor = reactor
        self.address = (host, port)
        self.dispatch = dispatch
        self.era = 0
        self.watched_eras: dict[str, int] = {}

    async def list_objects(
        self, kind: str, allow_stale: bool = False
    ) -> Result[Listing, StoreError]:
        """Return all objects of a kind and the revision of the list.

        Each page has the revision at which it was read; that of the list is the lowest one. A page
        that may be stale can be older than the one before it.

        Args:
            kind: Kind of the objects.
            allow_stale: Whether the list may be seconds old, at a tenth of the price.
        """
        changes: list[Change] = []
        pages: list[ListedPage] = []
        nameless = 0
        stale = ALLOW_STALE_PARAM if allow_stale else ''
        after = ''
        asked = set()
        eras = set()
        while after not in asked:
            asked.add(after)
            path = f'/objects/{kind}?after={quote(after)}{stale}'
            reply = await self._call(self.clients[kind], path)
            if isinstance(reply, Err):
                return reply
            content, era = reply.ok_value
            page_end = read_page_end(content)
            if isinstance(page_end, Err):
                return page_end
            eras.add(era)
            if len(eras) > 1:
                return Err(StoreError('the store was restored between two pages of the list'))
            page, page_nameless = decode_objects(content['items'], era)
            changes += page
            nameless += page_nameless
            revision = join_revision(era, page_end.ok_value.at)
            if page_end.ok_value.is_last:
                pages.append(ListedPage('', revision))
                lowest = min(listed.revision for listed in pages)
                return Ok(Listing(tuple(changes), lowest, nameless, tuple(pages)))
            if page:
                after = page[-1].name
                pages.append(ListedPage(after, revision))
        # A list that ended here would lack the objects of the next pages.
        return Err(StoreError('a page of the list names no object to continue after'))

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float, allow_stale: bool = False
    ) -> Result[Listing | HistoryGone, StoreError]:
        """Wait for changes after a revision and return them.

        Args:
            kind: Kind of the objects.
            revision: Revision up to which the changes are known.
            wait_s: Seconds to wait for a change.
            allow_stale: Whether changes may arrive seconds late, at a tenth of the price.
        """
        stale = ALLOW_STALE_PARAM if allow_stale else ''
        wait_ms = int(wait_s * 1000)
        path = f'/objects/{kind}?watch={get_number(revision)}&waitMs={wait_ms}{stale}'
        client = self.clients[kind]
        self.watched_eras[kind] = get_era(revision)
        try:
            answer = await self._run_call(client, 'GET', path, wait_s + WATCH_TIMEOUT_MARGIN_S)
        except HttpCallFailed as failure:
            return Err(StoreError(str(failure)))
        finally:
            self.watched_eras.pop(kind)
        if answer.status == _GONE:
            return Ok(HistoryGone())
        content = decode_parts(answer.body, WATCH_LEVELS)
        if answer.status != _OK or not isinstance(content, dict):
            return Err(describe_failure(answer, content))
        events = content.get('events')
        if not isinstance(events, list) or not is_revision_number(content.get('at')):
            return Err(StoreError('the watch response lacks events or a revision'))
        era = read_era(answer)
        changes, nameless = decode_events(events, era)
        return Ok(Listing(tuple(changes), join_revision(era, content['at']), nameless))

    async def read_duty(self) -> Result[DutySnapshot, StoreError]:
        """Return the lease record and its revision, or revision 0 if there is none."""
        path = f'/objects/{records.DUTY_KIND}/{records.DUTY_NAME}'
        try:
            answer = await self._call_on_new_connection('GET', path, READ_TIMEOUT_S)
        except HttpCallFailed as failure:
            return Err(StoreError(str(failure)))
        if answer.status == _NOT_FOUND:
            return Ok(DutySnapshot(0, None))
        content = decode_parts(answer.body, OBJECT_LEVELS)
        if answer.status != _OK or not isinstance(content, dict):
            return Err(describe_failure(answer, content))
        revision = read_revision(content, read_era(answer))
        if not revision:
            return Err(StoreError('the response lacks a revision'))
        record = records.decode_duty(content.get('spec'))
        if isinstance(record, Err):
            # The revision is kept, so that a valid record can replace this one.
            return Ok(DutySnapshot(revision, None, record.err_value))
        return Ok(DutySnapshot(revision, record.ok_value))

    async def write_duty(self, record: LeaseRecord, revision: int) -> WriteResult:
        """Write the lease record if it still has a revision; 0 creates it."""
        spec = records.encode_duty(record)
        return await self._write_object(records.DUTY_KIND, records.DUTY_NAME, spec, revision)

    async def write_vm(self, record: PeerRecord, revision: int) -> WriteResult:
        """Write the record of a VM if it still has a revision; 0 creates it."""
        spec = records.encode_vm(record)
        return await self._write_object(records.VMS_KIND, record.vm, spec, revision)

    async def delete_vm(self, vm: str, revision: int) -> Result[None, StoreError]:
        """Delete the record of a VM if it still has a revision."""
        if get_era(revision) != self.era:
            return Err(StoreError('the record was read before a restore of the store'))
        path = f'/objects/{records.VMS_KIND}/{quote(vm)}?revision={get_number(revision)}'
        try:
            answer = await self._call_on_new_connection('DELETE', path, WRITE_TIMEOUT_S)
        except HttpCallFailed as failure:
            return Err(StoreError(str(failure)))
        if answer.status // 100 == 2:
            return Ok(None)
        return Err(StoreError(f'status {answer.status}'))

    async def write_size(self, record: SizeRecord) -> WriteResult:
        """Write the size of a group if its record still has a revision; 0 creates it."""
        spec = records.encode_size(record)
        return await self._write_object(records.SIZES_KIND, record.group, spec, record.revision)

    async def write_share(self, name: str, record: ShareRecord, revision: int) -> WriteResult:
        """Write the record of a quota share if it still has a revision; 0 creates it."""
        spec = records.encode_share(record)
        return await self._write_object(records.SHARES_KIND, name, spec, revision)

    async def _write_object(
        self, kind: str, name: str, spec: dict[str, Any], revision: int
    ) -> WriteResult:
        meta: dict[str, Any] = {'name': name}
        path = f'/objects/{kind}'
        method = 'POST'
        if revision:
            if get_era(revision) != self.era:
                # The restored store may have given the number out to another content.
                return WriteResult(WriteOutcome.CONFLICT)
            meta['revision'] = get_number(revision)
            path = f'{path}/{quote(name)}'
            method = 'PUT'
        body = _encode({'meta': meta, 'spec': spec})
        try:
            answer = await self._call_on_new_connection(method, path, WRITE_TIMEOUT_S, body)
        except HttpCallFailed as failure:
            unknown = failure.may_have_arrived
            return WriteResult(WriteOutcome.UNKNOWN if unknown else WriteOutcome.CONFLICT)
        if answer.status in {_OK, _CREATED}:
            content = decode_parts(answer.body, OBJECT_LEVELS)
            written = read_revision(content, read_era(answer))
            return WriteResult(WriteOutcome.WRITTEN if written else WriteOutcome.UNKNOWN, written)
        if answer.status in {_CONFLICT, _NOT_FOUND, _UNAVAILABLE, _TOO_MANY}:
            return WriteResult(WriteOutcome.CONFLICT)
        return WriteResult(WriteOutcome.UNKNOWN)

    async def _call_on_new_connection(
        self, method: str, path: str, timeout_s: float, body: bytes = b''
    ) -> HttpResponse:
        client = HttpClient(self.reactor, *self.address)
        try:
            return await self._run_call(client, method, path, timeout_s, body)
        finally:
            client.close()

    async def _run_call(
        self, client: HttpClient, method: str, path: str, timeout_s: float, body: bytes = b''
    ) -> HttpResponse:
        """Make a call and report the era of its answer.

        Raises:
            HttpCallFailed: There is no answer, its era cannot be read, or it comes from a copy of
                a former era.
        """
        answer = await client.run_call(method, path, timeout_s, body)
        era = read_era(answer)
        if era < self.era:
            raise HttpCallFailed(f'answer of era {era} after era {self.era}', True)
        if era > self.era:
            self.era = era
            self._cancel_older_watches()
        self.dispatch(StoreEraObserved(era))
        return answer

    def _cancel_older_watches(self) -> None:
        """End the watches that wait from a revision of a former era."""
        for kind, era in list(self.watched_eras.items()):
            if era < self.era:
                self.clients[kind].cancel_call('the store was restored')

    async def _call(
        self, client: HttpClient, path: str
    ) -> Result[tuple[dict[str, Any], int], StoreError]:
        """Return the page of a list and its era."""
        try:
            answer = await self._run_call(client, 'GET', path, READ_TIMEOUT_S)
        except HttpCallFailed as failure:
            return Err(StoreError(str(failure)))
        content = decode_parts(answer.body, LIST_LEVELS)
        if answer.status != _OK or not isinstance(content, dict):
            return Err(describe_failure(answer, content))
        return Ok((content, read_era(answer)))


def describe_failure(answer: HttpResponse, content: Any) -> StoreError:
    """Return why an answer cannot be used."""
    if answer.status == _OK and isinstance(content, Unreadable):
        return StoreError(f'the response cannot be decoded: {content.reason}')
    return StoreError(f'status {answer.status}')


def read_era(answer: HttpResponse) -> int:
    """Return the era of an answer; 0 for a store that names none.

    Raises:
        HttpCallFailed: The header is not a number.
    """
    text = answer.headers.get(ERA_HEADER, '0')
    if not text.isdecimal() or len(text) > MAX_ERA_DIGITS:
        raise HttpCallFailed(f'Store-Era {text!r} is not a valid number', may_have_arrived=True)
    return int(text)


class PromotionClient:
    """Client of the platform's API that promotes a target to the primary of its group."""

    def __init__(self, reactor: Any, host: str, port: int):
        self.reactor = reactor
        self.address = (host, port)

    async def promote(
        self,
        group: str,
        target: str,
        holder: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> Result[None, PromotionFailure]:
        """Promote a target; the error tells whether it may have been promoted anyway.

        Args:
            group: Database group.
            target: Target to promote.
            holder: Name of the VM that holds the promotion lease.
            fencing_token: Fencing token of the claim of the holder.
            may_send: Checked right before the call is sent on its established connection.
        """
        client = HttpClient(self.reactor, *self.address, PROMOTION_TCP_USER_TIMEOUT_MS)
        headers = (('Duty-Holder', holder), ('Fencing-Token', str(fencing_token)))
        body = _encode({'service': group, 'id': target})
        try:
            answer = await client.run_call(
                'POST', '/promotion', PROMOTION_TIMEOUT_S, body, headers, may_send
            )
        except HttpCallFailed as failure:
            unknown = failure.may_have_arrived
            return Err(PromotionFailure(str(failure), may_have_run=unknown, may_arrive=unknown))
        finally:
            client.close()
        if answer.status // 100 == 2:
            return Ok(None)
        failed = answer.status >= _SERVER_ERROR
        return Err(PromotionFailure(f'status {answer.status}', may_have_run=failed))


def _encode(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()
