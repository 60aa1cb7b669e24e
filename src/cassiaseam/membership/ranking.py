"""Owners of databases by rendezvous hashing over the members that may own.

`RankingIndex` keeps the best candidates per database. A change of one member touches only the
databases with a target in its place (a new member) or with the member among the kept candidates
(a lost one); asking for a ranking costs a dict lookup.
"""

import bisect
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from cassiaseam.configuration.model import DatabaseConfig

if TYPE_CHECKING:
    from cassiaseam.membership.state import MembershipState

# Candidates kept per database. Below MIN_KEPT the ranking is computed again from all members, so
# that the loss of single members costs no new ranking.
MAX_KEPT = 8
MIN_KEPT = 4
# Successors that ping the owner directly.
WATCHING_SUCCESSORS = 2
CONFIG_WATCHERS = 2


@dataclass(slots=True)
class RankedDatabase:
    """Ranking of one database.

    Attributes:
        config: Configuration that the ranking was made for.
        places: Places of its targets.
        registered: Whether ownership changes are reported for it.
        best: `(negative score, vm)` of the best candidates, best first.
        names: VM names, best first, with the owner chosen by operators in front.
        uses_all: Whether no eligible member is in the places, so that all members compete.
        watched: Owner that this daemon pings as its successor, or ''.
    """

    config: DatabaseConfig
    places: frozenset[str]
    registered: bool = False
    best: list[tuple[int, str]] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    uses_all: bool = False
    watched: str = ''


@dataclass(slots=True)
class RankingIndex:
    """Rankings of all databases at one daemon.

    Attributes:
        vm: Name of this VM.
        eligible: VMs that may own databases, by place.
        place_of: Place of every eligible VM.
        databases: Ranking by database.
        by_place: Databases by place of their targets.
        by_member: Databases by VM among their kept candidates or chosen by operators.
        using_all: Databases without an eligible member in their places.
        owned: Registered databases that this daemon owns.
        watched: Databases by owner that this daemon watches.
    """

    vm: str
    eligible: dict[str, set[str]] = field(default_factory=dict)
    place_of: dict[str, str] = field(default_factory=dict)
    databases: dict[str, RankedDatabase] = field(default_factory=dict)
    by_place: dict[str, set[str]] = field(default_factory=dict)
    by_member: dict[str, set[str]] = field(default_factory=dict)
    using_all: set[str] = field(default_factory=set)
    owned: set[str] = field(default_factory=set)
    watched: dict[str, set[str]] = field(default_factory=dict)


def compute_score(database: str, vm: str) -> int:
    """Return the weight of a VM for a database; the highest one owns it."""
    return xxhash.xxh3_64_intdigest(f'{database}\0{vm}'.encode())


def rank_owners(membership: 'MembershipState', config: DatabaseConfig, now: float) -> list[str]:
    """Return up to `MAX_KEPT` VM names, best owner first; callers must not change the list.

    An owner that operators chose is first while it is eligible. Without eligible members in the
    places of the targets all members compete.
    """
    index = membership.ranking
    ranked = index.databases.get(config.name)
    if ranked is None or (ranked.config is not config and not has_same_inputs(ranked, config)):
        register_database(index, config, ranked is not None and ranked.registered)
        ranked = index.databases[config.name]
    return ranked.names


def has_same_inputs(ranked: RankedDatabase, config: DatabaseConfig) -> bool:
    """Return whether a ranking is valid for another version of the configuration."""
    same = ranked.config.owner == config.owner and ranked.places == find_places(config)
    if same:
        ranked.config = config
    return same


def find_places(config: DatabaseConfig) -> frozenset[str]:
    """Return the places of the targets of a database."""
    return frozenset(target.place for target in config.targets)


def register_database(index: RankingIndex, config: DatabaseConfig, registered: bool) -> None:
    """Enter a database or replace its configuration."""
    remove_database(index, config.name)
    ranked = RankedDatabase(config, find_places(config), registered)
    index.databases[config.name] = ranked
    for place in ranked.places:
        index.by_place.setdefault(place, set()).add(config.name)
    if config.owner:
        index.by_member.setdefault(config.owner, set()).add(config.name)
    rebuild_ranking(index, ranked)


def remove_database(index: RankingIndex, database: str) -> None:
    """Drop a database, apart from the record of its ownership."""
    ranked = index.databases.pop(database, None)
    if ranked is None:
        return
    for place in ranked.places:
        discard_member(index.by_place, place, database)
    for _, vm in ranked.best:
        discard_member(index.by_member, vm, database)
    discard_member(index.by_member, ranked.config.owner, database)
    discard_member(index.watched, ranked.watched, database)
    index.using_all.discard(database)


def discard_member(table: dict[str, set[str]], key: str, member: str) -> None:
    """Remove a member from a table of sets and drop the set when it is empty."""
    listed = table.get(key)
    if listed is not None:
        listed.discard(member)
        if not listed:
            table.pop(key)


