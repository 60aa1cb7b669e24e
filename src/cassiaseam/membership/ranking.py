"""Owners of databases by rendezvous hashing over the members that may own.

`RankingIndex` keeps the best candidates per database. A lost member touches only the databases
that keep it as a candidate. A new member touches at once only the databases that this daemon owns
or watches; other rankings take over the new members since their last use when they are used
again. Otherwise asking for a ranking costs a dict lookup.
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
# A ranking that lacks more additions than these is computed again.
MAX_ADDITIONS = 256
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
        position: Number of additions of the index that the ranking contains; negative before
            it is computed.
    """

    config: DatabaseConfig
    places: frozenset[str]
    registered: bool = False
    best: list[tuple[int, str]] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    uses_all: bool = False
    watched: str = ''
    position: int = -1


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
        additions: VMs in the order in which they became eligible, from `dropped_additions` on.
        dropped_additions: Number of older additions.
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
    additions: list[str] = field(default_factory=list)
    dropped_additions: int = 0

    def count_additions(self) -> int:
        """Return how many additions there were."""
        return self.dropped_additions + len(self.additions)

    def note_addition(self, vm: str) -> None:
        """Record that a VM became eligible."""
        if len(self.additions) >= MAX_ADDITIONS:
            self.dropped_additions += len(self.additions)
            self.additions.clear()
        self.additions.append(vm)

    def list_additions(self, position: int) -> list[str] | None:
        """Return the additions after a position, or None when they are no longer known."""
        if position < self.dropped_additions:
            return None
        return self.additions[position - self.dropped_additions :]


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
    catch_up(index, ranked)
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
    """Enter a database or replace its configuration.

    The ranking is computed now only if this daemon may be among the first.
    """
    remove_database(index, config.name)
    ranked = RankedDatabase(config, find_places(config), registered)
    index.databases[config.name] = ranked
    for place in ranked.places:
        index.by_place.setdefault(place, set()).add(config.name)
    if config.owner:
        index.by_member.setdefault(config.owner, set()).add(config.name)
    if config.owner or may_rank_self(index, ranked):
        rebuild_ranking(index, ranked)


def may_rank_self(index: RankingIndex, ranked: RankedDatabase) -> bool:
    """Return whether this daemon competes for a database."""
    is_near = index.place_of.get(index.vm) in ranked.places
    return is_near or not has_near_members(index, ranked)


def has_near_members(index: RankingIndex, ranked: RankedDatabase) -> bool:
    """Return whether a member may own a database that is in a place of its targets."""
    return any(index.eligible.get(place) for place in ranked.places)


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
    ranked.uses_all = not has_near_members(index, ranked)
    if ranked.uses_all:
        index.using_all.add(database)
    else:
        index.using_all.discard(database)
    scores = ((-compute_score(database, vm), vm) for vm in find_candidates(index, ranked))
    ranked.best = heapq.nsmallest(MAX_KEPT, scores)
    ranked.position = index.count_additions()
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


def catch_up(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Let the members compete that became eligible since the ranking was last used."""
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
        if place in ranked.places and ranked.uses_all:
            rebuild_ranking(index, ranked)
            return
        if place in ranked.places or (place is not None and ranked.uses_all):
            is_changed = insert_score(index, ranked, vm) or is_changed
    if is_changed:
        refresh_names(index, ranked)
    ensure_kept(index, ranked)


def insert_score(index: RankingIndex, ranked: RankedDatabase, vm: str) -> bool:
    """Insert a VM into the kept candidates if it is good enough."""
    best = ranked.best
    entry = (-compute_score(ranked.config.name, vm), vm)
    if best and entry > best[-1]:
        # A shortened list holds the best candidates only down to its last one.
        is_shortened = count_candidates(index, ranked) - 1 > len(best)
        if is_shortened or len(best) >= MAX_KEPT:
            return False
    if entry in best:
        return False
    bisect.insort(best, entry)
    index.by_member.setdefault(vm, set()).add(ranked.config.name)
    for _, dropped in best[MAX_KEPT:]:
        if dropped != ranked.config.owner:
            discard_member(index.by_member, dropped, ranked.config.name)
    del best[MAX_KEPT:]
    return True


def ensure_kept(index: RankingIndex, ranked: RankedDatabase) -> None:
    """Compute a ranking again when too few candidates are left."""
    if len(ranked.best) < max(1, min(MIN_KEPT, count_candidates(index, ranked))):
        rebuild_ranking(index, ranked)


def add_eligible(index: RankingIndex, vm: str, place: str) -> set[str]:
    """Let a VM compete; return the databases whose owner may have changed here.

    Only the rankings that matter to this daemon are brought up to date; the others follow when
    they are used.
    """
    if index.place_of.get(vm) == place:
        return set()
    concerned = remove_eligible(index, vm)
    index.place_of[vm] = place
    index.eligible.setdefault(place, set()).add(vm)
    index.note_addition(vm)
    concerned.update(index.owned, index.using_all, index.by_member.get(vm, ()))
    concerned.update(*index.watched.values())
    if vm == index.vm:
        concerned.update(index.by_place.get(place, ()))
    update_rankings(index, concerned)
    return concerned


def remove_eligible(index: RankingIndex, vm: str) -> set[str]:
    """Take a VM out of the competition; return the databases whose owner may have changed."""
    place = index.place_of.pop(vm, None)
    if place is None:
        return set()
    discard_member(index.eligible, place, vm)
    concerned = set(index.by_member.get(vm, ()))
    for database in concerned:
        drop_candidate(index, index.databases[database], vm)
    if place not in index.eligible:
        # Databases of an empty place may now be open to all members.
        concerned.update(index.by_place.get(place, ()))
    update_rankings(index, concerned)
    return concerned


def drop_candidate(index: RankingIndex, ranked: RankedDatabase, vm: str) -> None:
    """Take a VM out of the kept candidates of one ranking."""
    ranked.best = [entry for entry in ranked.best if entry[1] != vm]
    if vm != ranked.config.owner:
        discard_member(index.by_member, vm, ranked.config.name)


def update_rankings(index: RankingIndex, databases: Iterable[str]) -> None:
    """Bring some rankings up to date."""
    for database in databases:
        ranked = index.databases.get(database)
        if ranked is not None:
            catch_up(index, ranked)
            ensure_kept(index, ranked)
            refresh_names(index, ranked)


def find_config_watchers(membership: 'MembershipState', place: str) -> list[str]:
    """Return the VMs of a place that watch the configuration in the store."""
    members = membership.ranking.eligible.get(place, ())
    scores = ((-compute_score(f'watch/{place}', vm), vm) for vm in members)
    return [vm for _, vm in heapq.nsmallest(CONFIG_WATCHERS, scores)]


def list_watched_owners(membership: 'MembershipState') -> list[str]:
    """Return the owners that this daemon pings because it would replace them."""
    return sorted(membership.ranking.watched)
