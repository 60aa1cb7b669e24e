import http.server
import json
import threading

import pytest

from cassiaseam.cli.client import ApiClient
from cassiaseam.cli.decision_commands import find_daemons_behind
from cassiaseam.cli.exit_codes import ExitCode, find_exit_code
from cassiaseam.cli.main import run_command_line
from cassiaseam.errors import ErrorKind


@pytest.fixture
def run(ports, tmp_path, capsys, monkeypatch):
    """Run one command against the API of a VM; return exit code, stdout and stderr."""

    def run_one(*arguments, vm='vm-1', token='administrator'):
        (tmp_path / 'token').write_text(token)
        monkeypatch.setenv('CASSIASEAM_API', f'http://127.0.0.1:{ports[vm]}')
        monkeypatch.setenv('CASSIASEAM_TOKEN_FILE', str(tmp_path / 'token'))
        code = run_command_line(arguments)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_one


def create_plan(run, *arguments):
    code, out, err = run('plan', *arguments, '--output', 'json')
    assert code == ExitCode.DONE, err
    return json.loads(out)


@pytest.mark.parametrize(
    ('arguments', 'kind', 'field'),
    [
        (('accept-age', 'labels', 'desk', '2s'), 'accept_age', 'max_age[desk]'),
        (('accept-age', 'labels', 'till', 'none'), 'accept_age', 'max_age[till]'),
        (('drain', 'labels', 't2'), 'drain_target', 'state'),
        (('move-owner', 'labels', 'vm-2'), 'move_owner', 'owner'),
        (('set-limits', 'labels', '--queue-limit', '7'), 'set_limits', 'queue_limit'),
        (('set-limits', 'labels', '--target', 't1', '--slots', '3'), 'set_limits', 'slots'),
        (('remove-database', 'labels'), 'remove_database', 'database'),
        (('grant', 'labels', 'desk'), 'grant', 'granted'),
        (('add-database', 'n', '--target', 'a,10.0.0.1,3306,x'), 'add_database', 'target'),
    ],
)
def test_every_intent_kind_has_a_command(run, arguments, kind, field):
    plan = create_plan(run, *arguments)
    assert (plan['intent']['kind'], plan['changes'][0]['field']) == (kind, field)


def test_plan_table_shows_changes_costs_and_risks(run):
    code, out, _ = run('plan', 'drain', 'labels', 't2')
    assert code == ExitCode.DONE
    assert 'is pending' in out
    for shown in ('draining', '37 closed', 'open transactions on t2 end after 30s'):
        assert shown in out


def test_confirm_waits_and_names_daemons_that_do_not_answer(run):
    plan = create_plan(run, 'accept-age', 'orders', 'desk', '3s')
    code, out, _ = run('confirm', plan['plan_id'], '--wait')
    assert code == ExitCode.DONE
    assert 'confirmed by root-team' in out
    assert 'in force on every reachable daemon' in out
    assert 'vm-gone' in out
    code, out, _ = run('confirm', plan['plan_id'])
    assert (code, 'confirmed before by root-team' in out) == (ExitCode.DONE, True)


def test_confirm_names_daemons_that_are_behind(run):
    plan = create_plan(run, 'accept-age', 'orders', 'desk', '4s')
    arguments = ('confirm', plan['plan_id'], '--wait', '--wait-limit', '0s', '--output', 'json')
    code, out, _ = run(*arguments, vm='vm-behind')
    assert code == ExitCode.NOT_IN_FORCE
    assert json.loads(out)['behind'] == ['vm-behind']


def test_conflicting_confirmation_names_the_winner_and_exits_with_conflict(run):
    one = create_plan(run, 'accept-age', 'orders', 'desk', '5s')
    two = create_plan(run, 'accept-age', 'orders', 'desk', '6s')
    assert run('confirm', one['plan_id'])[0] == ExitCode.DONE
    code, _, err = run('confirm', two['plan_id'])
    assert code == ExitCode.CONFLICT
    assert 'kind=version_conflict ran=no' in err
    assert 'last by root-team at' in err


@pytest.mark.parametrize(('target', 'gap_is_expected'), [('t1', True), ('t2', False)])
def test_plan_made_on_another_daemon_uses_the_primary_of_the_owner(run, target, gap_is_expected):
    code, out, err = run('plan', 'drain', 'orders', target, vm='vm-behind')
    assert code == ExitCode.DONE, err
    assert ('t1 is the primary' in out) is gap_is_expected
    assert 'not known now' not in out


@pytest.mark.parametrize('command', ['status', 'timeline'])
@pytest.mark.parametrize(
    ('scope', 'asks_others'),
    [((), True), (('--scope', 'all'), True), (('--scope', 'local'), False), (('--local',), False)],
)
def test_scope_decides_whether_other_daemons_are_asked(run, command, scope, asks_others):
    code, out, err = run(command, *scope)
    assert code == ExitCode.DONE, err
    assert ('vm-gone' in out) is asks_others


def test_cancelled_plan_is_listed_and_cannot_be_confirmed(run):
    plan = create_plan(run, 'drain', 'orders', 't3')
    assert run('cancel', plan['plan_id'])[0] == ExitCode.DONE
    assert 'cancelled' in run('plans', plan['plan_id'])[1]
    assert plan['plan_id'] in run('plans')[1]
    assert run('confirm', plan['plan_id'])[0] == ExitCode.CONFLICT


