"""Eras of the store: each restore of the store from a copy begins a new one.

A restore loses the latest acknowledged writes and gives their revisions out again, so an order by
revision holds within one era only.
"""

from cassiaseam.pooler.events import StoreEraObserved, WriteLog
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles


@handles(StoreEraObserved)
def observe_era(state: PoolerState, event: StoreEraObserved, now: float) -> list:
    """Record the newest era of the store."""
    former = state.store_era
    if former is not None and event.era <= former:
        return []
    state.store_era = event.era
    state.store_era_since = now
    if former is None:
        return [WriteLog('store_era_known', {'era': event.era})]
    return [WriteLog('store_era_changed', {'era': event.era, 'former': former})]
