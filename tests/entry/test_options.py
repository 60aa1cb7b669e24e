import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.entry.options import parse_duration, parse_leading_comment, validate_options

names = st.sampled_from(['max_age', 'deadline', 'key', 'token'])
plain = st.text('abcXYZ019._-:', min_size=1)


@pytest.mark.parametrize(
    ('text', 'seconds'), [('5s', 5), ('200ms', 0.2), ('1.5 s', None), ('2min', 120), ('0s', 0)]
)
def test_duration_requires_a_unit(text, seconds):
    assert parse_duration(text).ok() == seconds


@pytest.mark.parametrize('text', ['', '5', '-1s', '2h', '1e3s', 's', '5 days', '٣s'])
def test_invalid_duration_is_rejected(text):
    assert parse_duration(text).is_err()


@settings(derandomize=True)
@given(st.dictionaries(names, plain))
def test_options_survive_the_comment(options):
    text = ', '.join(f'{name}={value}' for name, value in options.items())
    assert parse_leading_comment(f'/* cassiaseam: {text} */ SELECT 1').unwrap() == options


@settings(derandomize=True)
@given(st.text())
def test_any_comment_gives_options_or_an_error(text):
    parsed = parse_leading_comment(f'/* cassiaseam: {text} */ SELECT 1')
    assert parsed.is_err() or isinstance(parsed.ok(), dict)


@pytest.mark.parametrize(
    'options',
    [
        {'max_age': '5'},
        {'deadline': '0s'},
        {'repeatable': 'maybe'},
        {'key': ''},
        {'key': 'a b'},
        {'key': 'a' * 129},
        {'token': ''},
        {'colour': 'red'},
    ],
)
def test_invalid_option_is_rejected(options):
    assert validate_options(options).is_err()
