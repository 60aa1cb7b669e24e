import struct

import pytest
from pymysql.err import IntegrityError, InterfaceError, InternalError, OperationalError

from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure
from cassiaseam.targets.connection import ResultTooLarge
from cassiaseam.targets.failures import classify_error
from cassiaseam_standin.in_process_group import run_in_group, run_mode

Failure = StatementFailure
ERRORS = [
    (IntegrityError(1062, 'duplicate'), Failure.SQL_ERROR, 1062),
    (OperationalError(1290, 'read-only option'), Failure.READ_ONLY, 1290),
    (OperationalError(1792, 'read-only transaction'), Failure.READ_ONLY, 1792),
    (OperationalError(1053, 'shutdown'), Failure.LOST, 1053),
    (OperationalError(3169, 'killed'), Failure.LOST, 3169),
    (OperationalError(2013, 'lost'), Failure.LOST, 2013),
    (InternalError('Packet sequence number wrong'), Failure.LOST, 0),
    (InterfaceError("(0, 'Not connected')"), Failure.LOST, 0),
    (ConnectionResetError(104, 'reset'), Failure.LOST, 0),
    (struct.error('short packet'), Failure.LOST, 0),
    (AssertionError('protocol error'), Failure.LOST, 0),
    (ValueError('no number'), Failure.LOST, 0),
    (AttributeError("no attribute 'readexactly'"), Failure.LOST, 0),
    (TimeoutError(), Failure.TIMEOUT, 0),
    (ResultTooLarge('too large'), Failure.SQL_ERROR, 1153),
    (UnicodeEncodeError('utf-8', '\ud800', 0, 1, 'lone surrogate'), Failure.SQL_ERROR, 1300),
]


@pytest.mark.parametrize(('error', 'failure', 'code'), ERRORS)
def test_error_is_classified_as_the_matching_failure(error, failure, code):
    report = classify_error(error)
    assert (report.failure, report.mysql_code) == (failure, code)
    assert report.closes_connection is (failure in {Failure.LOST, Failure.TIMEOUT})


@pytest.mark.parametrize('error', [OperationalError(1053, 'shutdown'), ValueError('no number')])
def test_connection_is_closed_after_a_loss_that_the_library_does_not_detect(monkeypatch, error):
    async def scenario(group):
        connection = await group.connect('a', 'app')

        async def fail(command, sql):
            raise error

        monkeypatch.setattr(connection.protocol, '_execute_command', fail)
        assert (await run_mode(connection, ExecutionMode.READ, 'SELECT 1')).failure is Failure.LOST
        assert connection.is_closed

    run_in_group(scenario, names=('a',))
