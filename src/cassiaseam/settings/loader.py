"""Loads a settings file and reports all problems at once."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.settings.checks import find_contradictions
from cassiaseam.settings.model import DatabaseSettings, Settings
from cassiaseam.settings.problems import SettingsProblem, describe_validation_errors
from cassiaseam.settings.unique_keys import UniqueKeyLoader

MAX_FILE_BYTES = 1 << 20
READABLE_FILE_FORM = 'a readable file that is not empty'


@dataclass(frozen=True, slots=True)
class Secrets:
    """Contents of the secret files; excluded from `repr`.

    Attributes:
        passwords: Password by user name.
        tokens: Tokens in the order of `Settings.tokens`.
        target_password: Password for targets, or ''.
        platform_token: Bearer token for the platform, or ''.
    """

    passwords: dict[str, str] = field(default_factory=dict, repr=False)
    tokens: tuple[str, ...] = field(default=(), repr=False)
    target_password: str = field(default='', repr=False)
    platform_token: str = field(default='', repr=False)


def load_settings(
    path: str | Path, check_files: bool = True
) -> Result[Settings, list[SettingsProblem]]:
    """Read and validate a settings file.

    Args:
        path: YAML file; relative paths in it are resolved against its directory.
        check_files: Whether the secret and certificate files must be readable.

    Returns:
        The settings with absolute paths, or all problems found.
    """
    loaded = _read_yaml(Path(path))
    if loaded.is_err():
        return Err([loaded.unwrap_err()])
    try:
        settings = Settings.model_validate(loaded.unwrap())
    except ValidationError as error:
        return Err(describe_validation_errors(str(path), error))
    settings = _resolve_files(settings, Path(path).resolve().parent)
    problems = find_contradictions(str(path), settings)
    if check_files:
        problems.extend(_find_unreadable_files(str(path), settings))
    return Err(problems) if problems else Ok(settings)


def read_secrets(settings: Settings) -> Result[Secrets, list[SettingsProblem]]:
    """Read the secret files of loaded settings; strips leading and trailing whitespace."""
    problems = _find_unreadable_files(settings.vm, settings)
    if problems:
        return Err(problems)
    passwords = {user.name: _read_secret(user.password_file) for user in settings.users}
    login = settings.target_login
    platform_file = settings.platform.token_file
    return Ok(
        Secrets(
            passwords,
            tuple(_read_secret(token.token_file) for token in settings.tokens),
            _read_secret(login.password_file) if login else '',
            _read_secret(platform_file) if platform_file else '',
        )
    )


def build_database_configs(settings: Settings) -> tuple[DatabaseConfig, ...]:
    """Return the static databases at version 0, which is older than any stored version."""
    default = settings.limits.queue
    found = settings.databases.items()
    return tuple(_build_config(name, static, default) for name, static in found)


def _build_config(name: str, static: DatabaseSettings, default_queue: int) -> DatabaseConfig:
    targets = tuple(TargetConfig(**target.model_dump()) for target in static.targets)
    return DatabaseConfig(
        name,
        targets,
        dict(static.max_age),
        default_queue if static.queue_limit is None else static.queue_limit,
        static.drain_limit,
        static.owner or '',
        static.granted,
        queue_discipline=static.queue_discipline,
    )


def _read_yaml(path: Path) -> Result[Any, SettingsProblem]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = type(error).__name__
        return Err(SettingsProblem(str(path), '', reason, 'a readable UTF-8 file'))
    if len(text) > MAX_FILE_BYTES:
        return Err(SettingsProblem(str(path), '', f'{len(text)} bytes', 'at most 1MiB'))
    try:
        document = yaml.load(text, Loader=UniqueKeyLoader)  # noqa: S506
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        where = f'line {mark.line + 1}' if mark else ''
        reason = getattr(error, 'problem', None) or 'malformed'
        return Err(SettingsProblem(str(path), where, reason, 'YAML with unique keys'))
    except (ValueError, RecursionError) as error:
        return Err(SettingsProblem(str(path), '', str(error), 'YAML'))
    if not isinstance(document, dict):
        kind = type(document).__name__
        return Err(SettingsProblem(str(path), '', kind, 'a mapping of settings'))
    return Ok(document)


def _iterate_files(model: BaseModel, path: str = '') -> Iterator[tuple[str, Path]]:
    for name, value in model:
        key = f'{path}.{name}' if path else name
        if isinstance(value, Path):
            yield key, value
        elif isinstance(value, BaseModel):
            yield from _iterate_files(value, key)
        elif isinstance(value, tuple):
            for index, item in enumerate(value):
                if isinstance(item, BaseModel):
                    yield from _iterate_files(item, f'{key}[{index}]')


def _resolve_files(settings: Settings, folder: Path) -> Settings:
    def resolve(value: Any) -> Any:
        if isinstance(value, Path):
            return folder / value
        if isinstance(value, tuple):
            return tuple(resolve(item) for item in value)
        if isinstance(value, BaseModel):
            return value.model_copy(update={name: resolve(item) for name, item in value})
        return value

    return resolve(settings)


def _find_unreadable_files(file: str, settings: Settings) -> list[SettingsProblem]:
    problems = []
    for key, path in _iterate_files(settings):
        try:
            empty = not path.read_bytes().strip()
        except OSError:
            empty = True
        if empty:
            problems.append(SettingsProblem(file, key, str(path), READABLE_FILE_FORM))
    return problems


def _read_secret(path: Path) -> str:
    return path.read_text(encoding='utf-8').strip()
