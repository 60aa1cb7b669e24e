"""Runs `cassiaseamd` and ends it together with the process that started it.

A test run that is killed would otherwise leave daemons behind, which go on calling ports that
other programs take over.
"""

import sys

from cassiaseam.daemon.main import main
from cassiaseam_standin.parent_watch import exit_with_parent

if __name__ == '__main__':
    exit_with_parent()
    sys.exit(main())