def find_candidates(index: RankingIndex, ranked: RankedDatabase) -> Iterable[str]:
    """Return the eligible VMs that compete for a database."""
    if ranked.uses_all:
        return index.place_of
    sets = (index.eligible.get(place, ()) for place in ranked.places)
    return (vm for listed in sets for vm in listed)


def count_candidates(index: RankingIndex, ranked: RankedDatabase) -> int:
    """Return how many VMs compete for a database."""
    if ranked.uses_all:
        return len(index.place_of)
    return sum(len(index.eligible.get(place, ())) for place in ranked.places)


def rebuild_ranking(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Compute the candidates of one database from all members."""
    database = ranked.config.name
    for _, kept in ranked.best:
        if kept != ranked.config.owner:
            discard_member(index.by_member, kept, database)
    ranked.uses_all = not any(index.eligible.get(place) for place in ranked.places)
    if ranked.uses_all:
        index.using_all.add(database)
    else:
        index.using_all.discard(database)
    scores = ((-compute_score(database, vm), vm) for vm in find_candidates(index, ranked))
    ranked.best = sorted(scores)[:MAX_KEPT]
    for _, best_vm in ranked.best:
        index.by_member.setdefault(best_vm, set()).add(database)
    refresh_names(index, ranked)


def refresh_names(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Bring the list of names and the watched owner up to date."""
    names = [entry[1] for entry in ranked.best]
    chosen = ranked.config.owner
    if chosen in index.place_of:
        others = [name for name in names if name != chosen]
        names = [chosen, *others]
    ranked.names = names
    is_successor = index.vm in names[1 : 1 + WATCHING_SUCCESSORS]
    watched = names[0] if is_successor and ranked.registered else ''
    if watched != ranked.watched:
        discard_member(index.watched, ranked.watched, ranked.config.name)
        ranked.watched = watched
        if watched:
            index.watched.setdefault(watched, set()).add(ranked.config.name)


def add_eligible(index: RankingIndex, vm: str, place: str) -> set[str]:
    """Let a VM compete; return the databases whose ranking changed."""
    if index.place_of.get(vm) == place:
        return set()
    changed = remove_eligible(index, vm)
    index.place_of[vm] = place
    index.eligible.setdefault(place, set()).add(vm)
    concerned = index.by_place.get(place, set()) | index.using_all
    concerned |= index.by_member.get(vm, set())
    for database in concerned:
        if add_candidate(index, index.databases[database], vm, place):
            changed.add(database)
    return changed


def add_candidate(index: RankingIndex, ranked: RankedDatabase, vm: str, place: str) -> bool:
    """Enter a new VM into one ranking; return whether the ranking changed."""
    competes = place in ranked.places
    if ranked.uses_all and competes:
        rebuild_ranking(index, ranked)
        return True
    is_kept = False
    if competes or ranked.uses_all:
        is_kept = insert_score(index, ranked, vm)
    if is_kept or ranked.config.owner == vm:
        refresh_names(index, ranked)
        return True
    return False


def insert_score(index: RankingIndex, ranked: RankedDatabase, vm: str) -> bool:
    """Insert a VM into the kept candidates if it is good enough."""
    entry = (-compute_score(ranked.config.name, vm), vm)
    # A shortened list holds the best candidates only down to its last one.
    is_shortened = count_candidates(index, ranked) - 1 > len(ranked.best)
    if is_shortened and entry > ranked.best[-1]:
        return False
    bisect.insort(ranked.best, entry)
    index.by_member.setdefault(vm, set()).add(ranked.config.name)
    for _, dropped in ranked.best[MAX_KEPT:]:
        if dropped != ranked.config.owner:
            discard_member(index.by_member, dropped, ranked.config.name)
    del ranked.best[MAX_KEPT:]
    return True


def remove_eligible(index: RankingIndex, vm: str) -> set[str]:
    """Take a VM out of the competition; return the databases whose ranking changed."""
    place = index.place_of.pop(vm, None)
    if place is None:
        return set()
    discard_member(index.eligible, place, vm)
    concerned = set(index.by_member.get(vm, ()))
    for database in concerned:
        remove_candidate(index, index.databases[database], vm)
    return concerned


def remove_candidate(index: RankingIndex, ranked: RankedDatabase, vm: str) -> None:
    """Take a VM out of one ranking."""
    ranked.best = [entry for entry in ranked.best if entry[1] != vm]
    if vm != ranked.config.owner:
        discard_member(index.by_member, vm, ranked.config.name)
    if len(ranked.best) < min(MIN_KEPT, count_candidates(index, ranked)) or not ranked.best:
        rebuild_ranking(index, ranked)
    else:
        refresh_names(index, ranked)


def find_config_watchers(membership: 'MembershipState', place: str) -> list[str]:
    """Return the VMs of a place that watch the configuration in the store."""
    members = membership.ranking.eligible.get(place, ())
    scores = ((-compute_score(f'watch/{place}', vm), vm) for vm in members)
    return [vm for _, vm in heapq.nsmallest(CONFIG_WATCHERS, scores)]


def watch_peers(membership: 'MembershipState') -> list[str]:
    """Return the owners that this daemon pings because it would replace them."""
    return sorted(membership.ranking.watched)
