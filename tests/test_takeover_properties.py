"""Entries and owners of several daemons while links between them and to the targets are cut.

The membership reports every daemon as alive throughout, as in an asymmetric partition that never
ends. The tests run the production `Forwarder` on an event loop with simulated time.
"""

import asyncio
import heapq
import random
from dataclasses import replace

from group_model import DATABASE, STEP_S
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_owner_with_group import CONNECTION_EFFECTS, STATEMENT_S, OwnerGroupSimulation

from cassiaseam.configuration.model import DatabaseConfigured, OwnershipChanged
from cassiaseam.entry.forwarding import Forwarder
from cassiaseam.errors import OWNER_LINK_LOST, RESPONSES, ErrorKind, RequestError, RunState
from cassiaseam.membership.messages import ListedVm, VmListReceived
from cassiaseam.membership.ranking import rank_owners
from cassiaseam.membership.state import create_membership
from cassiaseam.messages import Answer, Request, RequestKind
from cassiaseam.owner.adoption import ADOPTION_TTL_S
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer import target_io
from cassiaseam.reducer.common import (
    AnswerRequest,
    EntryLost,
    RecordTimeline,
    RequestArrived,
    RequestCancelled,
    Tick,
)
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam_load.cluster_simulation import make_record

VMS = {f'vm-{number:04}': make_record(number, 'gyor-a') for number in range(3)}
TARGETS = ('t0', 't1', 't2')
LINK_S = 0.002
LINK_TIMEOUT_S = 0.85
CONNECT_S = 1.0
TARGET_EFFECTS = (
    target_io.PollTarget,
    target_io.FenceTarget,
    target_io.PromoteTarget,
    target_io.FollowPrimary,
    target_io.MarkTerm,
)


class Links:
    """Transport of one entry to the local owner and to other daemons."""

    def __init__(self, world, entry):
        self.world, self.entry = world, entry

    async def send_request(self, vm, request, now):
        world, entry = self.world, self.entry
        if not world.is_linked(entry, vm):
            await asyncio.sleep(min(CONNECT_S, max(request.deadline - now, 0)))
            error = RequestError(ErrorKind.PEER_UNREACHABLE, 'no connection')
            return Answer(request.request_id, error=error)
        key = (entry, vm, request.request_id)
        future = asyncio.get_running_loop().create_future()
        world.waiting[key] = future
        world.schedule(LINK_S, lambda: world.deliver_event(entry, vm, RequestArrived(request)))
        try:
            return await future
        except asyncio.CancelledError:
            cancel = RequestCancelled(DATABASE, request.request_id)
            world.schedule(LINK_S, lambda: world.deliver_event(entry, vm, cancel))
            raise
        finally:
            world.waiting.pop(key, None)


class TakeoverWorld(OwnerGroupSimulation):
    """Daemons with entry and owner roles; every answer is checked when it arrives."""

    def __init__(self, seed):
        self.waiting, self.results, self.tasks = {}, {}, []
        super().__init__(seed=seed, owners=tuple(VMS))
        self.entries = {vm: self.build_entry(vm) for vm in VMS}

    def start_owner(self, owner):
        own = VMS[owner]
        state = NodeState(owner, 'gyor-a', random.Random(self.rng.random()))
        state.membership = create_membership(own, 0)
        self.owners[owner], self.pending[owner] = state, []
        listed = tuple(ListedVm(vm.vm, vm.place, vm.host, vm.port) for vm in VMS.values())
        self.dispatch(owner, VmListReceived(listed))
        self.dispatch(owner, DatabaseConfigured(self.config))

    def build_entry(self, vm):
        links = Links(self, vm)
        return Forwarder(vm, lambda _: self.rank(vm), links, lambda: self.now, peers=links)

    def rank(self, vm):
        return rank_owners(self.owners[vm].membership, self.config, self.now)

    def is_linked(self, entry, vm):
        return entry == vm or self.is_connected(entry, vm)

    def deliver_event(self, entry, vm, event):
        if self.is_linked(entry, vm):
            self.dispatch(vm, event)

    def dispatch(self, owner, event):
        for effect in reduce_event(self.owners[owner], event, self.now):
            if isinstance(effect, AnswerRequest):
                self.return_answer(owner, effect)
            elif isinstance(effect, OwnershipChanged):
                self.dispatch(owner, effect)
            elif isinstance(effect, CONNECTION_EFFECTS):
                self.serve(owner, effect)
            elif isinstance(effect, target_io.ClaimTerm):
                self.claim_term(owner, effect)
            elif isinstance(effect, RecordTimeline):
                self.records.append(effect.record)
            elif isinstance(effect, TARGET_EFFECTS):
                self.send(owner, effect, self.now)

    def return_answer(self, vm, effect):
        key = (effect.entry, vm, effect.answer.request_id)

        def arrive():
            if key in self.waiting and self.is_linked(effect.entry, vm):
                future = self.waiting[key]
                if not future.done():
                    future.set_result(effect.answer)

        self.schedule(LINK_S, arrive)

    def serve(self, owner, effect):
        """Run a statement; a cut after its arrival loses only the result."""
        target = self.targets[effect.target]

        def report(event):
            if self.is_connected(owner, target.name):
                self.dispatch(owner, event)

        def arrive():
            if self.is_connected(owner, target.name):
                is_write = getattr(effect, 'mode', None) is target_io.ExecutionMode.WRITE
                if is_write:
                    assert effect.request_id not in self.executed, 'a write ran twice'
                event = self.end(effect, target, alive=True)
                self.schedule(STATEMENT_S, lambda: report(event))

        self.schedule(STATEMENT_S, arrive)

    def cut_link(self, one, other):
        self.cut.add((one, other))
        if one in VMS and other in VMS:
            self.schedule(LINK_TIMEOUT_S, lambda: self.lose_link(one, other))

    def lose_link(self, one, other):
        if self.is_connected(one, other):
            return
        for (entry, vm, request_id), future in list(self.waiting.items()):
            if {entry, vm} == {one, other} and not future.done():
                kind = ErrorKind.OUTCOME_UNKNOWN
                error = RequestError(kind, 'link lost', detail={'cause': OWNER_LINK_LOST})
                future.set_result(Answer(request_id, error=error))
        for entry, vm in ((one, other), (other, one)):
            self.dispatch(vm, EntryLost(entry))

    def submit(self, vm, kind, **fields):
        request_id = f'r{len(self.requests)}'
        deadline = self.now + self.rng.choice([1.5, 3, 5])
        request = Request(request_id, vm, 'caller', 's', DATABASE, kind, deadline=deadline)
        request = replace(
            request, floor=self.highest_committed, session_opened_at=self.now, **fields
        )
        self.requests[request_id] = request
        self.tasks.append(asyncio.get_running_loop().create_task(self.follow(vm, request)))
        return request_id

    async def follow(self, vm, request):
        owned = await self.entries[vm].forward_request(request)
        assert request.request_id not in self.results
        assert self.now <= request.deadline + 2 * STEP_S
        self.results[request.request_id] = owned.answer
        if request.kind is RequestKind.WRITE and owned.answer.error is None:
            self.check_majority(request.request_id)

    def check_majority(self, request_id):
        position, entry = self.executed[request_id]
        held = [t.log[position.offset - 1 : position.offset] for t in self.targets.values()]
        assert held.count([entry]) >= 2, f'{position} is not held by a majority'
        self.committed.append((self.now, position, entry))
        self.highest_committed = LogPosition(
            max(self.highest_committed.term, position.term),
            max(self.highest_committed.offset, position.offset),
        )

    async def run_with_load(self, duration_s, load=0.1):
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            self.replicate()
            for vm in self.owners:
                self.dispatch(vm, Tick())
                if self.rng.random() < load:
                    self.submit(vm, RequestKind.WRITE)
                    self.submit(vm, RequestKind.READ, max_age_s=self.rng.choice([None, 1.0]))
            # An answer passes through several coroutines, so run the event loop several times.
            for _ in range(6):
                await asyncio.sleep(0)

    def list_owning(self):
        return [
            vm
            for vm, state in self.owners.items()
            if DATABASE in state.databases and state.databases[DATABASE].owns
        ]


