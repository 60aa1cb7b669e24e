"""Publishes the databases of the settings file to the platform."""

from collections.abc import Sequence

from result import Err, Ok, Result

from cassiaseam.configuration.document import find_shard, format_shard_key
from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import RequestError
from cassiaseam.plans.codec import encode_shard
from cassiaseam.plans.conditional_write import ObjectStore, Pause, write_conditionally


def group_by_shard(static: Sequence[DatabaseConfig]) -> dict[int, dict[str, DatabaseConfig]]:
    """Return the databases grouped by shard number."""
    shards: dict[int, dict[str, DatabaseConfig]] = {}
    for config in static:
        shards.setdefault(find_shard(config.name), {})[config.name] = config
    return shards


async def publish_static_databases(
    store: ObjectStore, static: Sequence[DatabaseConfig], planned_shard: int, pause: Pause
) -> Result[int, RequestError]:
    """Store the databases of the settings in the shards that do not exist yet.

    Daemons ignore the databases of their settings once the platform holds a configuration, so
    all of them must be stored before the first plan creates its shard.

    Args:
        store: Object store.
        static: Databases of the settings.
        planned_shard: Shard that the plan itself writes.
        pause: Sleeps for a number of seconds.

    Returns:
        The number of shards that now exist, or the error of the first write that failed.
    """
    shards = group_by_shard(static)
    shards.pop(planned_shard, None)
    for number, databases in sorted(shards.items()):
        document = encode_shard(databases, None)
        key = format_shard_key(number)
        written = await write_conditionally(store, key, document, 0, bool, pause)
        if written.is_err():
            return Err(written.unwrap_err())
    return Ok(len(shards))
