"""Runs `cassiaseamd` and exits when its parent process exits.

Otherwise a killed test run would leave daemons running, which keep calling ports that other
programs reuse.
"""

import sys

from cassiaseam.daemon.main import main
from cassiaseam_standin.parent_watch import exit_with_parent

if __name__ == '__main__':
    exit_with_parent()
    sys.exit(main())
