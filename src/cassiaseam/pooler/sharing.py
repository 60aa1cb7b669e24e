"""Samples that one VM takes for all VMs of its place.

Load pattern: many VMs with few statements each. Every bounded read needs a sample that is younger
than its accepted age. A VM that serves a group once in a few seconds would poll a majority for
every single read, and hold connections to the targets for that. Instead it asks the VM that its
place agrees on, which polls at most once per accepted age for all of them.

A sample stays valid on the way: the asked VM tells its age at the moment of the answer, and the
answer was given after the question was sent.
"""

from cassiaseam.group.samples import add_sample
from cassiaseam.group.state import QuorumSample
from cassiaseam.pooler import peers, routing, sampling
from cassiaseam.pooler.events import (
    AgedPosition,
    AskSample,
    OfferSample,
    SampleAsked,
    SampleOffered,
)
from cassiaseam.pooler.peer_state import SampleQuestion, WaitingVm
from cassiaseam.pooler.state import GroupView, PoolerState
from cassiaseam.reducer.registry import handles

# Seconds after which a VM takes the sample itself: two ways inside a place and a poll of targets
# in other regions, with room for a busy VM.
ANSWER_LIMIT_S = 0.06
# Seconds for which it goes on to sample the group itself after that.
ALONE_S = 1.0
# Age of the latest sample, as a part of the accepted age, above which it is renewed while the
# question is answered from it, and the age of statuses that the new sample may be made of.
REFRESH_SHARE = 0.8
REUSE_SHARE = 0.2


def obtain_sample(state: PoolerState, group: GroupView, since: float, now: float) -> list:
    """Make sure that a sample as of `since` or later becomes known."""
    question = group.question
    if question is not None and now - question.sent_at < ANSWER_LIMIT_S:
        return []
    peer = peers.choose_sampler(state, group.name, now)
    if peer is None or now < group.samples_alone_until:
        return sampling.poll_sample(state, group, since, now)
    nonce = state.rng.getrandbits(32)
    group.question = SampleQuestion(nonce, peer.record.vm, now)
    host, port = peer.record.host, peer.record.port
    return [AskSample(host, port, nonce, group.name, max(now - since, 0))]


def renew_sample(state: PoolerState, group: GroupView, max_age_s: float, now: float) -> list:
    """Take the next sample early, so that later reads need not wait for it.

    A VM that asks another one leaves this to it.
    """
    if peers.choose_sampler(state, group.name, now) is not None:
        return []
    if now - group.monitor.samples[-1].started_at < max_age_s * REFRESH_SHARE:
        return []
    return sampling.poll_sample(state, group, now - max_age_s * REUSE_SHARE, now)


def expire_questions(state: PoolerState, group: GroupView, now: float) -> None:
    """Forget VMs that wait no longer, and go on alone when the asked VM does not answer.

    A late answer is still used.
    """
    group.waiting_vms = [waiting for waiting in group.waiting_vms if now < waiting.until]
    question = group.question
    if question is None or question.expired or now - question.sent_at < ANSWER_LIMIT_S:
        return
    question.expired = True
    group.samples_alone_until = now + ALONE_S
    peer = state.peers.get(question.vm)
    if peer is not None:
        peers.note_silent(peer, now)


@handles(SampleAsked)
def answer_question(state: PoolerState, event: SampleAsked, now: float) -> list:
    """Answer another VM from the samples at hand, or poll the targets for it first.

    A VM that knows nothing of the group or is cut off from it stays silent, so that the other one
    polls the targets itself.
    """
    group = state.groups.get(event.group)
    if group is None or routing.is_majority_unreachable(group, now):
        return []
    since = now - event.max_age_s
    samples = group.monitor.samples
    waiting = WaitingVm(event.host, event.port, event.nonce, since, now + ANSWER_LIMIT_S)
    if not samples or samples[-1].started_at < since:
        group.waiting_vms.append(waiting)
        return sampling.poll_sample(state, group, since, now)
    offer = build_offer(group, waiting, now)
    return [offer, *renew_sample(state, group, event.max_age_s, now)]


def answer_waiting_vms(group: GroupView, now: float) -> list:
    """Answer the VMs whose sample has been taken, and forget those that have gone on alone."""
    if not group.waiting_vms:
        return []
    samples = group.monitor.samples
    effects: list = []
    still_waiting = []
    for waiting in group.waiting_vms:
        if samples and samples[-1].started_at >= waiting.since:
            effects.append(build_offer(group, waiting, now))
        elif now < waiting.until:
            still_waiting.append(waiting)
    group.waiting_vms = still_waiting
    return effects


def build_offer(group: GroupView, waiting: WaitingVm, now: float) -> OfferSample:
    """Return the answer: the oldest valid sample, which replicas hold soonest, and the latest."""
    valid = [sample for sample in group.monitor.samples if sample.started_at >= waiting.since]
    chosen = valid[:1] if len(valid) == 1 else [valid[0], valid[-1]]
    positions = tuple(
        AgedPosition(now - sample.started_at, sample.position, sample.term) for sample in chosen
    )
    in_use = {name: target.reported_connections for name, target in group.targets.items()}
    return OfferSample(
        waiting.host, waiting.port, waiting.nonce, group.name, positions, group.size, in_use
    )


def take_offer(state: PoolerState, group: GroupView, event: SampleOffered, now: float) -> bool:
    """Take over the samples of another VM and return whether they are usable.

    They are not when the other VM counts majorities over fewer targets.
    """
    question = group.question
    if question is None or question.nonce != event.nonce:
        return False
    group.question = None
    peer = state.peers.get(question.vm)
    if peer is not None:
        peers.note_answer(peer)
    if event.group_size < group.size:
        group.samples_alone_until = now + ALONE_S
        return False
    group.samples_alone_until = 0
    for aged in event.positions:
        # The answer was given after the question was sent, so the sample is no older than this.
        started_at = question.sent_at - aged.age_s
        add_sample(group.monitor, QuorumSample(started_at, aged.position, aged.term))
    for name, target in group.targets.items():
        target.reported_connections = event.connections.get(name, target.reported_connections)
    return True
