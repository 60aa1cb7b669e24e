"""`cassiaseam plan ...`: one subcommand per kind of intent."""

from typing import Any

from cleo.helpers import argument, option

from cassiaseam.cli.base import API_OPTIONS, ApiCommand, CommandFailed
from cassiaseam.cli.exit_codes import ExitCode
from cassiaseam.cli.plan_output import print_plan
from cassiaseam.errors import ErrorKind, RequestError

DATABASE = argument('database', 'Name of the database.')
TARGET = argument('target', 'Name of the target.')
SERVICE = argument('service', 'Login name of the service.')
NONE = 'none'
TARGET_PARTS = ('name', 'host', 'port', 'place', 'slots', 'connections')
TARGET_FORM = 'name,host,port,place[,slots[,connections]]'


class PlanCommand(ApiCommand):
    """Base class of the commands that create a plan for one intent."""

    kind = ''

    def run_command(self) -> int:
        """Create the plan and print it."""
        given = {'kind': self.kind, 'database': self.argument('database'), **self.read_intent()}
        client = self.open_client()
        print_plan(self, self.require(client.send('/v1/plans', given)))
        return ExitCode.DONE

    def read_intent(self) -> dict[str, Any]:
        """Return the fields of the intent other than kind and database."""
        return {}

    def read_number(self, name: str) -> int | None:
        """Return an option as an integer, or None if it is not given."""
        text = self.option(name)
        return None if text is None else parse_number(f'--{name}', text)


def parse_number(name: str, text: str) -> int:
    """Parse an integer; ends the command if it is malformed."""
    if text.isascii() and text.isdecimal() and len(text) < 10:
        return int(text)
    message = f'{name} is a whole number, not {text!r}'
    raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message))


class PlanAcceptAge(PlanCommand):
    """Command `cassiaseam plan accept-age`."""

    name = 'plan accept-age'
    description = 'Plan that a service may read data up to an age.'
    kind = 'accept_age'
    arguments = [DATABASE, SERVICE, argument('age', 'Duration such as 5s, or none.')]

    def read_intent(self) -> dict[str, Any]:
        """Return the service and the age."""
        age = self.argument('age')
        max_age = None if age == NONE else age
        return {'service': self.argument('service'), 'max_age': max_age}


class PlanDrain(PlanCommand):
    """Command `cassiaseam plan drain`."""

    name = 'plan drain'
    description = 'Plan that a target receives no new work.'
    kind = 'drain_target'
    arguments = [DATABASE, TARGET]

    def read_intent(self) -> dict[str, Any]:
        """Return the target."""
        return {'target': self.argument('target')}


class PlanUndrain(PlanDrain):
    """Command `cassiaseam plan undrain`."""

    name = 'plan undrain'
    description = 'Plan that a drained target receives work again.'
    kind = 'undrain_target'


class PlanMoveOwner(PlanCommand):
    """Command `cassiaseam plan move-owner`."""

    name = 'plan move-owner'
    description = 'Plan that a VM owns a database while it is alive.'
    kind = 'move_owner'
    arguments = [DATABASE, argument('vm', 'Name of the VM, or none for the ranked owner.')]

    def read_intent(self) -> dict[str, Any]:
        """Return the owner."""
        vm = self.argument('vm')
        return {'owner': None if vm == NONE else vm}


class PlanSetLimits(PlanCommand):
    """Command `cassiaseam plan set-limits`."""

    name = 'plan set-limits'
    description = 'Plan new limits of a database or of one target.'
    kind = 'set_limits'
    arguments = [DATABASE]
    options = [
        *API_OPTIONS,
        option('queue-limit', None, 'Waiting reads, and waiting writes.', flag=False),
        option('drain-limit', None, 'Time for open transactions, such as 30s.', flag=False),
        option('target', None, 'Target for --slots and --connections.', flag=False),
        option('slots', None, 'Statements that the target runs at a time.', flag=False),
        option('connections', None, 'Connections that the target accepts.', flag=False),
    ]

    def read_intent(self) -> dict[str, Any]:
        """Return the limits."""
        return {
            'queue_limit': self.read_number('queue-limit'),
            'drain_limit': self.option('drain-limit'),
            'target': self.option('target'),
            'slots': self.read_number('slots'),
            'connections': self.read_number('connections'),
        }


class PlanAddDatabase(PlanCommand):
    """Command `cassiaseam plan add-database`."""

    name = 'plan add-database'
    description = 'Plan a new database group.'
    kind = 'add_database'
    arguments = [DATABASE]
    options = [
        *API_OPTIONS,
        option('target', None, f'{TARGET_FORM}; may repeat.', flag=False, multiple=True),
        option('grant', None, 'Service that may use it; may repeat.', flag=False, multiple=True),
    ]

    def read_intent(self) -> dict[str, Any]:
        """Return the targets and grants."""
        targets = [parse_target(text) for text in self.option('target')]
        return {'targets': targets, 'granted': list(self.option('grant'))}


def parse_target(text: str) -> dict[str, Any]:
    """Parse a target into a JSON object; ends the command if it is malformed."""
    parts = text.split(',')
    if not 4 <= len(parts) <= len(TARGET_PARTS):
        message = f'--target is {TARGET_FORM}, not {text!r}'
        raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message))
    target = dict(zip(TARGET_PARTS, parts, strict=False))
    numbers = {'port', 'slots', 'connections'} & set(target)
    return {**target, **{name: parse_number(name, target[name]) for name in numbers}}


class PlanRemoveDatabase(PlanCommand):
    """Command `cassiaseam plan remove-database`."""

    name = 'plan remove-database'
    description = 'Plan that a database group is no longer served.'
    kind = 'remove_database'
    arguments = [DATABASE]


class PlanGrant(PlanCommand):
    """Command `cassiaseam plan grant`."""

    name = 'plan grant'
    description = 'Plan that a service may use a database.'
    kind = 'grant'
    arguments = [DATABASE, SERVICE]

    def read_intent(self) -> dict[str, Any]:
        """Return the service."""
        return {'service': self.argument('service')}


class PlanRevoke(PlanGrant):
    """Command `cassiaseam plan revoke`."""

    name = 'plan revoke'
    description = 'Plan that a service may no longer use a database.'
    kind = 'revoke'


PLAN_COMMANDS = (
    PlanAcceptAge,
    PlanDrain,
    PlanUndrain,
    PlanMoveOwner,
    PlanSetLimits,
    PlanAddDatabase,
    PlanRemoveDatabase,
    PlanGrant,
    PlanRevoke,
)
