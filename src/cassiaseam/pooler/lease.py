"""The duty to promote, which one VM at a time holds.

It is held by a conditional write of a record in the store; the revision of that write is the
fencing token. A holder acts for `CLAIM_VALID_S` after it sent the claim; others take the duty over
when the record has not changed for `CLAIM_LIFETIME_S`, or as soon as it was released. A VM whose
successor has held the duty does not take it back for `RETURN_PAUSE_S`. One claim serves the
promotions of all groups of a VM, so that their calls never carry a lower token than earlier ones.
"""

from dataclasses import dataclass

from cassiaseam.pooler.events import (
    DutyRead,
    DutyRecord,
    DutyWritten,
    ReadDuty,
    WriteDuty,
    WriteLog,
    WriteOutcome,
)
from cassiaseam.pooler.state import PoolerState

# Seconds after sending its claim for which a holder acts: fences, demotes and sends calls.
CLAIM_VALID_S = 2.0
# Seconds after which an unchanged claim of another VM counts as abandoned. Beyond the time for
# which the holder acts, its last call may take 0.5 s to be delivered and the promotion 1.0 s to
# take effect.
CLAIM_LIFETIME_S = 3.5
# Seconds after sending its claim for which a holder lifts fences: a lifted fence has no term, its
# command may be resent for 3.0 s, and then other VMs may count on their own fences.
LIFT_LIMIT_S = 0.5
# Seconds after its own latest call for which a VM does not take the duty back from another VM. Two
# VMs that act in turn within the lifetime of a claim cannot be told from two holders.
RETURN_PAUSE_S = 3.0
# Seconds after which a read, a claim or a call without a result is not waited for any longer;
# above the time limits of these calls.
ASK_LIMIT_S = 3.0
# Seconds after it was decided for which a call without an answer may still reach the platform. Its
# connection ends before that, but an API that is slow may hold a call that it has received.
UNANSWERED_CALL_S = 3.0


@dataclass(frozen=True, slots=True)
class DutyStep:
    """What follows from news about the duty.

    Attributes:
        effects: Calls of the store.
        is_settled: Whether the promotions that wait for the duty go on or end.
        refusal: Why this VM does not get the duty, or '' when it holds it.
    """

    effects: tuple = ()
    is_settled: bool = False
    refusal: str = ''


def is_claim_valid(state: PoolerState, now: float) -> bool:
    """Return whether this VM holds the duty and may call the platform."""
    duty = state.duty
    return bool(duty.token) and now - duty.claimed_at <= CLAIM_VALID_S


def may_lift_fences(state: PoolerState, now: float) -> bool:
    """Return whether commands that lift fences arrive before another VM may act."""
    duty = state.duty
    return bool(duty.token) and now - duty.claimed_at <= LIFT_LIMIT_S


def request_duty(state: PoolerState, now: float) -> list:
    """Read the record unless a read or a claim is under way, or a call of an older token."""
    duty = state.duty
    if is_calling(state, now):
        return []
    if duty.asked_at is not None and now - duty.asked_at < ASK_LIMIT_S:
        return []
    duty.token = 0
    duty.nonce = ''
    duty.asked_at = now
    return [ReadDuty()]


def is_calling(state: PoolerState, now: float) -> bool:
    """Return whether a call of the platform under the present token may still arrive there."""
    duty = state.duty
    return now < duty.unanswered_until or (duty.calls > 0 and now - duty.called_at < ASK_LIMIT_S)


def take_record(state: PoolerState, event: DutyRead, now: float) -> DutyStep:
    """Decide by the record read: use or drop a claim without an answer, or claim the duty."""
    duty = state.duty
    if event.revision != duty.revision:
        duty.revision = event.revision
        duty.seen_at = now
    duty.record = event.record
    duty.asked_at = None
    if duty.token:
        return DutyStep()
    if duty.nonce:
        if event.record is not None and event.record.nonce == duty.nonce:
            return hold_duty(state, event.revision, now)
        return lose_claim(state, 'the claim was not written')
    if not is_duty_free(state, now):
        return lose_claim(state, 'another VM holds the duty')
    if was_replaced_lately(state, now):
        return lose_claim(state, 'another VM held the duty after this one')
    duty.nonce = name_claim(state)
    duty.lifted = False
    duty.claimed_at = now
    duty.asked_at = now
    record = DutyRecord(state.vm, duty.nonce, released=False)
    return DutyStep((WriteDuty(record, event.revision),))


