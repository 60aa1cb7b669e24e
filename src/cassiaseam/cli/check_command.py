"""`cassiaseam check`: settings files, and configurations of the pooler role."""

from pathlib import Path
from typing import Any

from cleo.helpers import argument, option
from result import Err

from cassiaseam.cli.base import OUTPUT_OPTION, BaseCommand, CommandFailed
from cassiaseam.cli.exit_codes import ExitCode
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.platform.config_check.report import CheckReport, check_config, decode_document
from cassiaseam.platform.records import validate_config
from cassiaseam.settings.loader import MAX_FILE_BYTES, load_settings

CONFIGURATION_SUFFIX = '.json'


class Check(BaseCommand):
    """Command `cassiaseam check`."""

    name = 'check'
    description = 'Check a settings file, or a configuration (JSON), without starting a daemon.'
    arguments = [argument('file', 'Settings file (YAML) or configuration (.json).')]
    options = [
        OUTPUT_OPTION,
        option('without-files', None, 'Do not require the secret and certificate files.'),
        option('against', None, 'Configuration in force, to compare with.', flag=False),
        option('vms', None, 'Number of VMs that share the connections of a target.', flag=False),
    ]

    def run_command(self) -> int:
        """Check the file and print what was found."""
        path = Path(self.argument('file'))
        is_asked = self.option('against') is not None or self.option('vms') is not None
        if is_asked or is_configuration(path):
            return self.check_configuration(path)
        return self.check_settings(path)

    def check_settings(self, path: Path) -> int:
        """Validate a settings file and print all problems."""
        loaded = load_settings(path, not self.option('without-files'))
        problems = [] if loaded.is_ok() else loaded.unwrap_err()
        listed = [(it.file, it.key, it.value, it.expected) for it in problems]
        if self.prints_json:
            keys = ('file', 'key', 'value', 'expected')
            shown = [dict(zip(keys, row, strict=True)) for row in listed]
            self.print_json({'valid': not problems, 'problems': shown})
        elif problems:
            self.print_table(('file', 'key', 'found', 'expected'), listed)
        else:
            self.print_text(f'{path}: valid')
        return ExitCode.INVALID_SETTINGS if problems else ExitCode.DONE

    def check_configuration(self, path: Path) -> int:
        """Check a configuration, print the findings, and return the code for the worst one."""
        in_force = self.read_in_force()
        decoded = decode_document(read_file(path))
        if isinstance(decoded, Err):
            report = CheckReport((decoded.err_value,))
        else:
            report = check_config(decoded.ok_value, in_force, self.read_vms())
        if self.prints_json:
            self.print_json(describe_report(report))
        else:
            self.print_report(path, report)
        if report.has_errors:
            return ExitCode.INVALID_SETTINGS
        return ExitCode.DOUBTFUL_SETTINGS if report.findings else ExitCode.DONE

    def read_in_force(self) -> Any:
        """Return the configuration of `--against`, or None without the option."""
        if self.option('against') is None:
            return None
        decoded = decode_document(read_file(Path(self.option('against'))))
        if isinstance(decoded, Err) or isinstance(validate_config(decoded.ok_value), Err):
            message = f'--against {self.option("against")}: not a valid configuration'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message))
        return decoded.ok_value

    def read_vms(self) -> int | None:
        """Return the number of VMs of `--vms`, or None without the option."""
        given = self.option('vms')
        if given is None:
            return None
        if not given.isdecimal() or int(given) < 1:
            message = f'--vms is a number of VMs, not {given!r}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message))
        return int(given)

    def print_report(self, path: Path, report: CheckReport) -> None:
        """Print the findings as a table and the differences as lines."""
        rows = [(it.severity.value, it.place or 'file', it.text) for it in report.findings]
        self.print_table(('severity', 'place', 'finding'), rows)
        if not report.findings:
            self.print_text(f'{path}: valid')
        for difference in report.differences:
            self.print_text(f'change: {difference}')


def describe_report(report: CheckReport) -> dict[str, Any]:
    """Return a report as JSON; `valid` tells whether daemons accept the configuration."""
    findings = [
        {'severity': it.severity.value, 'place': it.place, 'text': it.text}
        for it in report.findings
    ]
    differences = list(report.differences)
    return {'valid': not report.has_errors, 'findings': findings, 'differences': differences}


def is_configuration(path: Path) -> bool:
    """Return whether a file is a configuration: by its suffix, or as a JSON object with routes."""
    if path.suffix == CONFIGURATION_SUFFIX or not path.is_file():
        return path.suffix == CONFIGURATION_SUFFIX
    content = path.read_bytes()[:MAX_FILE_BYTES]
    return content.lstrip().startswith(b'{') and b'"routes"' in content


def read_file(path: Path) -> str:
    """Return the text of a file.

    Raises:
        CommandFailed: The file cannot be read or is no text.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else 'not UTF-8'
        message = f'{path}: {reason}'
        raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message)) from error
