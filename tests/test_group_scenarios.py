"""Single faults with a known outcome; `World` asserts the invariants while it runs."""

import dataclasses

import pytest
from group_model import DATABASE, MARK_ENTRY_BASE, PLATFORM, World

from cassiaseam.configuration.model import DatabaseConfigured, TargetState
from cassiaseam.group import monitoring, view
from cassiaseam.group.events import PromotionRequested
from cassiaseam.messages import TargetRole
from cassiaseam.positions import LogPosition

MAX_FAILOVER_GAP_S = 2.0


def start_world(owners=('vm1',), **options):
    world = World(7, owners, **options)
    world.run_for(3)
    primary = world.group().primary
    return world, primary, [name for name in world.targets if name != primary]


def cut_from_replicas(world, primary, replicas):
    world.cut |= {(primary, replica) for replica in replicas}


def kill_with_platform_down(world, primary, replicas):
    world.platform_up = False
    world.targets[primary].running = False


def lose_claim_answers(world, primary, replicas):
    world.cut.add(('vm1', PLATFORM))
    world.targets[primary].frozen = True


def cut_primary_off(world, primary, replicas):
    cut_from_replicas(world, primary, replicas)
    world.cut |= {(owner, primary) for owner in world.owners}


@pytest.mark.parametrize('owners', [('vm1',), ('vm1', 'vm2', 'vm3')])
@pytest.mark.parametrize(
    'break_primary',
    [
        lambda world, primary, replicas: setattr(world.targets[primary], 'running', False),
        lambda world, primary, replicas: setattr(world.targets[primary], 'frozen', True),
        cut_from_replicas,
        cut_primary_off,
        kill_with_platform_down,
        lose_claim_answers,
    ],
    ids=['killed', 'frozen', 'cut from replicas', 'cut off', 'platform down', 'claim cut'],
)
def test_failed_primary_is_replaced_within_the_failover_limit(break_primary, owners):
    world, primary, replicas = start_world(owners)
    break_primary(world, primary, replicas)
    count = len(world.committed)
    world.run_for(4)
    group = world.group()
    assert group.primary in replicas
    assert len(world.committed) > count
    assert 0 < group.last_failover_gap_s < MAX_FAILOVER_GAP_S
    world.heal()
    world.run_for(3)
    assert world.targets[primary].follows == world.group().primary


@pytest.mark.parametrize('cut', [('t0', 't1', 't2'), ('primary',), ('t0', 't1', 't2', PLATFORM)])
def test_partitioned_owner_does_not_promote(cut):
    world, primary, _ = start_world()
    term = world.group().term
    world.cut |= {('vm1', primary if name == 'primary' else name) for name in cut}
    world.run_for(5)
    assert view.find_write_primary(world.group(), world.now) is None
    assert view.find_read_targets(world.group(), LogPosition(), None, world.now) == []
    world.heal()
    world.run_for(2)
    assert (world.group().primary, world.group().term) == (primary, term)


def test_healthy_group_is_not_promoted_again():
    world, _, _ = start_world(('vm1', 'vm2'))
    terms = set(world.promotions)
    world.run_for(20)
    assert set(world.promotions) == terms
    assert len(world.committed) >= world.written - 10


def test_competing_promoters_converge_on_one_primary():
    world, primary, _ = start_world(('vm1', 'vm2', 'vm3', 'vm4'))
    world.platform_up = False
    world.targets[primary].running = False
    world.run_for(5)
    assert (
        len({(world.group(owner).primary, world.group(owner).term) for owner in world.owners}) == 1
    )


def test_returning_primary_truncates_its_diverged_log():
    world, primary, replicas = start_world()
    cut_from_replicas(world, primary, replicas)
    old = world.targets[primary]
    for entry_id in range(-20, 0):
        assert old.commit(entry_id)
    world.run_for(4)
    world.heal()
    world.run_for(4)
    leader = world.targets[world.group().primary]
    assert leader.name in replicas
    assert old.log == leader.log[: len(old.log)]
    assert not any(entry_id < 0 for _, entry_id in old.log)


def test_empty_instance_cannot_elect_a_primary_without_the_log():
    world, primary, replicas = start_world()
    holder, lagging = replicas
    world.targets[lagging].batch = 0
    world.run_for(2)
    terms = set(world.promotions)
    world.targets[holder].restart(empty=True)
    world.targets[primary].running = False
    world.run_for(5)
    assert set(world.promotions) == terms
    world.heal()
    world.run_for(5)
    assert view.find_write_primary(world.group(), world.now)
    assert world.targets[holder].log