def take_failed_read(state: PoolerState) -> DutyStep:
    """Give the claim up when the record cannot be read."""
    state.duty.asked_at = None
    if state.duty.token:
        return DutyStep()
    return lose_claim(state, 'the duty record cannot be read')


def take_written(state: PoolerState, event: DutyWritten, now: float) -> DutyStep:
    """Take the result of writing the record."""
    duty = state.duty
    if event.outcome is WriteOutcome.WRITTEN:
        duty.revision = event.revision
        duty.record = event.record
        duty.seen_at = now
    if duty.nonce != event.record.nonce or duty.token or event.record.released:
        return DutyStep()
    duty.asked_at = None
    if event.outcome is WriteOutcome.WRITTEN:
        return hold_duty(state, event.revision, now)
    if event.outcome is WriteOutcome.CONFLICT:
        return lose_claim(state, 'another VM claimed the duty')
    duty.asked_at = now
    return DutyStep((ReadDuty(),))


def note_call(state: PoolerState, now: float) -> float:
    """Remember a call of the platform, and return the time until which it may be sent."""
    duty = state.duty
    duty.calls += 1
    duty.called_at = now
    duty.acted_at = now
    return duty.claimed_at + CLAIM_VALID_S


def note_call_ended(state: PoolerState, may_arrive: bool, now: float) -> None:
    """Remember that a call was answered or given up; one without an answer may still arrive."""
    duty = state.duty
    duty.calls -= 1
    duty.acted_at = now
    if may_arrive:
        duty.unanswered_until = duty.called_at + UNANSWERED_CALL_S


def hold_duty(state: PoolerState, token: int, now: float) -> DutyStep:
    """Use the revision of the claim as the fencing token, unless the claim has expired."""
    if now - state.duty.claimed_at > CLAIM_VALID_S:
        return lose_claim(state, 'the claim expired before it was confirmed')
    state.duty.token = token
    took_ms = round((now - state.duty.claimed_at) * 1000)
    log = WriteLog('duty_claimed', {'fencing': token, 'took_ms': took_ms})
    return DutyStep((log,), is_settled=True)


def lose_claim(state: PoolerState, reason: str) -> DutyStep:
    """Drop a claim that did not succeed."""
    state.duty.nonce = ''
    return DutyStep(is_settled=True, refusal=reason)


def name_claim(state: PoolerState) -> str:
    """Return the nonce of a new claim."""
    duty = state.duty
    if not duty.process:
        duty.process = f'{state.rng.getrandbits(64):016x}'
    return f'{duty.process}-{state.rng.getrandbits(64):016x}'


def is_own_record(state: PoolerState, record: DutyRecord) -> bool:
    """Return whether this process wrote a record.

    The name of the VM does not tell: an earlier process of this VM may have sent a call that still
    arrives, and a VM that replaces another one may have its name.
    """
    process = state.duty.process
    return bool(process) and record.nonce.startswith(f'{process}-')


def is_duty_free(state: PoolerState, now: float) -> bool:
    """Return whether this VM may claim the duty."""
    record = state.duty.record
    if record is None or record.released or is_own_record(state, record):
        return True
    return now - state.duty.seen_at > CLAIM_LIFETIME_S


def was_replaced_lately(state: PoolerState, now: float) -> bool:
    """Return whether this VM called the platform lately and another one wrote the record since.

    All other VMs may act meanwhile.
    """
    duty = state.duty
    if duty.acted_at is None or duty.record is None or is_own_record(state, duty.record):
        return False
    return now - duty.acted_at <= RETURN_PAUSE_S


def release_duty(state: PoolerState, now: float) -> list:
    """Let another VM take the duty at once, unless something sent under it may still arrive."""
    duty = state.duty
    held = duty.token and duty.record is not None and is_own_record(state, duty.record)
    token = duty.token
    nonce = duty.nonce
    duty.token = 0
    duty.nonce = ''
    if not held or is_calling(state, now) or duty.lifted:
        return []
    log = WriteLog('duty_released', {'fencing': token})
    return [log, WriteDuty(DutyRecord(state.vm, nonce, released=True), duty.revision)]
