"""Exits a stand-in process when its parent process exits."""

import argparse
import os
import sys
import threading

READ_BYTES = 4096


def add_parent_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that the launcher uses."""
    parser.add_argument(
        '--exit-with-parent',
        action='store_true',
        help='end when standard input is closed',
    )


def wait_for_end_of_input() -> None:
    """Exit the process when standard input is closed."""
    # A buffered read would hold a lock that the interpreter needs for a clean exit.
    received = b' '
    while received:
        received = os.read(sys.stdin.fileno(), READ_BYTES)
    os._exit(0)  # noqa: WPS437


def exit_with_parent() -> None:
    """Watch standard input, which the kernel closes when the launcher exits, also by a crash.

    Otherwise a killed test run would leave its stand-ins running.
    """
    threading.Thread(target=wait_for_end_of_input, daemon=True).start()
