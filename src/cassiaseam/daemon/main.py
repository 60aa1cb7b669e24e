"""Program `cassiaseamd`.

All modules except signal handling are imported inside functions: a signal that arrives during
startup must not kill the process, so the handlers are installed before the slow imports.
"""

import gc
import sys
from typing import Any

from cassiaseam.daemon.signals import PendingSignals

EXIT_BAD_SETTINGS = 2


def parse_arguments(arguments: list[str] | None = None) -> Any:
    """Return the command line arguments."""
    import argparse

    parser = argparse.ArgumentParser(prog='cassiaseamd', description='Database proxy daemon.')
    parser.add_argument('--settings', required=True, metavar='FILE', help='YAML settings file')
    parser.add_argument(
        '--role',
        choices=('owner', 'pooler'),
        default='owner',
        help='owner: daemons share the databases; pooler: each daemon reaches all targets',
    )
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None, signals: PendingSignals | None = None) -> int:
    """Run the daemon until SIGTERM and return the exit code."""
    signals = signals or PendingSignals()
    parsed = parse_arguments(arguments)
    if parsed.role == 'pooler':
        return run_pooler_role(parsed.settings, signals)
    from result import Err

    from cassiaseam.daemon.settings_file import read_settings_file

    settings_result = read_settings_file(parsed.settings)
    if isinstance(settings_result, Err):
        sys.stderr.write(f'{settings_result.err_value}\n')
        return EXIT_BAD_SETTINGS
    return run_daemon(*settings_result.ok_value, signals)


def run_pooler_role(path: str, signals: PendingSignals) -> int:
    """Run a daemon that routes callers directly to the targets; see docs/platform.md."""
    from result import Err

    from cassiaseam.pooler.runtime import run_pooler
    from cassiaseam.pooler.settings import load_pooler_settings

    loaded = load_pooler_settings(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return EXIT_BAD_SETTINGS
    start_logging(loaded.ok_value.log_level)
    resume_garbage_collection()
    return run_pooler(loaded.ok_value, path, signals)


def run_daemon(settings: Any, secrets: Any, signals: PendingSignals) -> int:
    """Run a daemon on the asyncio reactor of Twisted.

    The reactor is installed before other modules are imported: several of them import
    `twisted.internet.reactor`, which would install the default one.
    """
    import asyncio

    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from cassiaseam.daemon.runtime_settings import build_runtime_settings
    from cassiaseam.daemon.supervision import DaemonSupervisor

    start_logging(settings.log_level)
    try:
        runtime_settings = build_runtime_settings(settings, secrets)
    except OSError as error:
        sys.stderr.write(f'tls.peers: {error}\n')
        return EXIT_BAD_SETTINGS
    supervisor = DaemonSupervisor(reactor, loop, runtime_settings)
    supervisor.schedule()
    resume_garbage_collection()
    # The reactor handles signals itself once it runs.
    signals.restore_default_sigint()
    if signals.consume_stop_request():
        reactor.callWhenRunning(reactor.stop)
    reactor.run()
    return supervisor.exit_code


def start_logging(level: str) -> None:
    """Write log lines of at least `level` to standard error."""
    from absl import flags, logging

    from cassiaseam.observability.logs import set_log_level

    # Without parsed flags absl prints a warning and drops all lines below level WARNING.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    set_log_level(level)


def run_program() -> int:
    """Entry point of the `cassiaseamd` program."""
    signals = PendingSignals()
    signals.install()
    # Imports create many long-lived objects; scanning them repeatedly takes a fifth of the
    # startup time.
    gc.disable()
    return main(signals=signals)


def resume_garbage_collection() -> None:
    """Enable garbage collection, but exclude the objects created during startup."""
    gc.freeze()
    gc.enable()


if __name__ == '__main__':
    sys.exit(run_program())
