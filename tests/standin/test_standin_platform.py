import asyncio
import http.client
import json
import urllib.error
import urllib.request

import pytest

from cassiaseam_standin.group_launcher import start_platform

VM = {'place': 'gyor-a', 'host': '127.0.0.1', 'peer_port': 1, 'admin_port': 2, 'state': 'live'}
TIMEOUT_S = 10


class Platform:
    def __init__(self, port):
        self.port = port

    def call(self, method, path, body=None, version=None):
        headers = {} if version is None else {'If-Match': str(version)}
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = f'http://127.0.0.1:{self.port}{path}'
        request = urllib.request.Request(
            url, method=method, headers=headers, data=None if body is None else content
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read())
        except (OSError, http.client.HTTPException):
            return None, None

    async def call_later(self, *args):
        return await asyncio.to_thread(self.call, *args)


@pytest.fixture(scope='module')
def process():
    started = asyncio.run(start_platform())
    yield started
    started.kill()


@pytest.fixture
def platform(process):
    client = Platform(process.port)
    reset = {'down': False, 'delay_ms': 0, 'lose_next_write_answers': 0, 'vm_lag_ms': 0}
    yield client
    client.call('PUT', '/faults', reset)


def test_conditional_update_overwrites_another_version(platform):
    path = '/objects/groups/update'
    status, first = platform.call('PUT', path, {'term': 1}, 0)
    assert status == 200
    for wrong in (0, first['version'] + 1):
        status, answer = platform.call('PUT', path, {'term': 9}, wrong)
        assert (status, answer['version']) == (409, first['version'])
        assert answer['value'] == {'term': 1}
    status, second = platform.call('PUT', path, {'term': 2}, first['version'])
    assert (status, second['version'] > first['version']) == (200, True)
    stored = {'key': 'groups/update', 'version': second['version'], 'value': {'term': 2}}
    assert platform.call('GET', path) == (200, stored)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'version', 'status'),
    [
        ('GET', '/objects/missing', None, None, 404),
        ('PUT', '/objects/missing', {}, 5, 409),
        ('PUT', '/objects/bad', {}, None, 400),
        ('PUT', '/objects/bad', {}, 'x', 400),
        ('PUT', '/objects/bad', b'{', 0, 400),
        ('PUT', '/objects/bad', b'"' + b'x' * 1024 * 1024 + b'"', 0, 413),
        ('PUT', '/objects/', {}, 0, 400),
        ('GET', '/watch?after=x', None, None, 400),
        ('PUT', '/vms/x', {'place': 'gyor-a'}, None, 400),
        ('PUT', '/vms/x', [], None, 400),
        ('PUT', '/faults', {'unknown': 1}, None, 400),
        ('GET', '/nowhere', None, None, 404),
    ],
)
def test_bad_call_is_accepted(platform, method, path, body, version, status):
    assert platform.call(method, path, body, version)[0] == status


def test_quoted_key_is_another_object_than_the_plain_one(platform):
    assert platform.call('PUT', '/objects/groups%2Fa%20b', 1, 0)[0] == 200
    _, listed = platform.call('GET', '/objects?prefix=groups%2Fa')
    assert [stored['key'] for stored in listed['objects']] == ['groups/a b']


def test_watch_misses_a_write_or_returns_other_objects(platform):
    async def scenario():
        _, listed = platform.call('GET', '/objects?prefix=watched/')
        after = listed['revision']
        path = f'/watch?prefix=watched/&after={after}&timeout_ms=8000'
        waiting = asyncio.create_task(platform.call_later('GET', path))
        await asyncio.sleep(0.05)
        platform.call('PUT', '/objects/unwatched/a', 1, 0)
        _, written = platform.call('PUT', '/objects/watched/a', 2, 0)
        _, answer = await waiting
        expected = [{'key': 'watched/a', 'version': written['version'], 'value': 2}]
        assert answer['objects'] == expected
        assert platform.call('GET', path) == (200, answer)
        later = f'/watch?prefix=watched/&after={answer["revision"]}&timeout_ms=50'
        assert platform.call('GET', later)[1]['objects'] == []

    asyncio.run(scenario())


def test_lost_answer_means_a_lost_write(platform):
    platform.call('PUT', '/faults', {'lose_next_write_answers': 1})
    assert platform.call('PUT', '/objects/lost', 1, 7)[0] == 409
    assert platform.call('PUT', '/objects/lost', 1, 0) == (None, None)
    status, stored = platform.call('GET', '/objects/lost')
    assert (status, stored['value']) == (200, 1)
    assert platform.call('PUT', '/objects/lost', 2, stored['version'])[0] == 200


def test_platform_answers_while_it_is_down(platform):
    async def scenario():
        waiting = asyncio.create_task(platform.call_later('GET', '/watch?prefix=none/&after=0'))
        await asyncio.sleep(0.05)
        platform.call('PUT', '/faults', {'down': True})
        assert await waiting == (None, None)
        assert platform.call('PUT', '/objects/down', 1, 0) == (None, None)
        platform.call('PUT', '/faults', {'down': False})
        assert platform.call('GET', '/objects/down')[0] == 404

    asyncio.run(scenario())


def test_delayed_write_of_a_lost_client_is_not_applied(platform):
    platform.call('PUT', '/faults', {'delay_ms': 300})
    connection = http.client.HTTPConnection('127.0.0.1', platform.port)
    connection.request('PUT', '/objects/late', b'1', {'If-Match': '0'})
    connection.close()
    platform.call('PUT', '/faults', {'delay_ms': 0})
    path = '/watch?prefix=late&after=0&timeout_ms=8000'
    assert platform.call('GET', path)[1]['objects'][0]['value'] == 1


def test_vm_list_shows_changes_without_its_lag(platform):
    platform.call('PUT', '/vms/v1', VM)
    assert platform.call('GET', '/vms') == (200, [{**VM, 'name': 'v1'}])
    platform.call('PUT', '/faults', {'vm_lag_ms': 600_000})
    platform.call('PUT', '/vms/v1', {**VM, 'state': 'leaving'})
    assert platform.call('GET', '/vms') == (200, [])
    platform.call('PUT', '/faults', {'vm_lag_ms': 0})
    assert platform.call('GET', '/vms')[1][0]['state'] == 'leaving'
    platform.call('DELETE', '/vms/v1')
    assert platform.call('GET', '/vms') == (200, [])


def test_calls_are_not_counted(platform):
    _, before = platform.call('GET', '/counters')
    platform.call('GET', '/vms')
    platform.call('PUT', '/objects/counted', 1, 9)
    _, after = platform.call('GET', '/counters')
    changed = {name for name in after if after[name] != before.get(name, 0)}
    assert changed == {'GET vms', 'PUT objects', 'conflicts'}


def test_restore_loses_the_latest_writes_and_gives_their_revisions_out_again(platform):
    path = '/objects/groups/restored'
    _, first = platform.call('PUT', path, {'term': 1}, 0)
    _, second = platform.call('PUT', path, {'term': 2}, first['version'])
    assert platform.call('PUT', '/restore', {'writes': 1})[0] == 200
    assert platform.call('GET', path)[1]['value'] == {'term': 1}
    _, third = platform.call('PUT', path, {'term': 3}, first['version'])
    assert third['version'] == second['version']
