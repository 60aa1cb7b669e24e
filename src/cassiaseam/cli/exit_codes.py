"""Exit codes of the command line (docs/operations/command-line.md)."""

import enum

from cassiaseam.errors import ErrorKind


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    ACCESS_DENIED = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7
    NOT_IN_FORCE = 8
    INVALID_SETTINGS = 9
    DOUBTFUL_SETTINGS = 10


_BY_KIND = {
    ErrorKind.ACCESS_DENIED: ExitCode.ACCESS_DENIED,
    ErrorKind.VERSION_CONFLICT: ExitCode.CONFLICT,
    ErrorKind.PLAN_EXPIRED: ExitCode.CONFLICT,
    ErrorKind.OVERLOADED: ExitCode.UNAVAILABLE,
    ErrorKind.QUOTA_EXCEEDED: ExitCode.UNAVAILABLE,
    ErrorKind.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.PEER_UNREACHABLE: ExitCode.UNAVAILABLE,
    ErrorKind.SHUTTING_DOWN: ExitCode.UNAVAILABLE,
    ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.INTERNAL: ExitCode.FAILED,
}


def find_exit_code(kind: ErrorKind) -> ExitCode:
    """Return the exit code for an error kind."""
    return _BY_KIND.get(kind, ExitCode.REFUSED)
