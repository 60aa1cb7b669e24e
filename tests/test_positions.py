import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaseam.positions import LogPosition, decode_session_token, encode_session_token

positions = st.builds(LogPosition, st.integers(0, 2**40), st.integers(0, 2**60))


@given(positions)
def test_session_token_round_trip(floor):
    token = encode_session_token('orders', floor)
    assert decode_session_token(token, 'orders').unwrap() == floor


@pytest.mark.parametrize(
    'token',
    ['', '!', 'AAAA', 'b3JkZXJzOjE6', encode_session_token('labels', LogPosition(1, 2))],
)
def test_malformed_token_or_token_of_another_database_is_rejected(token):
    assert decode_session_token(token, 'orders').is_err()


@pytest.mark.parametrize(
    ('applied', 'floor', 'expected'),
    [
        ((1, 5), (1, 5), True),
        ((1, 4), (1, 5), False),
        ((2, 6), (1, 5), True),
        ((2, 4), (1, 5), False),
        ((1, 9), (2, 5), False),
    ],
)
def test_stale_log_never_covers_a_floor(applied, floor, expected):
    assert LogPosition(*applied).covers(LogPosition(*floor)) is expected
