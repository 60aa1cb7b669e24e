import pytest

from cassiaseam.errors import RESPONSES, ErrorKind, RequestError, RunState


@pytest.mark.parametrize('kind', list(ErrorKind))
def test_every_error_kind_has_a_response(kind):
    row = RESPONSES[kind]
    assert len(row.sqlstate) == 5
    assert 400 <= row.http_status < 600


@pytest.mark.parametrize('kind', [kind for kind in ErrorKind if RESPONSES[kind].retryable])
def test_no_retryable_error_kind_may_have_run(kind):
    assert RESPONSES[kind].ran is RunState.NO


def test_error_text_shows_kind_run_state_and_retry_delay():
    error = RequestError(ErrorKind.OVERLOADED, 'queue holds 64 writes', retry_after_s=0.25)
    text = error.format_for_caller()
    assert text == 'kind=overloaded ran=no retry_after_ms=250 queue holds 64 writes'
