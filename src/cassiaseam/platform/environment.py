"""Registers the platform as an environment that a daemon can run in."""

from typing import Any

from cassiaseam.platform import records
from cassiaseam.platform.callers import CallerFactory
from cassiaseam.platform.store import PlatformStore, PromotionCaller
from cassiaseam.platform.targets import TargetConnector
from cassiaseam.pooler.environments import Environment, registers_environment
from cassiaseam.pooler.settings import PoolerSettings
from cassiaseam.pooler.storewatch import StoreKinds

READINESS_PATH = '/readiness'


@registers_environment('platform')
def build_platform_environment(
    settings: PoolerSettings, reactor: Any, dispatch: Any
) -> Environment:
    """Return what connects the pooler role to the platform."""
    return Environment(
        callers=CallerFactory(dispatch),
        targets=TargetConnector(reactor, settings.vm, dispatch),
        store=PlatformStore(reactor, settings.store.host, settings.store.port),
        promotions=PromotionCaller(reactor, settings.promotions.host, settings.promotions.port),
        kinds=StoreKinds(
            records.CONFIG_KIND,
            records.CONFIG_NAME,
            records.TARGETS_KIND,
            records.VMS_KIND,
            records.SIZES_KIND,
        ),
        decode_config=records.decode_config,
        decode_target=records.decode_target,
        decode_vm=records.decode_vm,
        decode_size=records.decode_size,
        readiness_path=READINESS_PATH,
    )
