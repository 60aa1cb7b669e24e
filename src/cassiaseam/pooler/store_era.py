"""Eras of the store: each restore of the store from a copy begins a new one.

A restore loses the latest acknowledged writes and gives their revisions out again, so an order by
revision holds within one era only.
"""

from cassiaseam.pooler.events import StoreEraObserved, StoreListed, WriteLog
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles


def get_store_era(state: PoolerState) -> int:
    """Return the newest known era of the store, 0 before the first answer."""
    return state.store_era or 0


@handles(StoreEraObserved)
def observe_era(state: PoolerState, event: StoreEraObserved, now: float) -> list:
    """Record the newest era of the store."""
    former = state.store_era
    if former is not None and event.era <= former:
        return []
    state.store_era = event.era
    state.first_revision = None
    if former is None:
        return [WriteLog('store_era_known', {'era': event.era})]
    return [WriteLog('store_era_changed', {'era': event.era, 'former': former})]


@handles(StoreListed)
def record_first_list(state: PoolerState, event: StoreListed, now: float) -> list:
    """Record from which revision on this VM knows the changes of the era."""
    if state.first_revision is None:
        state.first_revision = event.revision
        state.first_listed_at = now
    return []
