"""Ranking of database owners by rendezvous hashing over the eligible members.

`RankingIndex` keeps the best candidates per database. A lost member affects only the databases
that keep it as a candidate. A new member is applied at once only to the databases that this daemon
owns or watches; other rankings apply the members added since their last use when they are next
used. Otherwise reading a ranking costs one dict lookup.
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

# Candidates kept per database. The ranking is recomputed from all members only below
# MIN_CANDIDATES, so that the loss of a single member does not cause it.
MAX_CANDIDATES = 8
MIN_CANDIDATES = 4
# Size of the addition log. A ranking that misses additions dropped from it is recomputed.
MAX_ADDITIONS = 256
# Number of next-ranked members that ping the owner directly.
WATCHING_SUCCESSORS = 2
CONFIG_WATCHERS = 2


@dataclass(slots=True)
class RankedDatabase:
    """Ranking of one database.

    Attributes:
        config: Configuration that the ranking was computed for.
        places: Places of its targets.
        registered: Whether ownership changes of the database are reported.
        best: `(negative score, vm)` of the best candidates, best first.
        names: VM names, best first, preceded by an eligible owner that operators chose.
        uses_all_members: Whether all eligible members compete because none is in the places.
        watched: Owner that this daemon pings as its successor, or ''.
        position: Number of index additions that the ranking contains; negative before it is
            computed.
    """

    config: DatabaseConfig
    places: frozenset[str]
    registered: bool = False
    best: list[tuple[int, str]] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    uses_all_members: bool = False
    watched: str = ''
    position: int = -1


@dataclass(slots=True)
class RankingIndex:
    """Rankings of all databases on one daemon.

    Attributes:
        vm: Name of this VM.
        eligible: VMs that may own databases, by place.
        place_of: Place by eligible VM.
        databases: Ranking by database.
        by_place: Databases by place of their targets.
        by_member: Databases by VM that is a kept candidate or chosen by operators.
        using_all_members: Databases without an eligible member in their places.
        owned: Registered databases that this daemon owns.
        watched: Databases by owner that this daemon watches.
        additions: Latest VMs in the order in which they became eligible.
        dropped_additions: Number of older additions that were dropped.
    """

    vm: str
    eligible: dict[str, set[str]] = field(default_factory=dict)
    place_of: dict[str, str] = field(default_factory=dict)
    databases: dict[str, RankedDatabase] = field(default_factory=dict)
    by_place: dict[str, set[str]] = field(default_factory=dict)
    by_member: dict[str, set[str]] = field(default_factory=dict)
    using_all_members: set[str] = field(default_factory=set)
    owned: set[str] = field(default_factory=set)
    watched: dict[str, set[str]] = field(default_factory=dict)
    additions: list[str] = field(default_factory=list)
    dropped_additions: int = 0

    def count_additions(self) -> int:
        """Return the total number of additions."""
        return self.dropped_additions + len(self.additions)

    def record_addition(self, vm: str) -> None:
        """Record that a VM became eligible."""
        if len(self.additions) >= MAX_ADDITIONS:
            self.dropped_additions += len(self.additions)
            self.additions.clear()
        self.additions.append(vm)

    def list_additions(self, position: int) -> list[str] | None:
        """Return the additions after a position, or None if some were dropped."""
        if position < self.dropped_additions:
            return None
        return self.additions[position - self.dropped_additions :]


def compute_score(database: str, vm: str) -> int:
    """Return the rendezvous score of a VM for a database; the highest score owns it."""
    return xxhash.xxh3_64_intdigest(f'{database}\0{vm}'.encode())


def rank_owners(membership: 'MembershipState', config: DatabaseConfig, now: float) -> list[str]:
    """Return up to `MAX_CANDIDATES` VM names, best owner first; callers must not change the list.

    An owner chosen by operators comes first while it is eligible. If no eligible member is in the
    places of the targets, all eligible members compete.
    """
    index = membership.ranking
    ranked = index.databases.get(config.name)
    if ranked is None or (ranked.config is not config and not has_same_inputs(ranked, config)):
        register_database(index, config, ranked is not None and ranked.registered)
        ranked = index.databases[config.name]
    apply_additions(index, ranked)
    return ranked.names


def has_same_inputs(ranked: RankedDatabase, config: DatabaseConfig) -> bool:
    """Return whether a ranking stays valid for another configuration, and store that one if so."""
    same = ranked.config.owner == config.owner and ranked.places == find_places(config)
    if same:
        ranked.config = config
    return same


def find_places(config: DatabaseConfig) -> frozenset[str]:
    """Return the places of the targets of a database."""
    return frozenset(target.place for target in config.targets)


def register_database(index: RankingIndex, config: DatabaseConfig, registered: bool) -> None:
    """Add a database or replace its configuration.

    The ranking is computed now only if this daemon may rank high or operators chose an owner.
    """
    remove_database(index, config.name)
    ranked = RankedDatabase(config, find_places(config), registered)
    index.databases[config.name] = ranked
    for place in ranked.places:
        index.by_place.setdefault(place, set()).add(config.name)
    if config.owner:
        index.by_member.setdefault(config.owner, set()).add(config.name)
    if config.owner or is_own_vm_candidate(index, ranked):
        rebuild_ranking(index, ranked)


def is_own_vm_candidate(index: RankingIndex, ranked: RankedDatabase) -> bool:
    """Return whether this VM competes for a database."""
    is_local = index.place_of.get(index.vm) in ranked.places
    return is_local or not has_local_members(index, ranked)


def has_local_members(index: RankingIndex, ranked: RankedDatabase) -> bool:
    """Return whether an eligible member is in a place of the database's targets."""
    return any(index.eligible.get(place) for place in ranked.places)


