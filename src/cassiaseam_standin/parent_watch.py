"""Ends a stand-in process together with the process that started it."""

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
    """End the process when standard input is closed."""
    # A buffered read would hold a lock that the interpreter needs for an orderly exit.
    received = b' '
    while received:
        received = os.read(sys.stdin.fileno(), READ_BYTES)
    os._exit(0)  # noqa: WPS437


def exit_with_parent() -> None:
    """Watch standard input, which the system closes when the launcher ends in any way.

    A test run that is killed would otherwise leave its stand-ins behind.
    """
    threading.Thread(target=wait_for_end_of_input, daemon=True).start()
