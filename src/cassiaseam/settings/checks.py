"""Cross-field validation of settings."""

import ipaddress
from collections import Counter
from collections.abc import Iterable, Iterator

from cassiaseam.settings.model import Settings
from cassiaseam.settings.problems import SettingsProblem
from cassiaseam.settings.units import format_duration

_Found = Iterator[tuple[str, str, str]]


def find_contradictions(file: str, settings: Settings) -> list[SettingsProblem]:
    """Return the problems that single-field validation cannot find."""
    found = [
        *_find_duplicates('users', 'a user name', (user.name for user in settings.users)),
        *_find_duplicates('tokens', 'a file', (str(it.token_file) for it in settings.tokens)),
        *_find_duplicate_targets(settings),
        *_check_advertised(settings),
        *_check_ports(settings),
        *_check_deadlines(settings),
        *_check_caller_tls(settings),
    ]
    return [SettingsProblem(file, *entry) for entry in found]


def _find_duplicates(key: str, what: str, names: Iterable[str]) -> _Found:
    for name, count in Counter(names).items():
        if count > 1:
            yield key, f'{name!r} {count} times', f'{what} that occurs once'


def _find_duplicate_targets(settings: Settings) -> _Found:
    for database, static in settings.databases.items():
        key = f'databases.{database}.targets'
        yield from _find_duplicates(key, 'a target name', (it.name for it in static.targets))
        addresses = (f'{it.host}:{it.port}' for it in static.targets)
        yield from _find_duplicates(key, 'an address', addresses)


def _check_advertised(settings: Settings) -> _Found:
    host = settings.advertise or settings.listen.peers.host
    if ipaddress.ip_address(host).is_unspecified:
        key = 'advertise' if settings.advertise else 'listen.peers'
        yield key, repr(host), 'an IP number that other daemons reach; set advertise'


def _check_ports(settings: Settings) -> _Found:
    listen = settings.listen
    addresses = [str(it) for it in (listen.callers, listen.peers, listen.admin) if it.port]
    yield from _find_duplicates('listen', 'an address', addresses)


def _check_deadlines(settings: Settings) -> _Found:
    limits = settings.limits
    if limits.deadline <= 0:
        yield 'limits.deadline', format_duration(limits.deadline), 'a duration above zero'
    if limits.deadline > limits.max_deadline:
        longest = format_duration(limits.max_deadline)
        yield 'limits.deadline', format_duration(limits.deadline), f'at most {longest}'


def _check_caller_tls(settings: Settings) -> _Found:
    if settings.tls.callers is not None:
        yield 'tls.callers', 'a certificate', 'no section; callers cannot use TLS yet'
