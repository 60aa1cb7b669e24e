import logging as standard_logging

import pytest

from cassiaseam.daemon.poll_refusals import PollRefusals
from cassiaseam.errors import ErrorKind, RequestError

DENIED = RequestError(ErrorKind.STATEMENT_FAILED, 'access denied', mysql_code=1045)
FULL = RequestError(ErrorKind.OVERLOADED, 'too many connections', mysql_code=1040)
NO_ANSWER = RequestError(ErrorKind.NO_TARGET, 'no answer')
REFUSED = 'event=target_poll_refused database=orders target=t1'
WORKS = 'event=target_poll_works_again database=orders target=t1'


@pytest.mark.parametrize(
    ('polls', 'lines'),
    [
        ([None, None], []),
        ([DENIED] * 50, [f'{REFUSED} code=1045 message="access denied"']),
        ([FULL, None, None], [f'{REFUSED} code=1040 message="too many connections"', WORKS]),
        (
            [DENIED, NO_ANSWER, DENIED, None],
            [f'{REFUSED} code=1045 message="access denied"', WORKS],
        ),
        ([NO_ANSWER, NO_ANSWER, None], []),
    ],
)
def test_start_and_end_of_refused_polls_are_logged_once(caplog, polls, lines):
    refusals = PollRefusals()
    with caplog.at_level(standard_logging.INFO, logger='absl'):
        for error in polls:
            refusals.record_poll_result(('orders', 't1'), error)
    assert [record.getMessage() for record in caplog.records] == lines
    warnings = [record for record in caplog.records if record.levelno == standard_logging.WARNING]
    assert len(warnings) == bool(lines)
