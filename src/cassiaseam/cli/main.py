"""Entry point of the `cassiaseam` command."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from cassiaseam.cli.check_command import Check
from cassiaseam.cli.decision_commands import Cancel, Confirm, Plans
from cassiaseam.cli.exit_codes import ExitCode
from cassiaseam.cli.plan_commands import PLAN_COMMANDS
from cassiaseam.cli.view_commands import Status, Timeline

VERSION = '0.1.0'


def build_application() -> Application:
    """Build the application with all commands."""
    application = Application('cassiaseam', VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in (*PLAN_COMMANDS, Confirm, Cancel, Plans, Status, Timeline, Check):
        application.add(command())
    return application


def run_command_line(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        return build_application().run(ArgvInput(['cassiaseam', *arguments]))
    except CleoError as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.USAGE


def main() -> None:
    """Run the command given by the arguments of this process and exit."""
    sys.exit(run_command_line(sys.argv[1:]))
