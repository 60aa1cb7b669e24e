"""Command line program `cassiaseam-standin-target`: one stand-in target.

All state is in memory. A restarted process starts empty, fenced and with fenced term 0, so every
fence is lost; `cassiaseam_follow` must rebuild it before it counts as a replica.
"""

import argparse
import asyncio
import logging as standard_logging
import secrets
import signal

from absl import logging

from cassiaseam_standin.instance import InstanceLimits, TargetInstance
from cassiaseam_standin.mysql_session import TargetServer
from cassiaseam_standin.parent_watch import add_parent_option, exit_with_parent

LOOPBACK = '127.0.0.1'


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line arguments; times are milliseconds."""
    limits = InstanceLimits()
    parser = argparse.ArgumentParser(description='stand-in for one instance of a database group')
    parser.add_argument('--name', required=True, help='name within the group')
    parser.add_argument('--host', default=LOOPBACK, help='IP number to listen on')
    parser.add_argument('--port', type=int, default=0, help='TCP port, 0 for any free one')
    parser.add_argument('--password', default='', help='password of all logins')
    parser.add_argument('--slots', type=int, default=limits.slots)
    parser.add_argument('--connections', type=int, default=limits.connections)
    parser.add_argument('--connect-ms', type=float, default=limits.connect_ms)
    parser.add_argument('--statement-ms', type=float, default=limits.statement_ms)
    parser.add_argument('--latency-ms', type=float, default=limits.latency_ms)
    parser.add_argument('--lock-wait-ms', type=float, default=limits.lock_wait_ms)
    add_parent_option(parser)
    return parser.parse_args(arguments)


def build_limits(settings: argparse.Namespace) -> InstanceLimits:
    """Return the limits given on the command line."""
    return InstanceLimits(
        slots=settings.slots,
        connections=settings.connections,
        connect_ms=settings.connect_ms,
        statement_ms=settings.statement_ms,
        latency_ms=settings.latency_ms,
        lock_wait_ms=settings.lock_wait_ms,
    )


async def serve_target(settings: argparse.Namespace) -> None:
    """Serve one instance until SIGTERM or SIGINT."""
    instance = TargetInstance(settings.name, secrets.token_hex(4), build_limits(settings))
    server = TargetServer(instance, settings.password)
    await server.start_server(host=settings.host, port=settings.port)
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    print(f'ready name={settings.name} port={server.port}', flush=True)
    await stopped.wait()
    await server.stop()


def main() -> None:
    """Run the program."""
    logging.use_absl_handler()
    # mysql-mimic logs every connection and every statement error.
    standard_logging.getLogger('mysql_mimic').setLevel(standard_logging.CRITICAL)
    settings = parse_arguments()
    if settings.exit_with_parent:
        exit_with_parent()
    asyncio.run(serve_target(settings))


if __name__ == '__main__':
    main()
