import http.client
import json
import socket
import ssl

import pytest
from conftest import write_certificate

from cassiaseam.errors import RESPONSES, ErrorKind

DRAIN = {'kind': 'drain_target', 'database': 'orders', 'target': 't1'}
GRANT = {'kind': 'grant', 'database': 'orders', 'service': 'desk'}


def call(port, method, path, token='administrator', body=None, headers=None):
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=20)
    headers = dict(headers or {})
    if token:
        headers['Authorization'] = f'Bearer {token}'
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    connection.request(method, path, body=body, headers=headers)
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, content


def call_json(*arguments, **options):
    status, content = call(*arguments, **options)
    return status, json.loads(content)


def check_refusal(answer, kind):
    status, document = answer
    assert document['error']['kind'] == kind.value
    assert status == RESPONSES[kind].http_status
    return document['error']['message']


@pytest.mark.parametrize(
    ('token', 'method', 'path', 'body'),
    [
        (None, 'GET', '/v1/status', None),
        (None, 'GET', '/metrics', None),
        ('unknown', 'GET', '/v1/plans', None),
        ('viewer', 'POST', '/v1/plans', DRAIN),
        ('viewer', 'POST', '/v1/plans/x/confirm', None),
        ('viewer', 'POST', '/v1/plans/x/cancel', None),
        ('operator', 'POST', '/v1/plans', GRANT),
        ('operator', 'POST', '/v1/plans', {**DRAIN, 'database': 'labels'}),
        ('operator', 'GET', '/v1/timeline?database=labels', None),
    ],
)
def test_missing_token_role_or_scope_is_refused(ports, token, method, path, body):
    answer = call_json(ports['vm-1'], method, path, token, body)
    check_refusal(answer, ErrorKind.ACCESS_DENIED)


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'kind'),
    [
        ('POST', '/v1/plans', '{', ErrorKind.BAD_REQUEST),
        ('POST', '/v1/plans', b'\xff\xfe', ErrorKind.BAD_REQUEST),
        ('POST', '/v1/plans', '[' * 100_000, ErrorKind.BAD_REQUEST),
        ('POST', '/v1/plans', '', ErrorKind.BAD_REQUEST),
        ('POST', '/v1/plans', {'kind': 'reboot'}, ErrorKind.BAD_REQUEST),
        ('POST', '/v1/plans', {**DRAIN, 'database': 'none'}, ErrorKind.UNKNOWN_DATABASE),
        ('POST', '/v1/plans', b'x' * ((1 << 20) + 1), ErrorKind.TOO_LARGE),
        ('POST', '/v1/plans/x/confirm', b'x' * (5 << 20), ErrorKind.TOO_LARGE),
        ('GET', '/v1/plans/none', None, ErrorKind.UNKNOWN_OBJECT),
        ('GET', '/v1/plans/..%2F..%2Fconfig', None, ErrorKind.UNKNOWN_OBJECT),
        ('GET', '/v1/nothing', None, ErrorKind.UNKNOWN_OBJECT),
        ('GET', '/v1/%ff', None, ErrorKind.BAD_REQUEST),
        ('DELETE', '/v1/status', None, ErrorKind.UNSUPPORTED),
        ('GET', '/v1/status?scope=everything', None, ErrorKind.BAD_REQUEST),
        ('GET', '/v1/timeline?since=yesterday', None, ErrorKind.BAD_REQUEST),
        ('GET', f'/v1/timeline?since={"9" * 400}s', None, ErrorKind.BAD_REQUEST),
        ('GET', '/v1/timeline?cursor=[1]', None, ErrorKind.BAD_REQUEST),
    ],
)
def test_malformed_or_oversized_request_is_a_json_error(ports, method, path, body, kind):
    message = check_refusal(call_json(ports['vm-1'], method, path, body=body), kind)
    assert 'Traceback' not in message


@pytest.mark.parametrize('path', ['/v1/plans', '/readyz', '/v1/status'])
def test_internal_error_exposes_no_details(ports, path):
    message = check_refusal(call_json(ports['vm-failing'], 'GET', path), ErrorKind.INTERNAL)
    assert message == 'the request failed; see the log'


