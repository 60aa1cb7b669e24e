"""Guards against a checker that misses violations: each kind but `hanging` is injected."""

import pytest

from cassiaseam_load.checker import (
    VIOLATION_KINDS,
    SessionLedger,
    Violations,
    WriteJournal,
    check_read,
    check_rows,
)


def find_counts(violations: Violations) -> dict[str, int]:
    return {
        kind: getattr(violations, kind) for kind in VIOLATION_KINDS if getattr(violations, kind)
    }


@pytest.mark.parametrize(
    ('acknowledged', 'refused', 'unknown', 'rows', 'expected'),
    [
        ({'a/1'}, set(), set(), ['a/1'], {}),
        ({'a/1'}, set(), set(), [], {'lost_writes': 1}),
        ({'a/1'}, set(), set(), ['a/2'], {'lost_writes': 1}),
        ({'a/1'}, set(), set(), ['a/1', 'a/1'], {'doubled_writes': 1}),
        (set(), {'a/1'}, set(), ['a/1'], {'ran_refused': 1}),
        (set(), {'a/1'}, set(), [], {}),
        (set(), set(), {'a/1'}, ['a/1'], {}),
        (set(), set(), {'a/1'}, [], {}),
        (set(), set(), {'a/1'}, ['a/1', 'a/1'], {'doubled_writes': 1}),
        ({'a/1'}, {'a/2'}, set(), ['a/2', 'a/2'], {'lost_writes': 1, 'ran_refused': 1,
                                                   'doubled_writes': 1}),
    ],
)  # fmt: skip
def test_rows_that_contradict_outcomes_are_reported(
    acknowledged, refused, unknown, rows, expected
):
    violations = Violations()
    check_rows(WriteJournal(acknowledged, refused, unknown), rows, violations)
    assert find_counts(violations) == expected
    assert violations.count() == sum(expected.values())
    assert len(violations.examples) == violations.count()


@pytest.mark.parametrize(
    ('row', 'acknowledged', 'expected'),
    [
        (('a', 3), 3, {}),
        (('a', 4), 3, {}),
        (('a', None), 0, {}),
        (('a', 2), 3, {'stale_reads': 1}),
        (('a', None), 1, {'stale_reads': 1}),
        (('b', 3), 3, {'foreign_answers': 1}),
    ],
)
def test_stale_and_foreign_reads_are_reported(row, acknowledged, expected):
    violations = Violations()
    check_read(SessionLedger('a'), row, acknowledged, violations)
    assert find_counts(violations) == expected


def test_examples_contain_the_failing_values():
    violations = Violations()
    check_read(SessionLedger('a'), ('a', 2), 3, violations)
    check_rows(WriteJournal(acknowledged={'a/7'}), [], violations)
    assert violations.examples == [
        'session a read 2 after write 3',
        'acknowledged row a/7 is missing',
    ]