class ModelLoop(asyncio.SelectorEventLoop):
    """Event loop that uses the simulated time of a world."""

    def __init__(self, world):
        self.world = world
        super().__init__()

    def time(self):
        return self.world.now


async def run_scenario(world, steps):
    await world.run_with_load(2, load=0)
    for cuts, pause_s in steps:
        world.cut.clear()
        for one, other in cuts:
            world.cut_link(one, other)
        await world.run_with_load(pause_s)
    world.cut.clear()
    await world.run_with_load(ADOPTION_TTL_S + 7)
    assert world.list_owning() == [world.rank('vm-0000')[0]]
    last = [world.submit(vm, kind) for vm in VMS for kind in (RequestKind.WRITE, RequestKind.READ)]
    await world.run_with_load(6, load=0)
    await asyncio.gather(*world.tasks)
    assert all(world.results[request_id].error is None for request_id in last)
    assert world.results.keys() == world.requests.keys()
    for request_id, answer in world.results.items():
        error = answer.error
        if error is not None and RESPONSES[error.kind].ran is RunState.NO:
            assert request_id not in world.executed, f'{request_id} ran: {error}'
    [primary] = [t for t in world.targets.values() if t.role.value == 'primary']
    for _, position, entry in world.committed:
        assert primary.log[position.offset - 1 : position.offset] == [entry]
    assert world.highest_committed != ZERO_POSITION


def run_world(world, steps):
    loop = ModelLoop(world)
    try:
        loop.run_until_complete(run_scenario(world, steps))
    finally:
        loop.close()


links = st.one_of(
    st.tuples(st.sampled_from(list(VMS)), st.sampled_from(TARGETS)),
    st.tuples(st.sampled_from(list(VMS)), st.sampled_from(list(VMS))).filter(
        lambda pair: pair[0] != pair[1]
    ),
)


@settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.tuples(st.lists(links, max_size=5), st.sampled_from([0.4, 1.2, 3.0])),
        min_size=1,
        max_size=6,
    ),
)
def test_cut_links_never_run_a_write_twice_or_leave_two_owners(seed, steps):
    run_world(TakeoverWorld(seed), steps)


def test_requests_succeed_while_a_cut_off_owner_stays_ranked():
    world = TakeoverWorld(1)
    first, second, third = world.rank('vm-0000')

    async def scenario():
        await world.run_with_load(2, load=0)
        for name in TARGETS:
            world.cut_link(first, name)
        world.cut_link(third, first)
        await world.run_with_load(4)
        submitted = len(world.requests)
        await world.run_with_load(4)
        later = list(world.requests)[submitted:]
        await world.run_with_load(6, load=0)
        assert later
        assert all(world.results[request_id].error is None for request_id in later)
        adopted = [record.vm for record in world.records if record.kind == 'database_adopted']
        assert adopted == [second]

    loop = ModelLoop(world)
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