def test_health_and_readiness_need_no_token(ports):
    assert call(ports['vm-1'], 'GET', '/healthz', token=None)[0] == 200
    assert call(ports['vm-1'], 'GET', '/readyz', token=None)[0] == 200
    status, document = call_json(ports['vm-2'], 'GET', '/readyz', token=None)
    assert (status, document['reasons']) == (503, ['drain: leaving'])


def test_status_shows_only_databases_in_scope_and_survives_a_failing_section(ports):
    _, seen = call_json(ports['vm-1'], 'GET', '/v1/status', 'operator')
    assert list(seen['databases']) == ['orders']
    assert seen['databases']['orders']['targets']['t1']['state'] == 'active'
    assert seen['failed_sections'] == ['broken']


def test_status_of_all_names_the_daemons_that_do_not_answer(ports):
    _, seen = call_json(ports['vm-1'], 'GET', '/v1/status?scope=all')
    assert sorted(seen['vms']) == ['vm-1', 'vm-2']
    assert list(seen['unreachable']) == ['vm-gone']


def test_timeline_of_all_is_merged_with_gaps_and_limited_to_the_scope(ports):
    path = '/v1/timeline?scope=all&since=2027-01-01T00:00:00Z'
    _, seen = call_json(ports['vm-1'], 'GET', path, 'operator')
    shown = [(it['vm'], it.get('kind') or it['reason']) for it in seen['entries']]
    assert shown == [('vm-1', 'promotion'), ('vm-2', 'promotion'), ('vm-gone', 'unreachable')]
    cursor = json.dumps(seen['cursor'], separators=(',', ':'))
    _, later = call_json(ports['vm-1'], 'GET', f'{path}&cursor={cursor}')
    assert [it['type'] for it in later['entries']] == ['gap']


def test_metrics_are_prometheus_text(ports):
    status, content = call(ports['vm-1'], 'GET', '/metrics', 'viewer')
    assert status == 200
    assert b'cassiaseam_up 1' in content


def test_plan_is_created_confirmed_once_and_shown(ports):
    status, plan = call_json(ports['vm-1'], 'POST', '/v1/plans', 'operator', DRAIN)
    assert (status, plan['state'], plan['operator']) == (201, 'pending', 'orders-team')
    confirm = f'/v1/plans/{plan["plan_id"]}/confirm'
    _, first = call_json(ports['vm-1'], 'POST', confirm, 'operator')
    _, second = call_json(ports['vm-2'], 'POST', confirm)
    assert (first['repeated'], second['repeated']) == (False, True)
    assert second['operator'] == 'orders-team'
    _, listed = call_json(ports['vm-2'], 'GET', '/v1/plans', 'viewer')
    assert plan['plan_id'] in [it['plan_id'] for it in listed['plans']]
    cancel = call_json(ports['vm-1'], 'POST', f'/v1/plans/{plan["plan_id"]}/cancel')
    assert 'confirmed by orders-team' in check_refusal(cancel, ErrorKind.VERSION_CONFLICT)


def test_operator_cannot_confirm_what_only_an_administrator_may_plan(ports):
    _, plan = call_json(ports['vm-1'], 'POST', '/v1/plans', body=GRANT)
    for action in ('confirm', 'cancel'):
        path = f'/v1/plans/{plan["plan_id"]}/{action}'
        answer = call_json(ports['vm-1'], 'POST', path, 'operator')
        check_refusal(answer, ErrorKind.ACCESS_DENIED)


def read_certificate(port):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    plain = socket.create_connection(('127.0.0.1', port), timeout=20)
    with context.wrap_socket(plain) as secured:
        return secured.getpeercert(binary_form=True)


def test_certificate_is_replaced_without_a_restart_and_a_broken_one_is_not_used(
    ports, certificate_folder
):
    first = read_certificate(ports['tls'])
    write_certificate(certificate_folder, 'second')
    second = read_certificate(ports['tls'])
    assert b'first' in first
    assert b'second' in second
    (certificate_folder / 'admin.pem').write_text('broken')
    assert read_certificate(ports['tls']) == second
