import asyncio
from collections import Counter

import pymysql
from behave import given, step, then, when
from support.faults import inject_faults
from support.load import FAILURES, LOST, Load
from support.world import fetch, wait_until

from cassiaseam_load.caller import classify_failure

EFFECT_LIMIT_S = 12.0
RECOVERY_LIMIT_S = 20.0
WRITES_BEFORE = 15
WRITES_AFTER = 15
DEADLINE_S = 2.0
READS_WITHOUT_LEAVING = 30
READS_OBSERVED = 60
MARGIN_S = 0.7


@given('callers write, read and move between daemons')
def start_callers(context):
    run_callers(context)


@given('callers write and read without transactions')
def start_callers_without_transactions(context):
    run_callers(context, transacts=False)


def run_callers(context, transacts=True):
    async def start():
        context.load = Load(context.world, DEADLINE_S, MARGIN_S, transacts=transacts)
        context.load.start()
        await context.load.wait_for_writes(WRITES_BEFORE, EFFECT_LIMIT_S)

    context.runner.run(start())


@when('the fault "{faults}" comes and goes')
def come_and_go(context, faults):
    inject(context, faults)
    recover(context)


@step('the fault "{faults}" comes')
def inject(context, faults):
    async def run():
        for part in faults.split(' then '):
            conditions = await inject_faults(context.world, context.load, part.split(' + '))
            for condition in conditions:
                before = Counter(context.load.outcomes)
                try:
                    await wait_until(condition, EFFECT_LIMIT_S, f'effect of {part}')
                except AssertionError as error:
                    seen = dict(context.load.outcomes - before)
                    decisions = await context.world.read_decisions()
                    raise AssertionError(f'{error}; answers: {seen}; {decisions}') from error

    context.runner.run(run())


@when('the installation recovers')
def recover(context):
    async def run():
        await context.world.restore_cluster()
        await context.load.wait_for_writes(WRITES_AFTER, RECOVERY_LIMIT_S)
        await context.load.stop()
        await context.world.restore_cluster()
        await context.load.compare_rows()

    context.runner.run(run())


@then('no read missed a write of its own session')
def check_reads(context):
    load = context.load
    for kind in ('aged', 'plain', 'token', 'no token'):
        assert load.checked[kind], f'no read of kind {kind}: {load.checked}'
    assert not load.violations.stale_reads, load.describe()


@then('no acknowledged write is missing')
def check_lost(context):
    assert context.load.journal.acknowledged
    assert not context.load.violations.lost_writes, context.load.describe()


@then('no request answered "not run" left a row')
def check_refused(context):
    assert not context.load.violations.ran_refused, context.load.describe()


@then('no request ran twice')
def check_doubled(context):
    assert context.load.checked['keyed']
    assert not context.load.violations.doubled_writes, context.load.describe()


@then('every transaction left all of its rows or none')
def check_transactions(context):
    assert context.load.checked['transaction']
    assert not context.load.torn, context.load.describe()
    assert not context.load.violations.ran_refused, context.load.describe()


@then('every answer belongs to its request')
def check_foreign(context):
    assert not context.load.violations.foreign_answers, context.load.describe()


@then('every request was answered by its deadline of {deadline:g} s plus {margin:g} s')
def check_hanging(context, deadline, margin):
    assert (context.load.deadline_s, context.load.margin_s) == (deadline, margin)
    assert not context.load.violations.hanging, context.load.describe()


@then('every refusal that invites a retry tells when')
def check_announced(context):
    assert not context.load.missing_retry_delays, context.load.describe()


@then('no other promise was broken')
def check_all(context):
    load = context.load
    assert not (load.violations.count() or load.torn or load.missing_retry_delays), load.describe()


@given('a caller holds a transaction open through the {role}')
def hold_transaction(context, role):
    async def hold():
        world = context.world
        daemon = world.find_owner() if role == 'owner' else world.find_other_daemon()
        context.held = await world.connect(daemon)
        context.held_row = f's{world.scenario}-held/1'
        await fetch(context.held, 'BEGIN')
        values = f"('{context.held_row}', 's{world.scenario}-held', 1)"
        insert = f'INSERT INTO proof_rows (row_id, session_id, number) VALUES {values}'
        await fetch(context.held, insert)

    context.runner.run(hold())


@then('its COMMIT is {outcome}')
def commit_held(context, outcome):
    context.runner.run(commit_transaction(context, outcome))


async def commit_transaction(context, outcome):
    journal = context.load.journal
    cause = ''
    try:
        await fetch(context.held, 'COMMIT')
        found = 'acknowledged'
        journal.acknowledged.add(context.held_row)
    except FAILURES as error:
        failure = classify_failure(error)
        cause = f'{error}'
        found = 'lost' if failure.kind == LOST else failure.kind
        journal.refused.add(context.held_row)
    assert found == outcome, f'{found}, expected {outcome}: {cause}'


@when('the {role} daemon is told to stop')
def stop_daemon(context, role):
    async def stop():
        world, load = context.world, context.load
        daemon = world.find_owner() if role == 'owner' else world.find_other_daemon()
        load.watch_requests_in_flight()
        assert load.watched
        stopping = asyncio.ensure_future(daemon.stop())
        if getattr(context, 'held', None) is not None:
            await commit_transaction(context, 'acknowledged')
            context.held.close()
        context.exit_code = await stopping

    context.runner.run(stop())


@when('the {role} announces that it leaves')
def announce_leaving(context, role):
    context.load.watch_requests_in_flight()
    inject(context, f'{role} leaving')


@then('the daemon ended with code {code:d}')
def check_exit_code(context, code):
    assert context.exit_code == code


@then('no request in flight was cut off')
def check_interrupted(context):
    assert not context.load.interrupted, context.load.interrupted


@then('the leaving target gets no new statement after at most {limit:g} s')
def check_leaving(context, limit):
    async def observe():
        load, leaving = context.load, context.world.leaving
        clean = READS_WITHOUT_LEAVING

        async def is_clean():
            return len(load.served) >= clean and leaving not in load.served[-clean:]

        load.served.clear()
        await wait_until(is_clean, limit, f'{leaving} serves nothing')
        start = len(load.served)

        async def served_more():
            return len(load.served) >= start + READS_OBSERVED

        await wait_until(served_more, EFFECT_LIMIT_S, f'{READS_OBSERVED} more reads')
        assert leaving not in load.served[start:], f'{leaving} got new statements'

    context.runner.run(observe())


@then('a write with a deadline of {deadline:g} s is refused within {limit:g} s on every daemon')
def check_early_refusal(context, deadline, limit):
    sql = "INSERT INTO proof_rows (row_id, session_id, number) VALUES ('early', 'early', 1)"
    hinted = f'/* cassiaseam: deadline={deadline:g}s */ {sql}'

    async def is_refused(daemon=None):
        try:
            await context.world.query(daemon or context.world.find_owner(), hinted)
        except pymysql.err.MySQLError as error:
            return 'ran=no' in str(error) and 'retry_after_ms=' in str(error)
        raise AssertionError('a write was acknowledged without a majority')

    async def write_everywhere():
        # The owner measures the replication lag from writes that wait for the replicas.
        await wait_until(is_refused, EFFECT_LIMIT_S, 'the owner refuses writes')
        for daemon in context.world.list_live_daemons():
            async with asyncio.timeout(limit):
                assert await is_refused(daemon), daemon.vm

    context.runner.run(write_everywhere())
