"""Number of status polls per answer. Each poll occupies a slot of a target."""

import pytest
from pooler_world import World, is_success

from cassiaseam.pooler import ticks
from cassiaseam.pooler.admission import headroom, poll_backoff
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.target_use.causes import PollCause, PollOutcome

READS = 20


def count_polls(world):
    return sum(vm.state.commands_sent.get('ReadStatus', 0) for vm in world.vms.values())


@pytest.mark.parametrize(
    ('database', 'kind'),
    [
        ('orders', StatementKind.READ),
        ('orders', StatementKind.WRITE),
        ('stock', StatementKind.WRITE),
    ],
)
def test_first_statement_of_a_group_polls_only_a_majority(database, kind):
    # 195 VMs that polled every target of every group exceeded the targets' connection limits.
    world = World(vms=1)
    world.run_until(3)
    assert count_polls(world) == 0
    world.connect('vm0', 1, database)
    call = world.send('vm0', 1, kind, 'a')
    world.run_until(3.2)
    assert is_success(call)
    assert len(world.vms['vm0'].state.connections) == 2


@pytest.mark.parametrize(
    ('database', 'pause_s', 'max_polls'),
    [('orders', 0.3, 2 * READS), ('orders', 0.003, READS), ('prices', 0.1, 6), ('stock', 0.1, 6)],
)
def test_reads_poll_no_more_than_their_answers_need(database, pause_s, max_polls):
    # A read on the primary polled again while a poll was in flight: 4,570 polls for 5,116
    # operations without faults. It needs the statuses of a majority with the primary.
    world = World(vms=1)
    world.connect('vm0', READS, database)
    world.send('vm0', READS, StatementKind.READ)
    world.run_until(0.5)
    before = count_polls(world)
    calls = []
    for session in range(READS):
        world.connect('vm0', session, database)
        calls.append(world.send('vm0', session, StatementKind.READ))
        world.run_until(world.now + pause_s)
    world.run_until(world.now + 0.5)
    assert all(is_success(call) for call in calls)
    assert count_polls(world) - before <= max_polls


@pytest.mark.parametrize('database', ['prices', 'orders'])
def test_busy_targets_are_not_polled_once_per_round_trip(database):
    # A target with a full queue answers BUSY to polls as well. Each answer resumed the reads that
    # waited and made them poll again, so that 123 VMs sent 17,000 polls a second.
    world = World(vms=1)
    world.connect('vm0', 1, database)
    for target in world.targets.values():
        target.polls_busy_until = 0.8
    call = world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.8)
    # The backoff of a target is at least 0.04 s from the third answer on.
    assert count_polls(world) <= len(world.targets) * (3 + 0.8 / 0.04)
    world.run_until(0.95)
    assert is_success(call)


def test_idle_target_is_polled_in_place_of_a_busy_one():
    world = World(vms=1)
    world.connect('vm0', 1, 'prices')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(3)
    polled = [
        name for name, it in world.vms['vm0'].state.groups['g'].targets.items() if it.connections
    ]
    world.targets[polled[0]].polls_busy_until = 9
    call = world.send('vm0', 1, StatementKind.READ)
    world.run_until(3.1)
    assert is_success(call)


@pytest.mark.parametrize(
    ('vms', 'longest_s'), [(1, 0.08), (19, 0.08), (24, 0.1), (40, 1 / 6), (200, 1 / 6)]
)
def test_longest_backoff_grows_with_the_number_of_vms(vms, longest_s):
    # With its jitter it stays at 0.25 s, or reads would wait long after the target was busy.
    assert poll_backoff.find_longest_backoff_s(vms) == pytest.approx(longest_s)


@pytest.mark.parametrize('database', ['prices', 'orders'])
def test_many_vms_together_do_not_poll_a_busy_target_without_bound(database):
    # The longest backoff was the same for any number of VMs: 40 VMs sent each busy target hundreds
    # of polls a second.
    world = World(vms=40, shared=True)
    for number, name in enumerate(world.vms):
        world.connect(name, number, database)
        world.send(name, number, StatementKind.READ)
    world.run_until(3)
    for target in world.targets.values():
        target.polls_busy_until = 5
    # Half a second later, the backoff of each VM has reached the longest.
    counts = []
    while world.now < 5:
        for number, name in enumerate(world.vms):
            if world.calls[name, number].answer is not None:
                world.send(name, number, StatementKind.READ)
        world.run_until(world.now + 0.05)
        counts.append((world.now, count_polls(world)))
    (since, first), (until, last) = counts[10], counts[-1]
    bound = poll_backoff.MAX_POLLS_PER_S * (until - since) * len(world.targets)
    assert last - first <= bound


def test_busy_targets_are_rarely_probed_for_their_connection_counts():
    # A VM polled a target that was too busy to report its connections four times a second.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    state = world.vms['vm0'].state
    for name, target in state.groups['g'].targets.items():
        world.targets[name].polls_busy_until = 9
        target.reported_connections = headroom.FULL_TARGET_CONNECTIONS
    for number in range(60):
        # Keeps connections open, so that polls could correct the count.
        world.connect('vm0', number + 2, 'orders')
        world.send('vm0', number + 2, StatementKind.READ)
        world.run_until(world.now + 0.1)
    probes = state.target_use.polls[PollCause.UNKNOWN_CONNECTION_COUNT, PollOutcome.BUSY]
    # After two probes, the interval is 1 s.
    busy = [target for target in state.groups['g'].targets.values() if target.busy_polls]
    assert 0 < probes <= len(busy) * (2 + 6)


def test_probe_of_a_silent_target_does_not_wait_for_its_connection_count():
    # A primary that was busy and then fails has to be found out as fast as any other.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    state = world.vms['vm0'].state
    group = state.groups['g']
    target = group.targets['t0']
    target.busy_polls = 5
    target.reported_connections = headroom.FULL_TARGET_CONNECTIONS
    target.next_probe_at = world.now
    target.silent_since = world.now - ticks.PROBE_DELAY_S - 0.01
    ticks.probe_targets(state, group, world.now)
    assert target.status_job.poll_cause is PollCause.SILENT_TARGET


@pytest.mark.parametrize(
    ('busy_polls', 'delay_s'), [(0, 0), (1, 0.25), (2, 0.75), (3, 0.75), (99, 0.75)]
)
def test_probe_for_a_connection_count_is_delayed_by_busy_answers(busy_polls, delay_s):
    # The interval of 0.25 s did not change while a target was too busy to answer.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    target = world.vms['vm0'].state.groups['g'].targets['t0']
    target.reported_connections = headroom.FULL_TARGET_CONNECTIONS
    target.busy_polls = busy_polls
    target.next_probe_at = 2
    assert not ticks.is_count_probe_due(target, 2 + delay_s - 0.01)
    assert ticks.is_count_probe_due(target, 2 + delay_s)
    target.busy_polls = busy_polls + 1
    target.next_poll_at = 5
    assert not ticks.is_count_probe_due(target, 4.9)
