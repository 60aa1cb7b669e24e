"""Reads the settings file of the daemon.

This module is imported before the reactor is installed, so it must not import Twisted.
"""

from result import Err, Ok, Result

from cassiaseam.settings.loader import Secrets, load_settings, read_secrets
from cassiaseam.settings.model import Settings
from cassiaseam.settings.problems import SettingsProblem


def read_settings_file(path: str) -> Result[tuple[Settings, Secrets], str]:
    """Read a settings file and its secret files; the error lists all problems."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        return _describe(loaded.err_value)
    settings = loaded.ok_value
    secrets = read_secrets(settings)
    if isinstance(secrets, Err):
        return _describe(secrets.err_value)
    return Ok((settings, secrets.ok_value))


def _describe(problems: list[SettingsProblem]) -> Err[str]:
    return Err('\n'.join(str(problem) for problem in problems))
