"""Property test of reads: VMs learn of changes late while targets apply late and lose logs."""

import os

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_pooler_promises import (
    DURATIONS,
    FAULTS,
    LONG_DURATIONS,
    TARGETS,
    TIMES,
    VMS,
    Callers,
    check_promises,
    play,
)

from cassiaseam.pooler.commands import StatementKind

# Set POOLER_EXAMPLES=10000 to run more examples with a random seed.
EXAMPLES = int(os.environ.get('POOLER_EXAMPLES', '30'))
LATE_S = st.floats(0.1, 4.0)
LATE_FAULTS = st.one_of(
    st.tuples(st.just('apply_late'), TIMES, TARGETS, LATE_S, DURATIONS),
    st.tuples(st.just('delay_records'), TIMES, VMS, LATE_S, DURATIONS),
    st.tuples(st.just('cut_store'), TIMES, VMS, DURATIONS),
    st.tuples(st.just('cut_vm'), TIMES, VMS, TARGETS, DURATIONS),
    st.tuples(st.just('cut_targets'), TIMES, TARGETS, TARGETS, DURATIONS),
    st.tuples(st.just('split'), TIMES, VMS, TARGETS, LONG_DURATIONS),
    st.tuples(st.just('hide_handover'), TIMES, VMS, TARGETS, DURATIONS),
    FAULTS,
)


class TransactionCallers(Callers):
    """Callers whose transactions begin with a read or a write; those of one VM send rarely.

    A VM with many statements notices soon that it lost targets.
    """

    def schedule_next(self, call, database, own_writes):
        """Send the next statement of a session after a pause."""
        longest_s = 3.0 if call.vm == 'vm0' else 0.2
        pause_s = 0.02 + self.world.rng.random() * longest_s
        self.world.after(pause_s, lambda: self.step(call.vm, call.session, database, own_writes))

    def list_statements(self, value):
        """Return the kind and text of each statement of the next transaction."""
        write = (StatementKind.WRITE, value)
        read = (StatementKind.READ, '')
        order = len(self.world.history) % 3
        inner = ([read, write], [write, read], [write, read, read])[order]
        return [(StatementKind.BEGIN, ''), *inner, (StatementKind.COMMIT, '')]


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    derandomize='POOLER_EXAMPLES' not in os.environ,
)
@given(faults=st.lists(LATE_FAULTS, max_size=5), seed=st.integers(0, 10**6), shared=st.booleans())
def test_no_read_is_stale_while_vms_learn_of_changes_late(faults, seed, shared):
    world, callers = play(faults, seed, shared, TransactionCallers)
    check_promises(world, callers)


def test_read_is_not_stale_when_fences_end_out_of_reach():
    # t1 leads term 2 and reaches nobody. The promotion ended the fence of t2 all the same, so t0
    # and t2 acknowledge a write in term 1, while t1 and t0, which supports the newer term, confirm
    # a read at t1 that lacks it.
    faults = [
        ('cut_vm', 2.5821516359088474, 'vm0', 't0', 1.8),
        ('split', 3.6268086303594957, 'vm0', 't1', 5.569086343896123),
    ]
    world, callers = play(faults, 11010, shared=True, callers_class=TransactionCallers)
    check_promises(world, callers)
