"""Sharing of quorum samples between the VMs of a place.

Load pattern: many VMs with few statements each. Every bounded read needs a sample that is younger
than its accepted age. A VM that serves a group once in a few seconds would poll a majority for
every single read, and hold connections to the targets for that. Instead it sends a sample request
to the VM that its place agrees on, which polls at most once per accepted age for all of them.

Load pattern: the targets are too busy to answer the VM that samples. The other VMs are told so.
They ask again at a bounded rate and do not poll the busy targets as well.

A sample remains valid in transit: the response carries the age of the sample at the time of the
response, and the response is sent after the request.
"""

import dataclasses

from cassiaseam.group.quorum import count_majority
from cassiaseam.group.samples import add_sample
from cassiaseam.group.state import QuorumSample
from cassiaseam.pooler import peers, routing, sampling
from cassiaseam.pooler.admission import poll_backoff, target_load
from cassiaseam.pooler.events import (
    AgedPosition,
    SampleReceived,
    SampleRequested,
    SendSample,
    SendSampleRequest,
)
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.peer_state import SampleRequest, SampleWaiter
from cassiaseam.pooler.state import GroupView, PoolerState, TargetState
from cassiaseam.pooler.target_use.causes import PollCause
from cassiaseam.reducer.registry import handles

# Covers a round trip within a place and a poll of targets in other regions, with headroom for a
# busy VM. After the timeout, the VM polls the targets itself.
SAMPLE_REQUEST_TIMEOUT_S = 0.06
# Seconds after which a VM is asked again that has answered that the targets are busy.
REPEAT_REQUEST_AFTER_S = 0.1
# Seconds for which a VM polls the targets itself after a request failed.
LOCAL_SAMPLING_S = 1.0
# Fractions of the accepted age: the age above which the latest sample is refreshed in the
# background while requests are still served from it, and the maximum age of the statuses that the
# refreshed sample may reuse.
REFRESH_AGE_RATIO = 0.8
REUSE_AGE_RATIO = 0.2


def obtain_sample(state: PoolerState, group: GroupView, since: float, now: float) -> list:
    """Obtain a sample as of `since` or later, from a peer or by polling the targets."""
    sample_request = group.sample_request
    if sample_request is not None and now < find_request_end(sample_request):
        return []
    peer = peers.choose_sampler(state, group.name, now)
    # A peer that has not polled a target before does not know that it lost its log.
    is_local = now < group.samples_locally_until or log_loss.count_lost_logs(group) > 0
    if peer is None or is_local:
        return sampling.poll_majority(state, group, since, PollCause.OWN_SAMPLE, now)
    nonce = state.rng.getrandbits(32)
    group.sample_request = SampleRequest(nonce, peer.record.vm, now)
    host, port = peer.record.host, peer.record.port
    loads = target_load.take_unsent_reports(state, group, now)
    max_age_s = max(now - since, 0)
    return [SendSampleRequest(host, port, nonce, group.name, max_age_s, loads, accepts_busy=True)]


def find_request_end(sample_request: SampleRequest) -> float:
    """Return the time until which no other request is sent and no targets are polled instead."""
    return sample_request.busy_until or sample_request.sent_at + SAMPLE_REQUEST_TIMEOUT_S


def refresh_sample(state: PoolerState, group: GroupView, max_age_s: float, now: float) -> list:
    """Refresh the sample before it is too old, so that later reads do not wait for a poll.

    Does nothing on a VM that requests its samples from a peer.
    """
    if peers.choose_sampler(state, group.name, now) is not None:
        return []
    if now - group.monitor.samples[-1].started_at < max_age_s * REFRESH_AGE_RATIO:
        return []
    since = now - max_age_s * REUSE_AGE_RATIO
    return sampling.poll_majority(state, group, since, PollCause.SAMPLE_REFRESH, now)


def poll_for_waiters(state: PoolerState, group: GroupView, now: float) -> list:
    """Poll again for the VMs that wait for a sample, after targets were too busy to answer.

    Otherwise these VMs would poll the busy targets themselves.
    """
    group.sample_waiters = [waiter for waiter in group.sample_waiters if now < waiter.until]
    if not group.sample_waiters:
        return []
    since = max(waiter.since for waiter in group.sample_waiters)
    return sampling.poll_majority(state, group, since, PollCause.PEER_SAMPLE, now)


def expire_sample_requests(state: PoolerState, group: GroupView, now: float) -> None:
    """Fall back to local sampling when the request timed out; a late response is still used.

    A VM that has answered that the targets are busy is asked again instead.
    """
    sample_request = group.sample_request
    if sample_request is None or sample_request.expired or now < find_request_end(sample_request):
        return
    sample_request.expired = True
    if sample_request.busy_until:
        return
    group.samples_locally_until = now + LOCAL_SAMPLING_S
    peer = state.peers.get(sample_request.vm)
    if peer is not None:
        peers.mark_unresponsive(peer, now)


