import logging as standard_logging

import pytest

from cassiaseam.daemon.poll_refusals import PollRefusals
from cassiaseam.errors import ErrorKind, RequestError

DENIED = RequestError(ErrorKind.STATEMENT_FAILED, 'access denied', mysql_code=1045)
FULL = RequestError(ErrorKind.OVERLOADED, 'too many connections', mysql_code=1040)
SILENT = RequestError(ErrorKind.NO_TARGET, 'no answer')
REFUSED = 'event=target_poll_refused database=orders target=t1'
WORKS = 'event=target_poll_works_again database=orders target=t1'


@pytest.mark.parametrize(
    ('polls', 'lines'),
    [
        ([None, None], []),
        ([DENIED] * 50, [f'{REFUSED} code=1045 message="access denied"']),
        ([FULL, None, None], [f'{REFUSED} code=1040 message="too many connections"', WORKS]),
        ([DENIED, SILENT, DENIED, None], [f'{REFUSED} code=1045 message="access denied"', WORKS]),
        ([SILENT, SILENT, None], []),
    ],
)
def test_refused_polls_are_logged_once_and_not_per_poll(caplog, polls, lines):
    refusals = PollRefusals()
    with caplog.at_level(standard_logging.INFO, logger='absl'):
        for error in polls:
            refusals.note_poll(('orders', 't1'), error)
    assert [record.getMessage() for record in caplog.records] == lines
    warnings = [it for it in caplog.records if it.levelno == standard_logging.WARNING]
    assert len(warnings) == bool(lines)