@pytest.mark.parametrize(
    ('arguments', 'token', 'code'),
    [
        (('unknown',), 'administrator', ExitCode.USAGE),
        (('plan', 'drain', 'orders'), 'administrator', ExitCode.USAGE),
        (('status', '--output', 'xml'), 'administrator', ExitCode.USAGE),
        (('status', '--scope', 'some'), 'administrator', ExitCode.REFUSED),
        (('status', '--scope', 'all', '--local'), 'administrator', ExitCode.REFUSED),
        (('status', '--api', 'file:///etc/hostname'), 'administrator', ExitCode.REFUSED),
        (('status', '--api', 'http://127.0.0.1:1'), 'administrator', ExitCode.UNAVAILABLE),
        (('status', '--token-file', '/nonexistent'), 'administrator', ExitCode.REFUSED),
        (('status',), 'a\nb', ExitCode.REFUSED),
        (('status',), 'wrong', ExitCode.ACCESS_DENIED),
        (('plan', 'drain', 'orders', 't1'), 'viewer', ExitCode.ACCESS_DENIED),
        (('plan', 'drain', 'orders', 'tx'), 'operator', ExitCode.REFUSED),
        (('plan', 'set-limits', 'orders', '--slots', 'x'), 'operator', ExitCode.REFUSED),
        (('plan', 'add-database', 'n', '--target', 'a'), 'administrator', ExitCode.REFUSED),
        (('confirm', '../status'), 'administrator', ExitCode.REFUSED),
        (('timeline', '--for', '5'), 'administrator', ExitCode.REFUSED),
    ],
)
def test_errors_exit_with_the_documented_code(run, arguments, token, code):
    found, out, err = run(*arguments, token=token)
    assert (found, out) == (code, '')
    assert err


def test_status_lists_daemons_and_targets(run):
    code, out, _ = run('status')
    assert code == ExitCode.DONE
    for shown in ('vm-1', 'drain: leaving', 'vm-gone', 'orders', 't3'):
        assert shown in out
    code, out, _ = run('status', '--local', '--output', 'json')
    assert json.loads(out)['vm'] == 'vm-1'


def test_timeline_shows_text_json_lines_and_a_page(run, tmp_path):
    code, out, _ = run('timeline', '--database', 'orders')
    assert code == ExitCode.DONE
    assert 'vm-1  promotion  orders  term=4  <b>' in out
    assert 'vm-gone  GAP unreachable' in out
    lines = run('timeline', '--since', '2027-01-01', '--output', 'json')[1].splitlines()
    assert [json.loads(line)['type'] for line in lines] == ['record'] * 4 + ['gap']
    page = tmp_path / 'page.html'
    assert run('timeline', '--html', str(page))[0] == ExitCode.DONE
    assert '<th>vm-gone</th>' in page.read_text()


def test_follower_prints_each_record_once(run, monkeypatch):
    monkeypatch.setattr('cassiaseam.cli.view_commands.FOLLOW_PERIOD_S', 0.05)
    monkeypatch.setattr('cassiaseam.cli.view_commands.FOLLOW_PERIOD_PER_DAEMON_S', 0.05)
    code, out, _ = run('timeline', '--follow', '--for', '200ms', vm='vm-2')
    assert code == ExitCode.DONE
    assert out.count('promotion') == 1


def test_check_lists_every_mistake_without_an_api(tmp_path, capsys):
    file = tmp_path / 'vm.yaml'
    file.write_text('vm: 1\nplace: a\n')
    assert run_command_line(['check', str(file), '--output', 'json']) == ExitCode.INVALID_SETTINGS
    problems = json.loads(capsys.readouterr().out)['problems']
    assert {problem['key'] for problem in problems} == {'vm', 'region', 'listen', 'platform'}


def test_confirmation_is_retried_after_a_lost_response():
    calls = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            calls.append(self.path)
            self.rfile.read(int(self.headers['Content-Length']))
            if len(calls) == 1:
                self.close_connection = True
                return
            self.send_response(302 if len(calls) == 3 else 200)
            self.send_header('Location', '/elsewhere')
            self.end_headers()
            self.wfile.write(b'{"repeated": true}')

        def log_message(self, *arguments):
            return None

    from cassiaseam.cli.decision_commands import confirm_with_retries

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    client = ApiClient(f'http://127.0.0.1:{server.server_port}', 'token')
    assert confirm_with_retries(client, 'p').unwrap() == {'repeated': True}
    assert calls == ['/v1/plans/p/confirm'] * 2
    # Following a redirect could leak the token to another server.
    assert client.send('/v1/plans').unwrap_err().kind is ErrorKind.INTERNAL
    server.shutdown()
    server.server_close()


def test_daemon_without_the_section_counts_as_behind():
    status = {'vms': {'a': {'configuration': {'shards': {'3': 8}}}, 'b': {}}}
    assert find_daemons_behind(status, 3, 8) == ['b']
    assert find_daemons_behind(status, 3, 9) == ['a', 'b']


def test_unknown_outcome_and_conflict_have_distinct_exit_codes():
    codes = {kind: find_exit_code(kind) for kind in ErrorKind}
    assert codes[ErrorKind.OUTCOME_UNKNOWN] is ExitCode.OUTCOME_UNKNOWN
    assert codes[ErrorKind.PLAN_EXPIRED] is ExitCode.CONFLICT
    assert ExitCode.DONE not in codes.values()