def test_empty_instance_serves_no_reads_until_it_catches_up():
    world, _, replicas = start_world()
    emptied = world.targets[replicas[0]]
    emptied.restart(empty=True)
    known = world.group().targets[emptied.name]
    while known.status.incarnation == '1':
        world.run_for(0.01)
    assert known.catch_up_position is not None
    # The empty log covers only samples that started before the first write.
    assert emptied.name not in view.find_read_targets(world.group(), LogPosition(), 2, world.now)
    world.run_for(4)
    assert known.catch_up_position is None
    assert emptied.follows == world.group().primary


def test_instance_fenced_by_a_failed_promoter_rejoins_the_group():
    world, _, replicas = start_world()
    world.targets[replicas[0]].fence(9, 'lost/1')
    world.run_for(6)
    group = world.group()
    assert group.term > 9
    assert all(target.term == group.term for target in world.targets.values())


@pytest.mark.parametrize('kind', ['draining', 'leaving', 'requested', 'requested target'])
def test_planned_promotion_moves_the_primary_without_losing_a_write(kind):
    world, primary, replicas = start_world()
    wanted = replicas[0]
    if kind == 'draining':
        targets = tuple(
            dataclasses.replace(target, state=TargetState.DRAINING)
            if target.name == primary
            else target
            for target in world.config.targets
        )
        config = dataclasses.replace(world.config, targets=targets, version=1)
        world.dispatch('vm1', DatabaseConfigured(config))
    elif kind == 'leaving':
        world.targets[primary].leaving = True
    else:
        target = wanted if kind == 'requested target' else ''
        world.dispatch('vm1', PromotionRequested(DATABASE, target, 'drain'))
    log = list(world.targets[primary].log)
    world.run_for(3)
    group = world.group()
    assert group.primary == wanted if kind == 'requested target' else group.primary in replicas
    assert world.targets[group.primary].log[: len(log)] == log
    assert world.targets[primary].role is TargetRole.REPLICA
    assert group.last_failover_gap_s < 0.5


def test_leaving_replica_is_promoted_only_as_the_last_choice():
    world, primary, replicas = start_world()
    world.targets[replicas[0]].leaving = True
    world.run_for(2)
    world.targets[primary].running = False
    world.run_for(3)
    assert world.group().primary == replicas[1]


def test_planned_promotion_without_a_caught_up_replica_leaves_the_primary_in_charge():
    world, primary, replicas = start_world()
    for replica in replicas:
        world.targets[replica].batch = 0
    world.run_for(1)
    world.dispatch('vm1', PromotionRequested(DATABASE, '', 'drain'))
    world.run_for(2)
    assert view.find_write_primary(world.group(), world.now) == primary


@pytest.mark.parametrize(('requested', 'most_polls'), [(False, 5 * 3), (True, 5 * 3 * 21)])
def test_polls_per_second_stay_bounded(requested, most_polls, monkeypatch):
    world, _, _ = start_world()
    monkeypatch.setattr(world, 'write', lambda owner: None)
    world.run_for(2)
    polls = []
    send = world.send
    monkeypatch.setattr(world, 'send', lambda *message: (polls.append(message), send(*message)))
    for _ in range(100):
        if requested:
            world.group().fast_poll_until = world.now + monitoring.FAST_POLL_DURATION_S
        world.run_for(0.05)
    assert 12 <= len(polls) <= most_polls


def test_slow_replicas_raise_the_expected_commit_delay():
    world, _, replicas = start_world()
    assert view.estimate_commit_delay_s(world.group(), world.now) < 0.2
    for replica in replicas:
        world.targets[replica].batch = 0
    world.run_for(2)
    assert view.estimate_commit_delay_s(world.group(), world.now) > 1


def test_log_inherited_from_an_earlier_term_is_confirmed_by_an_entry_of_the_new_term():
    world, primary, replicas = start_world()
    world.targets[primary].running = False
    world.run_for(4)
    leader = world.targets[world.group().primary]
    assert leader.name in replicas
    terms = {term for term, entry_id in leader.log if entry_id > MARK_ENTRY_BASE}
    assert world.group().term in terms


def test_stalled_write_after_a_takeover_starts_a_promotion_in_a_healthy_group():
    world, primary, _ = start_world()
    term = world.group().term
    # Without the owner role the test sets the start of the oldest write itself.
    world.owners['vm1'].databases.clear()
    world.group().taken_over_at = world.group().oldest_write_at = world.now
    world.run_for(3)
    assert world.group().primary == primary
    assert world.group().term > term


def test_term_that_the_vendor_raised_gets_an_entry_in_a_healthy_group():
    world, primary, _ = start_world()
    term = world.group().term + 1
    world.write = lambda owner: None
    world.run_for(0.1)
    for target in world.targets.values():
        target.term = target.fenced_term = term
    world.run_for(3)
    assert world.group().term == term
    assert (term, MARK_ENTRY_BASE + term) in world.targets[primary].log
