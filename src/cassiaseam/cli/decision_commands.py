"""`cassiaseam confirm`, `cancel` and `plans`."""

import time
from typing import Any
from urllib.parse import quote

from cleo.helpers import argument, option
from result import Result

from cassiaseam.cli.base import API_OPTIONS, ApiCommand, CommandFailed
from cassiaseam.cli.client import ApiClient
from cassiaseam.cli.exit_codes import ExitCode
from cassiaseam.cli.plan_output import print_plan, print_plans
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.settings.units import parse_duration_s

POLL_PERIOD_S = 0.2
CONFIRM_ATTEMPTS = 3
PLAN = argument('plan', 'Id of the plan.')


class Confirm(ApiCommand):
    """Command `cassiaseam confirm`."""

    name = 'confirm'
    description = 'Put a plan into force.'
    arguments = [PLAN]
    options = [
        *API_OPTIONS,
        option('wait', None, 'Wait until every reachable daemon has the change in force.'),
        option('wait-limit', None, 'Longest time to wait.', flag=False, default='10s'),
    ]

    def run_command(self) -> int:
        """Confirm the plan and, with --wait, wait until it is in force."""
        limit_s = self.read_wait_limit()
        client = self.open_client()
        done = self.require(confirm_with_retries(client, self.argument('plan')))
        progress = {'behind': [], 'unreachable': {}}
        if self.option('wait'):
            progress = self.wait_in_force(client, done, limit_s)
        if self.prints_json:
            self.print_json({**done, **progress, 'waited': self.option('wait')})
        else:
            self.print_outcome(done, progress)
        return ExitCode.NOT_IN_FORCE if progress['behind'] else ExitCode.DONE

    def read_wait_limit(self) -> float:
        """Return the maximum time to wait in seconds."""
        try:
            return parse_duration_s(self.option('wait-limit'))
        except ValueError as error:
            message = f'--wait-limit is {error}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message)) from error

    def wait_in_force(
        self, client: ApiClient, done: dict[str, Any], limit_s: float
    ) -> dict[str, Any]:
        """Poll all daemons until none is behind or the timeout expires."""
        ends_at = time.monotonic() + limit_s
        while True:
            status = self.require(client.read('/v1/status', scope='all'))
            behind = find_daemons_behind(status, done['shard'], done['shard_version'])
            if not behind or time.monotonic() >= ends_at:
                return {'behind': behind, 'unreachable': status['unreachable']}
            time.sleep(POLL_PERIOD_S)

    def print_outcome(self, done: dict[str, Any], progress: dict[str, Any]) -> None:
        """Print who confirmed the plan and which daemons do not have it in force."""
        before = ' before' if done['repeated'] else ''
        self.print_text(
            f'plan {done["plan"]} was confirmed{before} by {done["operator"]} at {done["at"]}'
        )
        self.print_text(f'shard {done["shard"]} version {done["shard_version"]}')
        if self.option('wait') and not progress['behind']:
            self.print_text('in force on every reachable daemon')
        rows = [(name, 'older version in force') for name in progress['behind']]
        rows.extend((name, why) for name, why in progress['unreachable'].items())
        self.print_table(('not known to have it', 'reason'), rows)


def confirm_with_retries(client: ApiClient, plan: str) -> Result[Any, RequestError]:
    """Confirm a plan; retries while the outcome is unknown, since the call is idempotent."""
    answer = client.send(f'/v1/plans/{quote(plan, safe="")}/confirm')
    for _ in range(CONFIRM_ATTEMPTS - 1):
        if answer.is_ok() or answer.unwrap_err().kind is not ErrorKind.OUTCOME_UNKNOWN:
            break
        answer = client.send(f'/v1/plans/{quote(plan, safe="")}/confirm')
    return answer


def find_daemons_behind(status: dict[str, Any], shard: int, version: int) -> list[str]:
    """Return the VMs that reported an older version of a shard."""
    behind = []
    for name, shown in sorted(status['vms'].items()):
        shards = shown.get('configuration', {}).get('shards', {})
        if shards.get(str(shard), 0) < version:
            behind.append(name)
    return behind


class Cancel(ApiCommand):
    """Command `cassiaseam cancel`."""

    name = 'cancel'
    description = 'Cancel a plan that is not in force.'
    arguments = [PLAN]

    def run_command(self) -> int:
        """Cancel the plan and print it."""
        plan = quote(self.argument('plan'), safe='')
        answer = self.open_client().send(f'/v1/plans/{plan}/cancel')
        print_plan(self, self.require(answer))
        return ExitCode.DONE


class Plans(ApiCommand):
    """Command `cassiaseam plans`."""

    name = 'plans'
    description = 'List the plans of the last two days, or show one.'
    arguments = [argument('plan', 'Id of the plan to show.', optional=True)]

    def run_command(self) -> int:
        """Print all recent plans or one plan."""
        client = self.open_client()
        plan = self.argument('plan')
        if plan:
            print_plan(self, self.require(client.read(f'/v1/plans/{quote(plan, safe="")}')))
        else:
            print_plans(self, self.require(client.read('/v1/plans'))['plans'])
        return ExitCode.DONE