def remove_database(index: RankingIndex, database: str) -> None:
    """Remove a database, but keep its entry in `owned`."""
    ranked = index.databases.pop(database, None)
    if ranked is None:
        return
    for place in ranked.places:
        discard_from_set(index.by_place, place, database)
    for _, vm in ranked.best:
        discard_from_set(index.by_member, vm, database)
    discard_from_set(index.by_member, ranked.config.owner, database)
    discard_from_set(index.watched, ranked.watched, database)
    index.using_all_members.discard(database)


def discard_from_set(table: dict[str, set[str]], key: str, member: str) -> None:
    """Remove a member from the set of a key, and remove the set when it is empty."""
    listed = table.get(key)
    if listed is not None:
        listed.discard(member)
        if not listed:
            table.pop(key)


def find_candidates(index: RankingIndex, ranked: RankedDatabase) -> Iterable[str]:
    """Return the eligible VMs that compete for a database."""
    if ranked.uses_all_members:
        return index.place_of
    sets = (index.eligible.get(place, ()) for place in ranked.places)
    return (vm for listed in sets for vm in listed)


def count_candidates(index: RankingIndex, ranked: RankedDatabase) -> int:
    """Return the number of VMs that compete for a database."""
    if ranked.uses_all_members:
        return len(index.place_of)
    return sum(len(index.eligible.get(place, ())) for place in ranked.places)


