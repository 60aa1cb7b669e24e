"""Base classes of the commands: options, output and error handling."""

import json
import os
from collections.abc import Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from cleo.io.outputs.output import Type

from cassiaseam.cli.client import ApiClient, read_token_file
from cassiaseam.cli.exit_codes import ExitCode, find_exit_code
from cassiaseam.errors import ErrorKind, RequestError

API_VARIABLE = 'CASSIASEAM_API'
TOKEN_VARIABLE = 'CASSIASEAM_TOKEN_FILE'
CA_VARIABLE = 'CASSIASEAM_CA_FILE'

OUTPUT_OPTION = option('output', None, 'Form of the output: table or json.', flag=False)
API_OPTIONS = [
    option('api', None, f'URL of the administration API [{API_VARIABLE}].', flag=False),
    option('token-file', None, f'File with the token [{TOKEN_VARIABLE}].', flag=False),
    option('ca-file', None, f'PEM file of the authority [{CA_VARIABLE}].', flag=False),
    OUTPUT_OPTION,
]
SCOPES = ('all', 'local')
SCOPE_OPTIONS = [
    option('scope', None, 'Daemons to ask: all or local.', flag=False),
    option('local', None, 'Only the daemon that is asked; same as --scope local.'),
]


class CommandFailed(Exception):
    """Ends a command with an error message.

    Attributes:
        error: The error to print.
    """

    def __init__(self, error: RequestError):
        super().__init__(error.message)
        self.error = error


class BaseCommand(Command):
    """Command that prints tables or JSON and maps errors to exit codes."""

    options = [OUTPUT_OPTION]

    def handle(self) -> int:
        """Run the command."""
        if self.option('output') not in {None, 'table', 'json'}:
            self.print_error(f'--output is table or json, not {self.option("output")!r}')
            return ExitCode.USAGE
        try:
            return self.run_command()
        except CommandFailed as failed:
            self.print_request_error(failed.error)
            return find_exit_code(failed.error.kind)
        except KeyboardInterrupt:
            return ExitCode.DONE

    def run_command(self) -> int:
        """Execute the command and return its exit code."""
        raise NotImplementedError

    @property
    def prints_json(self) -> bool:
        """Whether the output format is JSON."""
        return self.option('output') == 'json'

    def print_json(self, document: Any) -> None:
        """Print a value as one line of JSON."""
        self.print_text(json.dumps(document, ensure_ascii=False))

    def print_text(self, text: str) -> None:
        """Print a line without formatting."""
        self.io.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print a line to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def print_request_error(self, error: RequestError) -> None:
        """Print an error in the selected output format."""
        if self.prints_json:
            shown = {'kind': error.kind.value, 'message': error.message, 'ran': error.ran.value}
            self.print_error(json.dumps({'error': shown}))
        else:
            self.print_error(error.format_for_caller())

    def print_table(self, headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
        """Print a table, or nothing if it has no rows."""
        if rows:
            escaped = [[Formatter.escape(str(cell)) for cell in row] for row in rows]
            self.table(list(headers), escaped).render()


class ApiCommand(BaseCommand):
    """Command that calls the administration API."""

    options = API_OPTIONS

    def open_client(self) -> ApiClient:
        """Return a client configured by options or environment variables."""
        api = self.find_setting('api', API_VARIABLE)
        token = read_token_file(self.find_setting('token-file', TOKEN_VARIABLE))
        if token.is_err():
            raise CommandFailed(token.unwrap_err())
        ca_file = self.option('ca-file') or os.environ.get(CA_VARIABLE, '')
        try:
            return ApiClient(api, token.unwrap(), ca_file)
        except OSError as error:
            message = f'authority file {ca_file!r}: {error}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message)) from error

    def find_setting(self, name: str, variable: str) -> str:
        """Return the value of an option, falling back to its environment variable."""
        found = self.option(name) or os.environ.get(variable, '')
        if not found:
            message = f'give --{name} or set {variable}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message))
        return found

    def require(self, answer: Any) -> Any:
        """Return the value of a result, or end the command with its error."""
        if answer.is_err():
            raise CommandFailed(answer.unwrap_err())
        return answer.unwrap()


class ScopedCommand(ApiCommand):
    """Command that queries one daemon or all of them."""

    def read_scope(self) -> str:
        """Return the selected scope, `all` or `local`."""
        given = self.option('scope')
        default = 'local' if self.option('local') else 'all'
        scope = given or default
        if scope not in SCOPES or (self.option('local') and scope != 'local'):
            message = f'--scope is all or local, and not all with --local; found {given!r}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message))
        return scope
