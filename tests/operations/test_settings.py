from pathlib import Path

import pytest
import yaml

from cassiaseam.settings.loader import build_database_configs, load_settings, read_secrets
from cassiaseam.settings.units import parse_duration_s, parse_size_bytes

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'


def build_minimal_document():
    return {
        'vm': 'vm-1',
        'place': 'gyor-a',
        'region': 'nyugat',
        'listen': {'callers': '127.0.0.1:0', 'peers': '127.0.0.1:0', 'admin': '127.0.0.1:0'},
        'platform': {'url': 'http://127.0.0.1:8200'},
        'users': [{'name': 'till', 'password_file': 'till.password', 'databases': ['*']}],
        'tokens': [{'team': 'shop', 'role': 'viewer', 'token_file': 'shop.token'}],
    }


def write_settings(folder, document):
    (folder / 'till.password').write_text('s3cret-word\n')
    (folder / 'shop.token').write_text('t0ken-text\n')
    path = folder / 'vm.yaml'
    path.write_text(document if isinstance(document, str) else yaml.safe_dump(document))
    return path


def set_key(document, key, value):
    *parents, last = key.split('.')
    for parent in parents:
        document = document.setdefault(parent, {})
    document[last] = value


CALLER_TLS = {'certificate_file': 'shop.token', 'key_file': 'shop.token'}
TARGET = {'name': 't1', 'host': '10.0.0.1', 'port': 3306, 'place': 'a'}


@pytest.mark.parametrize(
    ('key', 'value', 'problem_key', 'expected'),
    [
        ('limits.deadline', 5, 'limits.deadline', 'a duration with a unit'),
        ('limits.deadline', '-5s', 'limits.deadline', 'a duration with a unit'),
        ('limits.deadline', '0s', 'limits.deadline', 'above zero'),
        ('limits.deadline', '90s', 'limits.deadline', 'at most 60s'),
        ('limits.statement_size', '1MB', 'limits.statement_size', 'a size with a unit'),
        ('tls.callers', CALLER_TLS, 'tls.callers', 'callers cannot use TLS yet'),
        ('limits.queue', 0, 'limits.queue', 'at least 1'),
        ('limits.sessions', 'many', 'limits.sessions', 'a whole number'),
        ('listen.admin', 'localhost:80', 'listen.admin', 'an IP number and a port'),
        ('listen.admin', '127.0.0.1:65536', 'listen.admin', 'an IP number and a port'),
        ('listen.peers', '0.0.0.0:7400', 'listen.peers', 'set advertise'),
        ('listen.extra', 1, 'listen.extra', 'no such key'),
        ('log_level', 'loud', 'log_level', "'warning'"),
        ('platform.url', 'ftp://x', 'platform.url', 'a URL such as'),
        ('vm', 'a b', 'vm', 'a name of letters'),
        ('users', 'till', 'users', 'a list'),
        ('users', [{'name': 'till'}], 'users[0].password_file', 'mandatory'),
        ('tokens', [{'team': 'a', 'role': 'root', 'token_file': 'x'}], 'tokens[0].role', 'viewer'),
        ('tls.peers', {'certificate_file': 'a', 'key_file': 'b'}, 'tls.peers.authority_file', 'm'),
        ('databases', {'d b': {'targets': [TARGET]}}, 'databases.d b', 'a name of letters'),
        ('databases', {'d': {'targets': []}}, 'databases.d.targets', 'at least 1 entries'),
        ('databases', {'d': {'targets': [TARGET] * 2}}, 'databases.d.targets', 'occurs once'),
        (
            'target_login',
            {'user': 'u', 'password_file': 'none'},
            'target_login.password_file',
            're',
        ),
    ],
)
def test_mistake_is_reported_with_key_and_expected_form(
    tmp_path, key, value, problem_key, expected
):
    document = build_minimal_document()
    set_key(document, key, value)
    problems = load_settings(write_settings(tmp_path, document)).unwrap_err()
    assert problem_key in [problem.key for problem in problems]
    assert any(expected in problem.expected for problem in problems)
    assert all(problem.file.endswith('vm.yaml') for problem in problems)


def test_all_mistakes_are_reported_at_once(tmp_path):
    document = build_minimal_document()
    del document['region']
    document['place'] = 7
    document['surprise'] = 1
    problems = load_settings(write_settings(tmp_path, document)).unwrap_err()
    assert sorted(problem.key for problem in problems) == ['place', 'region', 'surprise']


@pytest.mark.parametrize('text', ['', '[]', 'a: [', 'vm: a\nvm: b\n', '&a [*a]', '{1: 2}', '? []'])
def test_malformed_file_is_a_problem_and_not_an_exception(tmp_path, text):
    assert load_settings(write_settings(tmp_path, text)).is_err()


def test_missing_file_is_a_problem(tmp_path):
    (problem,) = load_settings(tmp_path / 'none.yaml').unwrap_err()
    assert 'FileNotFoundError' in str(problem)


def test_secrets_are_read_but_never_part_of_a_repr(tmp_path):
    settings = load_settings(write_settings(tmp_path, build_minimal_document())).unwrap()
    secrets = read_secrets(settings).unwrap()
    assert secrets.passwords == {'till': 's3cret-word'}
    assert secrets.tokens == ('t0ken-text',)
    assert 's3cret' not in repr((settings, secrets))
    assert 't0ken' not in repr((settings, secrets))


@pytest.mark.parametrize(('name', 'slots'), [('esoviz', 5), ('nyabugogo', 2)])
def test_example_matches_the_deployment_of_section_1_3(name, slots):
    settings = load_settings(EXAMPLES / f'{name}.yaml', check_files=False).unwrap()
    configs = build_database_configs(settings)
    assert [len(config.targets) for config in configs] == [3, 3, 3]
    targets = [target for config in configs for target in config.targets]
    assert {(target.slots, target.connections) for target in targets} == {(slots, 75)}
    assert settings.latency.between_regions == 0.008
    assert settings.latency.connection_open == 0.012


@pytest.mark.parametrize(
    ('text', 'seconds'), [('5s', 5), ('200ms', 0.2), ('1.5m', 90), ('1h', 3600)]
)
def test_duration_units(text, seconds):
    assert parse_duration_s(text) == pytest.approx(seconds)


@pytest.mark.parametrize('text', ['5', '5 s', '1e3s', 'inf', '', None, True, '٥s', '5s\n'])
def test_duration_without_a_clear_unit_is_refused(text):
    with pytest.raises(ValueError, match='a duration'):
        parse_duration_s(text)


def test_size_units():
    assert [parse_size_bytes(text) for text in ('3B', '2KiB', '1MiB')] == [3, 2048, 1 << 20]


@pytest.mark.parametrize(
    ('default', 'own', 'expected'), [(None, None, 256), (7, None, 7), (7, 9, 9), (None, 9, 9)]
)
def test_default_queue_limit_applies_to_databases_without_their_own(
    tmp_path, default, own, expected
):
    document = build_minimal_document()
    document['databases'] = {'orders': {'targets': [TARGET]}}
    if default is not None:
        set_key(document, 'limits.queue', default)
    if own is not None:
        set_key(document, 'databases.orders.queue_limit', own)
    settings = load_settings(write_settings(tmp_path, document)).unwrap()
    assert build_database_configs(settings)[0].queue_limit == expected
