import asyncio

from support.world import World

CLUSTER_TAG = 'processes'


def before_all(context):
    context.runner = asyncio.Runner()
    context.world = None


def before_scenario(context, scenario):
    context.load = None
    context.held = None
    if CLUSTER_TAG not in scenario.effective_tags:
        return
    if context.world is None:
        world = World()
        context.runner.run(world.start())
        context.world = world
    context.world.scenario += 1
    import time

    t = time.time()
    context.runner.run(context.world.heal())
    print('HEAL', time.time() - t)


def after_scenario(context, scenario):
    if context.held is not None:
        context.held.close()
    if context.load is not None:
        context.runner.run(context.load.stop())


def after_all(context):
    if context.world is not None:
        context.world.cluster.stop()
    context.runner.close()
