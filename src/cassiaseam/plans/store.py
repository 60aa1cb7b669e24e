"""Stores plans in the platform's object store, and confirms and cancels them."""

import asyncio
import dataclasses
import json
import secrets
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta

from result import Err, Ok, Result

from cassiaseam.configuration.document import find_shard, format_shard_key
from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import TimelineRecord
from cassiaseam.observability.logs import log_event
from cassiaseam.plans import drafting, drafting_limits
from cassiaseam.plans.codec import (
    PLAN_PREFIX,
    decode_plan,
    decode_shard,
    encode_plan,
    encode_shard,
)
from cassiaseam.plans.conditional_write import (
    MAX_VALUE_BYTES,
    ObjectStore,
    Pause,
    WriteOutcome,
    write_conditionally,
)
from cassiaseam.plans.confirmation import Confirmation, decide_cancellation, decide_confirmation
from cassiaseam.plans.intents import Intent
from cassiaseam.plans.model import (
    ClusterView,
    Confirmed,
    Plan,
    PlanState,
    PlanView,
    ShardState,
    format_time,
)
from cassiaseam.plans.planning import make_plan
from cassiaseam.plans.static_publication import group_by_shard, publish_static_databases
from cassiaseam.timeline.buffer import SequencedRecord
from cassiaseam.timeline.clock import Stamp

MAX_HISTORY = 32
LISTED_DAYS = 2
ID_BYTES = 8
DRAFT_MODULES = (drafting, drafting_limits)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPlan:
    """A plan with the version of its object."""

    plan: Plan
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmedPlan:
    """Outcome of a successful confirmation.

    Attributes:
        plan: The plan.
        operator: Team whose confirmation took effect.
        at: ISO 8601 time of that confirmation.
        shard_version: First version of the shard that contains the change.
        repeated: Whether the plan had been confirmed before this call.
    """

    plan: Plan
    operator: str
    at: str
    shard_version: int
    repeated: bool


def make_plan_id(now: float) -> str:
    """Return a new ID; it starts with the date, so that recent plans can be listed by prefix."""
    day = datetime.fromtimestamp(now, UTC).strftime('%Y%m%d')
    return f'{day}-{secrets.token_hex(ID_BYTES)}'


def make_empty_view(database: str) -> ClusterView:
    """Return an empty view, for a daemon without cluster state."""
    return ClusterView()


def discard_record(record: TimelineRecord) -> None:
    """Discard a record; used without a timeline."""


