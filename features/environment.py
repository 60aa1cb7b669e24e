import asyncio
import sys
import traceback

from support.world import World

CLUSTER_TAG = 'processes'


def before_all(context):
    context.runner = asyncio.Runner()
    # behave drops attributes that are set after this hook at the end of a scenario.
    context.world = World()


def before_feature(context, feature):
    # Isolates features from state that an earlier one left behind, such as a moved owner.
    # `-D installation=shared` keeps the cluster, see KNOWN-RED.txt.
    if context.config.userdata.get('installation') == 'shared':
        return
    if context.world.cluster is not None:
        context.world.cluster.stop()
    context.world.reset()


def before_scenario(context, scenario):
    context.load = None
    context.held = None
    if CLUSTER_TAG not in scenario.effective_tags:
        return
    if context.world.cluster is None:
        context.runner.run(context.world.start())
    context.world.scenario += 1
    context.runner.run(context.world.restore_cluster())


def after_step(context, step):
    # The reports omit exceptions without a message, such as timeouts.
    if step.exception is not None:
        lines = traceback.format_exception(step.exception)
        sys.__stderr__.write(f'{step.name}\n{"".join(lines)}')


def after_scenario(context, scenario):
    if context.held is not None:
        context.held.close()
    if context.load is not None:
        context.runner.run(context.load.stop())


def after_all(context):
    if context.world.cluster is not None:
        context.world.cluster.stop()
    context.runner.close()