def rebuild_ranking(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Compute the candidates of one database from all members."""
    database = ranked.config.name
    for _, kept in ranked.best:
        if kept != ranked.config.owner:
            discard_from_set(index.by_member, kept, database)
    ranked.uses_all_members = not has_local_members(index, ranked)
    if ranked.uses_all_members:
        index.using_all_members.add(database)
    else:
        index.using_all_members.discard(database)
    scores = ((-compute_score(database, vm), vm) for vm in find_candidates(index, ranked))
    ranked.best = heapq.nsmallest(MAX_CANDIDATES, scores)
    ranked.position = index.count_additions()
    for _, best_vm in ranked.best:
        index.by_member.setdefault(best_vm, set()).add(database)
    refresh_names(index, ranked)


def refresh_names(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Update the list of names and the watched owner."""
    names = [entry[1] for entry in ranked.best]
    chosen = ranked.config.owner
    if chosen in index.place_of:
        others = [name for name in names if name != chosen]
        names = [chosen, *others]
    ranked.names = names
    is_successor = index.vm in names[1 : 1 + WATCHING_SUCCESSORS]
    watched = names[0] if is_successor and ranked.registered else ''
    if watched != ranked.watched:
        discard_from_set(index.watched, ranked.watched, ranked.config.name)
        ranked.watched = watched
        if watched:
            index.watched.setdefault(watched, set()).add(ranked.config.name)


def apply_additions(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Add the members that became eligible since the ranking was last used."""
    if ranked.position == index.count_additions():
        return
    added = index.list_additions(ranked.position)
    if added is None:
        rebuild_ranking(index, ranked)
        return
    ranked.position = index.count_additions()
    is_changed = False
    for vm in added:
        place = index.place_of.get(vm)
        if place in ranked.places and ranked.uses_all_members:
            rebuild_ranking(index, ranked)
            return
        if place in ranked.places or (place is not None and ranked.uses_all_members):
            is_changed = insert_score(index, ranked, vm) or is_changed
    if is_changed:
        refresh_names(index, ranked)
    ensure_enough_candidates(index, ranked)


def insert_score(index: RankingIndex, ranked: RankedDatabase, vm: str) -> bool:
    """Insert a VM if it ranks among the best candidates; return whether it was inserted."""
    best = ranked.best
    entry = (-compute_score(ranked.config.name, vm), vm)
    if best and entry > best[-1]:
        # After removals the list is complete only down to its last entry.
        is_shortened = count_candidates(index, ranked) - 1 > len(best)
        if is_shortened or len(best) >= MAX_CANDIDATES:
            return False
    if entry in best:
        return False
    bisect.insort(best, entry)
    index.by_member.setdefault(vm, set()).add(ranked.config.name)
    for _, dropped in best[MAX_CANDIDATES:]:
        if dropped != ranked.config.owner:
            discard_from_set(index.by_member, dropped, ranked.config.name)
    del best[MAX_CANDIDATES:]
    return True


def ensure_enough_candidates(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Recompute a ranking if too few candidates are left."""
    if len(ranked.best) < max(1, min(MIN_CANDIDATES, count_candidates(index, ranked))):
        rebuild_ranking(index, ranked)


def add_eligible(index: RankingIndex, vm: str, place: str) -> set[str]:
    """Make a VM eligible; return the databases whose owner may have changed for this daemon.

    Only the rankings that concern this daemon are updated; the others follow when they are used.
    """
    if index.place_of.get(vm) == place:
        return set()
    affected = remove_eligible(index, vm)
    index.place_of[vm] = place
    index.eligible.setdefault(place, set()).add(vm)
    index.record_addition(vm)
    affected.update(index.owned, index.using_all_members, index.by_member.get(vm, ()))
    affected.update(*index.watched.values())
    if vm == index.vm:
        affected.update(index.by_place.get(place, ()))
    update_rankings(index, affected)
    return affected


def remove_eligible(index: RankingIndex, vm: str) -> set[str]:
    """Make a VM ineligible; return the databases whose owner may have changed."""
    place = index.place_of.pop(vm, None)
    if place is None:
        return set()
    discard_from_set(index.eligible, place, vm)
    affected = set(index.by_member.get(vm, ()))
    for database in affected:
        remove_candidate(index, index.databases[database], vm)
    if place not in index.eligible:
        # All members may now compete for the databases of a place without eligible members.
        affected.update(index.by_place.get(place, ()))
    update_rankings(index, affected)
    return affected


def remove_candidate(index: RankingIndex, ranked: RankedDatabase, vm: str) -> None:
    """Remove a VM from the kept candidates of one ranking."""
    ranked.best = [entry for entry in ranked.best if entry[1] != vm]
    if vm != ranked.config.owner:
        discard_from_set(index.by_member, vm, ranked.config.name)


def update_rankings(index: RankingIndex, databases: Iterable[str]) -> None:
    """Update the rankings of some databases."""
    for database in databases:
        ranked = index.databases.get(database)
        if ranked is not None:
            apply_additions(index, ranked)
            ensure_enough_candidates(index, ranked)
            refresh_names(index, ranked)


def find_config_watchers(membership: 'MembershipState', place: str) -> list[str]:
    """Return the VMs of a place that watch the configuration in the store."""
    members = membership.ranking.eligible.get(place, ())
    scores = ((-compute_score(f'watch/{place}', vm), vm) for vm in members)
    return [vm for _, vm in heapq.nsmallest(CONFIG_WATCHERS, scores)]


def list_watched_owners(membership: 'MembershipState') -> list[str]:
    """Return the owners that this daemon pings as one of their successors."""
    return sorted(membership.ranking.watched)
