"""Registers the platform as an environment of the pooler role."""

from typing import Any

from cassiaseam.platform import records, terms
from cassiaseam.platform.callers import CallerFactory
from cassiaseam.platform.store import PlatformStore, PromotionClient
from cassiaseam.platform.targets import TargetConnector
from cassiaseam.pooler.environments import Environment, register_environment
from cassiaseam.pooler.settings import PoolerSettings
from cassiaseam.pooler.store_watcher import StoreKinds

READINESS_PATH = '/readiness'


@register_environment('platform')
def build_platform_environment(
    settings: PoolerSettings, reactor: Any, dispatch: Any
) -> Environment:
    """Build the adapter that connects the pooler role to the platform."""
    return Environment(
        callers=CallerFactory(dispatch),
        targets=TargetConnector(reactor, settings.vm, dispatch),
        store=PlatformStore(reactor, settings.store.host, settings.store.port, dispatch),
        promotions=PromotionClient(reactor, settings.promotions.host, settings.promotions.port),
        kinds=StoreKinds(
            records.CONFIG_KIND,
            records.CONFIG_NAME,
            records.TARGETS_KIND,
            records.VMS_KIND,
            records.SIZES_KIND,
            records.SHARES_KIND,
        ),
        decode_config=records.decode_config,
        decode_target=records.decode_target,
        decode_vm=records.decode_vm,
        decode_size=records.decode_size,
        decode_share=records.decode_share,
        readiness_path=READINESS_PATH,
        find_admission=terms.find_admission,
    )
