"""Command line program `cassiaseam-standin-platform`: object store and VM list over HTTP.

All state is in memory and lost with the process.
"""

import argparse

from cassiaseam_standin.parent_watch import add_parent_option, exit_with_parent

LOOPBACK = '127.0.0.1'


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line arguments."""
    parser = argparse.ArgumentParser(description='stand-in for the platform')
    parser.add_argument('--host', default=LOOPBACK, help='IP number to listen on')
    parser.add_argument('--port', type=int, default=0, help='TCP port, 0 for any free one')
    parser.add_argument('--vm-lag-ms', type=int, default=0, help='lag of the VM list')
    add_parent_option(parser)
    return parser.parse_args(arguments)


def main() -> None:
    """Run the program until SIGTERM or SIGINT."""
    settings = parse_arguments()
    if settings.exit_with_parent:
        exit_with_parent()

    # Importing the reactor installs it, which must not happen when this module is only imported.
    from twisted.internet import reactor

    from cassiaseam_standin.platform_http import build_platform_site

    site = build_platform_site(reactor)
    site.resource.faults.vm_lag_ms = settings.vm_lag_ms
    listener = reactor.listenTCP(settings.port, site, interface=settings.host)
    print(f'ready name=platform port={listener.getHost().port}', flush=True)
    reactor.run()


if __name__ == '__main__':
    main()
