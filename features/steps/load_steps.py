from behave import given, then, when
from support.faults import FAULTS
from support.load import Load
from support.world import wait_until

EFFECT_LIMIT_S = 12.0
RECOVERY_LIMIT_S = 20.0
WRITES_BEFORE = 15
WRITES_AFTER = 15


@given('callers write, read and move between daemons')
def start_callers(context):
    start_callers_with_deadline(context, 2.0, 0.7)


@given('callers with a deadline of {deadline:g} s and a margin of {margin:g} s')
def start_callers_with_deadline(context, deadline, margin):
    async def start():
        context.load = Load(context.world, deadline, margin)
        context.load.start()
        await context.load.wait_for_writes(WRITES_BEFORE, EFFECT_LIMIT_S)

    context.runner.run(start())


@when('the fault "{faults}" comes and goes')
def come_and_go(context, faults):
    inject(context, faults)
    recover(context)


@when('the fault "{faults}" comes')
def inject(context, faults):
    async def run():
        conditions = []
        for name in faults.split(' + '):
            conditions.append(await FAULTS[name](context.world, context.load))
        for condition in conditions:
            await wait_until(condition, EFFECT_LIMIT_S, f'effect of {faults}')

    context.runner.run(run())


@when('the installation recovers')
def recover(context):
    async def run():
        await context.world.heal()
        await context.load.wait_for_writes(WRITES_AFTER, RECOVERY_LIMIT_S)
        await context.load.stop()
        await context.world.heal()
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


@then('every request was answered by its deadline plus the margin')
def check_hanging(context):
    assert not context.load.violations.hanging, context.load.describe()


@then('every refusal that invites a retry tells when')
def check_announced(context):
    assert not context.load.unannounced, context.load.describe()


@then('no other promise was broken')
def check_all(context):
    load = context.load
    assert not (load.violations.count() or load.torn or load.unannounced), load.describe()
