"""Decisions about the connections of client accounts to one target.

With more accounts per VM than connections that it may hold to a target, a connection of another
account is closed and one for the waiting account is opened instead. The new connection takes 12 ms
of a slot of the target and two round trips.
"""

from collections import Counter

from cassiaseam.pooler.accounts import usage
from cassiaseam.pooler.accounts.identity import ANONYMOUS
from cassiaseam.pooler.accounts.state import Usage, count_event
from cassiaseam.pooler.state import Connection, Job, PoolerState, Purpose, TargetState

# Seconds for which an account keeps a new connection while it has queued statements or while many
# connections are replaced. It bounds the part of the time that opening takes to a fifth.
MIN_HOLD_S = 0.06
# Recent replacements of connections to a target from which on all connections are kept for
# `MIN_HOLD_S`, and the time constant of their decay in seconds. With a hold in all cases, the 99th
# percentile of the time per statement in the virtual deployment was up to twice as high.
MANY_REPLACEMENTS = 4
REPLACEMENTS_WINDOW_S = 0.5
# Expected wait in seconds beyond which an account that has connections takes another one from an
# account that does not need it at present. Opening one takes about as long.
TAKE_OVER_WAIT_S = 0.04


def has_accounts(state: PoolerState) -> bool:
    """Return whether the configuration in force has client accounts."""
    return state.config is not None and state.config.accounts is not None


def is_idle(connection: Connection) -> bool:
    """Return whether a connection may take a job."""
    return (
        connection.ready
        and connection.job is None
        and not connection.pinned_to
        and not connection.closing
    )


def find_waiting_accounts(target: TargetState) -> dict[str, float]:
    """Return the accounts with queued statements, with the time of the oldest one."""
    waiting: dict[str, float] = {}
    for job in target.queue:
        if job.purpose is not Purpose.CONTROL and not job.cancelled:
            waiting[job.account] = min(waiting.get(job.account, job.created_at), job.created_at)
    return waiting


def count_connections(target: TargetState) -> Counter[str]:
    """Return the number of connections to a target per account."""
    return Counter(connection.account for connection in target.connections.values())


def count_available(target: TargetState) -> Counter[str]:
    """Return the number of connections per account that are being opened or idle.

    A connection is idle although its account has queued jobs while these may not start yet.
    """
    return Counter(it.account for it in target.connections.values() if not it.ready or is_idle(it))


def plan_handovers(
    state: PoolerState, target: TargetState, now: float
) -> list[tuple[Connection, str]]:
    """Return idle connections that are replaced for accounts that wait without any, oldest first.

    Load pattern: one account at several times its usual load. Its next statement is always queued
    when a connection becomes idle, so without a handover the other accounts would never get one.
    """
    if not has_accounts(state) or not target.queue:
        return []
    held = count_connections(target)
    waiting = find_waiting_accounts(target)
    starving = sorted((at, account) for account, at in waiting.items() if not held[account])
    idle = list_replaceable(state, target, waiting, now) if starving else []
    if not idle:
        return []
    rates = usage.estimate_rates(state, target, now)
    plan = []
    for _, account in starving:
        if not idle:
            break
        victim = choose_victim(idle, waiting, held, rates)
        idle.remove(victim)
        held[victim.account] -= 1
        plan.append((victim, account))
    return plan


def choose_victim(
    idle: list[Connection],
    waiting: dict[str, float],
    held: Counter[str],
    rates: Counter[str],
) -> Connection:
    """Return the connection that is missed the least.

    Accounts without queued statements come first, then those with the lowest rate per connection,
    then the connection that is idle for the longest time.
    """
    return min(
        idle,
        key=lambda it: (
            it.account in waiting,
            rates[it.account] / max(held[it.account], 1),
            it.idle_since,
        ),
    )


def may_replace(target: TargetState, now: float) -> bool:
    """Return whether a connection to a target may be replaced now.

    The connection that is closed makes room at a full target, so its backoff does not matter
    unless it has refused this VM twice in a row: other VMs are faster then.
    """
    makes_room = target.unreachable_since is None and target.full_refusals <= 1
    return makes_room or now >= target.connect_backoff_until


def record_replacement(state: PoolerState, target: TargetState, now: float) -> None:
    """Record that a connection to a target is replaced."""
    count_event(state.accounts.connections, 'replaced')
    recent = state.accounts.replacements.setdefault(target.record.name, Usage())
    usage.add_use(recent, now, REPLACEMENTS_WINDOW_S)


def list_replaceable(
    state: PoolerState, target: TargetState, waiting: dict[str, float], now: float
) -> list[Connection]:
    """Return the idle connections that may be replaced.

    A connection that has just become ready is idle until its first job. Without the hold, another
    waiting account would take it before that, and none would ever run a statement.
    """
    recent = state.accounts.replacements.get(target.record.name, Usage())
    is_contended = usage.decay_count(recent, now, REPLACEMENTS_WINDOW_S) >= MANY_REPLACEMENTS
    return [
        it
        for it in target.connections.values()
        if is_idle(it)
        and (now - it.ready_at >= MIN_HOLD_S or not (is_contended or it.account in waiting))
    ]


def find_replaceable(
    state: PoolerState, target: TargetState, account: str, now: float
) -> Connection | None:
    """Return the idle connection of another account to replace for a queued job, or None.

    An account that has connections gets another one only if its own are busy for longer than it
    takes to open one.
    """
    waiting = find_waiting_accounts(target)
    others = waiting.keys() | {account}
    idle = [it for it in list_replaceable(state, target, waiting, now) if it.account not in others]
    held = count_connections(target)
    if (
        not idle
        or held[account]
        and find_wait_s(target, account, held[account]) < TAKE_OVER_WAIT_S
    ):
        return None
    return choose_victim(idle, waiting, held, usage.estimate_rates(state, target, now))


def find_wait_s(target: TargetState, account: str, count: int) -> float:
    """Return the expected wait in seconds of the last queued job of an account."""
    queued = sum(job.account == account for job in target.queue)
    return queued * target.service_time_s / count


def is_served(state: PoolerState, job: Job, available: Counter[str]) -> bool:
    """Return whether a connection that is being opened or idle will serve a queued job.

    A control command takes one round trip on any connection, so it does not use one up.
    """
    if has_accounts(state) and job.purpose is Purpose.CONTROL:
        return any(available.values())
    if not available[job.account]:
        return False
    available[job.account] -= 1
    return True


def choose_account(state: PoolerState, target: TargetState, job: Job, now: float) -> str:
    """Return the account for the connection that is opened for a job.

    A control command belongs to no account, so its connection is opened for the account that is
    most likely to use it: one with a statement in progress, or the one with the highest rate.
    """
    if not has_accounts(state) or job.purpose is not Purpose.CONTROL:
        return job.account
    held = count_connections(target)
    names = {ANONYMOUS, *state.config.accounts.accounts}
    group = state.groups.get(target.record.group)
    for operation in group.operations if group is not None else ():
        session = state.sessions.get(operation.session_id)
        if session is not None and session.account in names and not held[session.account]:
            return session.account
    rates = usage.estimate_rates(state, target, now)
    return max(
        rates.keys() & names,
        key=lambda account: (rates[account] / (1 + held[account]), account),
        default=ANONYMOUS,
    )