@handles(SampleRequested)
def handle_sample_request(state: PoolerState, event: SampleRequested, now: float) -> list:
    """Answer a peer from the cached samples, or poll the targets for it first.

    A VM that does not know the group or cannot reach a majority of it does not respond, so that
    the peer polls the targets itself.
    """
    group = state.groups.get(event.group)
    if group is None or routing.is_majority_unreachable(group, now):
        return []
    target_load.merge_request(group, event.loads, now)
    since = now - event.max_age_s
    samples = group.monitor.samples
    waiter = SampleWaiter(
        event.host,
        event.port,
        event.nonce,
        since,
        now + SAMPLE_REQUEST_TIMEOUT_S,
        event.accepts_busy,
    )
    if not samples or samples[-1].started_at < since:
        group.sample_waiters.append(waiter)
        effects = sampling.poll_majority(state, group, since, PollCause.PEER_SAMPLE, now)
        return effects + report_busy_targets(group, now)
    response = build_sample_response(state, group, waiter, now)
    return [response, *refresh_sample(state, group, event.max_age_s, now)]


def answer_sample_waiters(state: PoolerState, group: GroupView, now: float) -> list:
    """Answer the waiters that a sample satisfies, and remove those that have timed out."""
    if not group.sample_waiters:
        return []
    samples = group.monitor.samples
    effects: list = []
    still_waiting = []
    for waiter in group.sample_waiters:
        if samples and samples[-1].started_at >= waiter.since:
            effects.append(build_sample_response(state, group, waiter, now))
        elif now < waiter.until:
            still_waiting.append(waiter)
    group.sample_waiters = still_waiting
    return effects + report_busy_targets(group, now)


def report_busy_targets(group: GroupView, now: float) -> list:
    """Tell the VMs that wait, once per request, that the targets are too busy to answer.

    They still wait for the sample until they ask again.
    """
    effects: list = []
    for index, waiter in enumerate(group.sample_waiters):
        if waiter.accepts_busy and are_targets_busy(group, waiter.since, now):
            group.sample_waiters[index] = dataclasses.replace(
                waiter, accepts_busy=False, until=now + REPEAT_REQUEST_AFTER_S
            )
            to = waiter.host, waiter.port, waiter.nonce
            effects.append(SendSample(*to, group.name, (), group.size, {}))
    return effects


def are_targets_busy(group: GroupView, since: float, now: float) -> bool:
    """Return whether a sample is missing only because targets are too busy to answer polls.

    A majority must have answered this VM, with a status or with BUSY. Otherwise it may be cut off,
    and its peers have to poll the targets themselves.
    """
    busy = {name for name, target in group.targets.items() if poll_backoff.is_busy(target, now)}
    answered = [name for name in group.targets if sampling.has_status_since(group, name, since)]
    return bool(busy) and len(busy.union(answered)) >= count_majority(group.monitor)


def build_sample_response(
    state: PoolerState, group: GroupView, waiter: SampleWaiter, now: float
) -> SendSample:
    """Return the response to a waiter.

    It contains the oldest valid sample, because replicas reach its position first, and the latest.
    """
    valid = [sample for sample in group.monitor.samples if sample.started_at >= waiter.since]
    chosen = valid[:1] if len(valid) == 1 else [valid[0], valid[-1]]
    positions = tuple(
        AgedPosition(now - sample.started_at, sample.position, sample.term) for sample in chosen
    )
    # A count that is only assumed, or older than the sample, would replace a newer one of the
    # other VM. A target that has refused a connection since then is full.
    in_use = {
        name: target.reported_connections
        for name, target in group.targets.items()
        if is_connection_count_known(target, chosen[-1].started_at)
    }
    loads = target_load.build_reports(state, group, now)
    return SendSample(
        waiter.host, waiter.port, waiter.nonce, group.name, positions, group.size, in_use, loads
    )


def is_connection_count_known(target: TargetState, since: float) -> bool:
    """Return whether the connection count of a target as of `since` or later is known."""
    return target.connections_known_at is not None and target.connections_known_at >= since


def apply_sample_response(
    state: PoolerState, group: GroupView, event: SampleReceived, now: float
) -> bool:
    """Store the samples of a peer and return whether they are usable.

    They are not usable when the peer takes majorities of fewer targets, or may count a target that
    this VM knows to have lost its log. A response without samples
    says that the targets are too busy to answer the peer; the request then stays open.
    """
    sample_request = group.sample_request
    if sample_request is None or sample_request.nonce != event.nonce:
        return False
    target_load.merge_response(group, event.loads, now)
    peer = state.peers.get(sample_request.vm)
    if peer is not None:
        peers.mark_responsive(peer)
    if not event.positions:
        sample_request.busy_until = now + REPEAT_REQUEST_AFTER_S
        sample_request.expired = False
        group.samples_locally_until = 0
        return False
    group.sample_request = None
    if event.group_size < group.size or log_loss.count_lost_logs(group):
        group.samples_locally_until = now + LOCAL_SAMPLING_S
        return False
    group.samples_locally_until = 0
    for aged in event.positions:
        # The response was sent after the request, so the sample started no earlier than this.
        started_at = sample_request.sent_at - aged.age_s
        add_sample(group.monitor, QuorumSample(started_at, aged.position, aged.term))
    known_at = sample_request.sent_at - event.positions[-1].age_s
    for name, target in group.targets.items():
        # A count that this VM got by itself since then is kept.
        if name in event.connections and not is_connection_count_known(target, known_at):
            target.reported_connections = event.connections[name]
            target.connections_known_at = known_at
    return True
