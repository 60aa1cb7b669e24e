"""What a VM tells the others about promotions, and what it does with what it is told.

A VM may acknowledge commits of a former primary with a target that restarted, or that the new
primary does not reach: such a target is fenced no more, and the VM may not have polled it while it
was. The VM that promotes therefore tells all others when it calls the platform. They acknowledge
no commit of an older term until they know the new primary or the promotion cannot take effect any
more. Fences of enough targets keep them from that anyway, unless one has ended.

The notice is no condition of the promotion: it is sent along with the call, several times, and a
VM that no notice reaches relies on the fences that it has seen itself
(`evidence.fence_history`).
"""

from cassiaseam.pooler import duty
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.evidence import fence_history
from cassiaseam.pooler.notices.events import FencesLifted, PromotionNotice, SendNotice
from cassiaseam.pooler.state import GroupView, PendingPromotion, PoolerState, Promotion
from cassiaseam.reducer.registry import handles

# Seconds between two notices of the same promotion; a datagram may be lost.
NOTICE_INTERVAL_S = 0.2


def announce_promotion(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Tell the other VMs of a promotion that relies on fences, unless they were told recently."""
    if promotion.announced_at is not None and now - promotion.announced_at < NOTICE_INTERVAL_S:
        return []
    promotion.announced_at = now
    notice = PromotionNotice(
        group.name,
        promotion.chosen,
        promotion.term,
        promotion.base_term,
        promotion.token,
        max(state.lease.claimed_at + duty.LEASE_TAKEOVER_S - now, 0),
    )
    apply_notice(group, notice, now)
    return send_notice(state, notice)


def announce_lift(state: PoolerState, group: GroupView, term: int) -> list:
    """Tell the other VMs that fences up to a term were lifted."""
    return send_notice(state, FencesLifted(group.name, term, state.lease.token))


def send_notice(state: PoolerState, notice: PromotionNotice | FencesLifted) -> list:
    """Send a notice to all known VMs, also to those that did not respond lately."""
    addresses = tuple((peer.record.host, peer.record.port) for peer in state.peers.values())
    return [SendNotice(notice, addresses)] if addresses else []


@handles(PromotionNotice)
def handle_promotion_notice(state: PoolerState, event: PromotionNotice, now: float) -> list:
    """Acknowledge no commit of an older term until the promotion is over."""
    group = state.groups.get(event.group)
    known = group.pending_promotion if group is not None else None
    is_outdated = known is not None and event.fencing_token < known.fencing_token
    if group is None or is_outdated:
        return []
    apply_notice(group, event, now)
    if known is not None and (known.fencing_token, known.target) == (
        event.fencing_token,
        event.target,
    ):
        return []
    fields = {
        'group': event.group,
        'target': event.target,
        'term': event.term,
        'fencing': event.fencing_token,
        'valid_ms': round(event.valid_s * 1000),
    }
    return [WriteLog('promotion_noticed', fields)]


@handles(FencesLifted)
def handle_lifted_fences(state: PoolerState, event: FencesLifted, now: float) -> list:
    """Count the targets again whose fences were lifted."""
    group = state.groups.get(event.group)
    if group is None:
        return []
    pending = group.pending_promotion
    # A VM lifts fences before it promotes under the same claim.
    if pending is not None and event.fencing_token <= pending.fencing_token:
        return []
    group.pending_promotion = None
    record_lift(group, event.term, now)
    fields = {'group': event.group, 'term': event.term, 'fencing': event.fencing_token}
    return [WriteLog('fence_lift_noticed', fields)]


def apply_notice(group: GroupView, notice: PromotionNotice, now: float) -> None:
    """Note a promotion that may take effect."""
    group.pending_promotion = PendingPromotion(
        notice.target, notice.term, notice.base_term, notice.fencing_token, now + notice.valid_s
    )


def record_lift(group: GroupView, term: int, now: float) -> None:
    """Note that the fences of a group up to a term were lifted."""
    for target in group.targets.values():
        fence_history.record_lift(target.fence, term, now)