class PlanStore:
    """Creates, lists, confirms and cancels plans.

    Attributes:
        store: The platform's object store.
        read_cluster: Returns this daemon's view of the cluster for one database.
        pause: Sleeps between attempts of a write.
        static: Databases of the settings; they stand in for a shard that does not exist.
        record: Appends a record to the timeline.
    """

    def __init__(
        self,
        store: ObjectStore,
        read_cluster: Callable[[str], ClusterView] = make_empty_view,
        pause: Pause = asyncio.sleep,
        static: Sequence[DatabaseConfig] = (),
        record: Callable[[TimelineRecord], object] = discard_record,
    ):
        self.store = store
        self.read_cluster = read_cluster
        self.pause = pause
        self.static = static
        self.record = record

    async def create_plan(
        self, intent: Intent, operator: str, now: float, primary: str = ''
    ) -> Result[Plan, RequestError]:
        """Make the plan for an intent and store it.

        Args:
            intent: Validated intent.
            operator: Team that requested it.
            now: Seconds since the epoch.
            primary: Primary that the owner reported, or '' to rely on this daemon's view.
        """
        shard = await self.read_shard(find_shard(intent.database))
        if shard.is_err():
            return Err(shard.unwrap_err())
        cluster = self.read_cluster(intent.database)
        if primary:
            cluster = dataclasses.replace(cluster, primaries={intent.database: primary})
        made = make_plan(intent, PlanView(shard.unwrap(), cluster), now)
        if made.is_err():
            return made
        plan = dataclasses.replace(made.unwrap(), plan_id=make_plan_id(now), operator=operator)
        written = await self._write_plan(plan, 0)
        if written.is_err():
            return Err(_make_unavailable_error(written.unwrap_err()))
        self._record_event('plan_created', plan, operator)
        return Ok(plan)

    async def read_plan(self, plan_id: str) -> Result[StoredPlan, RequestError]:
        """Read a plan."""
        found = await self.store.read_object(f'{PLAN_PREFIX}{plan_id}')
        if found.is_err():
            return Err(found.unwrap_err())
        stored = found.unwrap()
        if stored is None:
            return Err(RequestError(ErrorKind.UNKNOWN_OBJECT, f'there is no plan {plan_id!r}'))
        return decode_plan(stored.value).map(lambda plan: StoredPlan(plan, stored.version))

    async def list_plans(self, now: float) -> Result[list[Plan], RequestError]:
        """Return the plans of the last two days, oldest first."""
        plans: list[Plan] = []
        today = datetime.fromtimestamp(now, UTC)
        for age in range(LISTED_DAYS):
            day = (today - timedelta(days=age)).strftime('%Y%m%d')
            found = await self.store.list_objects(f'{PLAN_PREFIX}{day}-')
            if found.is_err():
                return Err(found.unwrap_err())
            decoded = (decode_plan(stored.value) for stored in found.unwrap())
            plans.extend(plan.unwrap() for plan in decoded if plan.is_ok())
        return Ok(sorted(plans, key=lambda plan: (plan.created_at, plan.plan_id)))

    async def read_shard(self, shard: int) -> Result[ShardState, RequestError]:
        """Read a shard; a missing one consists of the static databases at version 0."""
        found = await self.store.read_object(format_shard_key(shard))
        if found.is_err():
            return Err(found.unwrap_err())
        stored = found.unwrap()
        if stored is None:
            return Ok(ShardState(shard, databases=group_by_shard(self.static).get(shard, {})))
        return decode_shard(shard, stored.version, stored.value)

    async def confirm_plan(
        self, plan_id: str, operator: str, now: float
    ) -> Result[ConfirmedPlan, RequestError]:
        """Apply a plan by one conditional update of its shard.

        The call is idempotent. A lost response is resolved by reading back; OUTCOME_UNKNOWN
        means that the caller has to retry.
        """
        opened = await self._open_plan(plan_id)
        if opened.is_err():
            return Err(opened.unwrap_err())
        stored, shard = opened.unwrap()
        decided = decide_confirmation(stored.plan, shard, now)
        if decided.is_err():
            await self._record_refusal(stored, decided.unwrap_err())
            return Err(decided.unwrap_err())
        found = decided.unwrap()
        if found.applied:
            return Ok(await self._repeat_success(stored, shard, found))
        marked = await self._mark_confirming(stored, operator, now)
        if marked.is_err():
            return Err(_make_unavailable_error(marked.unwrap_err()))
        if not marked.unwrap().is_own_write:
            return await self._resume_confirmation(plan_id, operator, now)
        plan = decode_plan(marked.unwrap().value).unwrap()
        return await self._apply_plan(StoredPlan(plan, marked.unwrap().version), shard)

    async def cancel_plan(
        self, plan_id: str, operator: str, now: float
    ) -> Result[Plan, RequestError]:
        """Cancel a plan that is not in force; idempotent."""
        opened = await self._open_plan(plan_id)
        if opened.is_err():
            return Err(opened.unwrap_err())
        stored, shard = opened.unwrap()
        decided = decide_cancellation(stored.plan, shard, now)
        if decided.is_err():
            return Err(decided.unwrap_err())
        if not decided.unwrap():
            return Ok(stored.plan)
        cancelled = dataclasses.replace(
            stored.plan, state=PlanState.CANCELLED, decided_by=operator, decided_at=now
        )
        written = await self._write_plan(cancelled, stored.version)
        if written.is_err():
            return Err(written.unwrap_err())
        if not written.unwrap().is_own_write:
            message = f'plan {plan_id} was decided by another operator meanwhile'
            return Err(RequestError(ErrorKind.VERSION_CONFLICT, message))
        self._record_event('plan_cancelled', cancelled, operator)
        return Ok(cancelled)

    async def _open_plan(
        self, plan_id: str
    ) -> Result[tuple[StoredPlan, ShardState], RequestError]:
        found = await self.read_plan(plan_id)
        if found.is_err():
            return Err(found.unwrap_err())
        stored = found.unwrap()
        shard = await self.read_shard(stored.plan.shard)
        if shard.is_err():
            return Err(shard.unwrap_err())
        current = shard.unwrap()
        history = await self._read_history(stored.plan, current)
        return Ok((stored, dataclasses.replace(current, history=tuple(history))))

    async def _read_history(self, plan: Plan, current: ShardState) -> list[Plan]:
        """Return the plans between the current version and the base version of `plan`."""
        history: list[Plan] = []
        next_plan_id = current.confirmed.plan if current.confirmed else ''
        if current.version == plan.base_version:
            return history
        while next_plan_id not in {'', plan.plan_id} and len(history) < MAX_HISTORY:
            found = await self.read_plan(next_plan_id)
            if found.is_err():
                break
            later = found.unwrap().plan
            history.append(later)
            next_plan_id = later.base_plan if later.base_version > plan.base_version else ''
        return history

    async def _mark_confirming(
        self, stored: StoredPlan, operator: str, now: float
    ) -> Result[WriteOutcome, RequestError]:
        if stored.plan.state is PlanState.CONFIRMING:
            return Ok(WriteOutcome(stored.version, encode_plan(stored.plan), is_own_write=True))
        marked = dataclasses.replace(
            stored.plan, state=PlanState.CONFIRMING, decided_by=operator, decided_at=now
        )
        return await self._write_plan(marked, stored.version)

    async def _resume_confirmation(
        self, plan_id: str, operator: str, now: float
    ) -> Result[ConfirmedPlan, RequestError]:
        """Decide again after a concurrent decision about the plan."""
        opened = await self._open_plan(plan_id)
        if opened.is_err():
            return Err(opened.unwrap_err())
        stored, shard = opened.unwrap()
        decided = decide_confirmation(stored.plan, shard, now)
        if decided.is_err():
            return Err(decided.unwrap_err())
        found = decided.unwrap()
        if found.applied:
            return Ok(await self._repeat_success(stored, shard, found))
        applied = await self._apply_plan(stored, shard)
        return applied.map(lambda outcome: dataclasses.replace(outcome, repeated=True))

    async def _repeat_success(
        self, stored: StoredPlan, shard: ShardState, found: Confirmation
    ) -> ConfirmedPlan:
        version = stored.plan.shard_version or shard.version
        if stored.plan.state is not PlanState.CONFIRMED:
            await self._record_success(stored, version)
        return ConfirmedPlan(stored.plan, found.operator, found.at, version, repeated=True)

    async def _apply_plan(
        self, stored: StoredPlan, shard: ShardState
    ) -> Result[ConfirmedPlan, RequestError]:
        plan = stored.plan
        # Announced first, because daemons may apply the plan before the response to the write.
        stamp = self._record_event('plan_confirming', plan, plan.decided_by)
        at = format_time(plan.decided_at)
        confirmed = Confirmed(plan.plan_id, plan.decided_by, at, stamp)
        databases = dict(shard.databases)
        if plan.after is None:
            databases.pop(plan.database, None)
        else:
            databases[plan.database] = plan.after
        document = encode_shard(databases, confirmed)
        size = len(json.dumps(document).encode())
        if size > MAX_VALUE_BYTES:
            message = f'shard {plan.shard} would have {size} bytes of at most {MAX_VALUE_BYTES}'
            return Err(RequestError(ErrorKind.TOO_LARGE, message))
        if not shard.version:
            published = await publish_static_databases(
                self.store, self.static, plan.shard, self.pause
            )
            if published.is_err():
                return Err(_make_unavailable_error(published.unwrap_err()))
        written = await write_conditionally(
            self.store,
            format_shard_key(plan.shard),
            document,
            plan.base_version,
            lambda value: _read_confirmed_plan(value) == plan.plan_id,
            self.pause,
        )
        if written.is_err():
            return Err(written.unwrap_err())
        if not written.unwrap().is_own_write:
            return await self._resolve_conflict(plan.plan_id, plan.decided_at)
        version = written.unwrap().version
        await self._record_success(stored, version)
        return Ok(ConfirmedPlan(plan, confirmed.operator, confirmed.at, version, False))

    async def _resolve_conflict(
        self, plan_id: str, now: float
    ) -> Result[ConfirmedPlan, RequestError]:
        """Resolve a version conflict: return whether this plan or another one was written."""
        opened = await self._open_plan(plan_id)
        if opened.is_err():
            return Err(RequestError(ErrorKind.OUTCOME_UNKNOWN, opened.unwrap_err().message))
        stored, shard = opened.unwrap()
        decided = decide_confirmation(stored.plan, shard, now)
        if decided.is_err():
            await self._record_refusal(stored, decided.unwrap_err())
            return Err(decided.unwrap_err())
        found = decided.unwrap()
        if found.applied:
            return Ok(await self._repeat_success(stored, shard, found))
        message = f'shard {shard.shard} was read at an older version; confirm again'
        return Err(RequestError(ErrorKind.OUTCOME_UNKNOWN, message))

    async def _record_success(self, stored: StoredPlan, version: int) -> None:
        # The shard is authoritative; if this write is lost, the history still shows the plan.
        plan = dataclasses.replace(stored.plan, state=PlanState.CONFIRMED, shard_version=version)
        key = f'{PLAN_PREFIX}{plan.plan_id}'
        await self.store.write_object(key, encode_plan(plan), stored.version)
        self._record_event('plan_confirmed', plan, plan.decided_by)

    async def _record_refusal(self, stored: StoredPlan, error: RequestError) -> None:
        if error.kind is not ErrorKind.VERSION_CONFLICT or stored.plan.reason:
            return
        plan = dataclasses.replace(stored.plan, state=PlanState.REFUSED, reason=error.message)
        key = f'{PLAN_PREFIX}{plan.plan_id}'
        await self.store.write_object(key, encode_plan(plan), stored.version)
        self._record_event('plan_refused', plan, plan.decided_by or plan.operator)

    def _record_event(self, kind: str, plan: Plan, operator: str) -> Stamp:
        """Log an event of a plan, append it to the timeline and return its timestamp."""
        intent = str(plan.intent.get('kind', ''))
        values = {'plan': plan.plan_id, 'operator': operator, 'intent': intent}
        log_event(kind, database=plan.database, version=plan.shard_version, **values)
        record = TimelineRecord(kind, plan.database, cause=plan.reason, fields=values)
        kept = self.record(record)
        return kept.record.stamp if isinstance(kept, SequencedRecord) else (0, 0)

    async def _write_plan(self, plan: Plan, version: int) -> Result[WriteOutcome, RequestError]:
        document = encode_plan(plan)
        return await write_conditionally(
            self.store,
            f'{PLAN_PREFIX}{plan.plan_id}',
            document,
            version,
            lambda value: value == document,
            self.pause,
        )


def _read_confirmed_plan(document: object) -> str:
    confirmed = document.get('confirmed') if isinstance(document, dict) else None
    return confirmed.get('plan', '') if isinstance(confirmed, dict) else ''


def _make_unavailable_error(error: RequestError) -> RequestError:
    message = f'the platform is not available; nothing was put into force: {error.message}'
    return RequestError(ErrorKind.PLATFORM_UNAVAILABLE, message, retry_after_s=1)
