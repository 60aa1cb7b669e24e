"""Differences between two configurations in words; keys are named by their positions."""

from collections.abc import Iterator, Sequence

from pydantic import BaseModel

from cassiaseam.platform.records import AccountDocument, ConfigDocument, RouteDocument

# Fields that identify an entry or are described otherwise.
_UNCOMPARED_FIELDS = frozenset(('name', 'host', 'keys'))


def describe_differences(in_force: ConfigDocument, new: ConfigDocument) -> list[str]:
    """Return one sentence per difference, in the order of the sections of the file."""
    return [
        *_describe_version(in_force, new),
        *_describe_entries('route of database', _index_routes(in_force), _index_routes(new)),
        *_describe_entries(
            'group',
            {service.name: service for service in in_force.services},
            {service.name: service for service in new.services},
        ),
        *_describe_fields('limits', in_force.limits, new.limits),
        *_describe_accounts(in_force, new),
    ]


def _describe_version(in_force: ConfigDocument, new: ConfigDocument) -> Iterator[str]:
    if in_force.version != new.version:
        yield f'version changes from {in_force.version} to {new.version}'


def _index_routes(document: ConfigDocument) -> dict[str, RouteDocument]:
    """Return the route that daemons use, per database."""
    routes: dict[str, RouteDocument] = {}
    for route in document.routes:
        if route.is_known_kind:
            routes.setdefault(route.host, route)
    return routes


def _describe_entries(
    label: str, before: dict[str, BaseModel], after: dict[str, BaseModel]
) -> Iterator[str]:
    """Describe added, removed and changed entries by name."""
    for name in sorted({*before, *after}):
        if name not in after:
            yield f'{label} {name!r} is removed'
        elif name not in before:
            yield f'{label} {name!r} is added'
        else:
            yield from _describe_fields(f'{label} {name!r}', before[name], after[name])


def _describe_fields(label: str, before: BaseModel, after: BaseModel) -> Iterator[str]:
    """Describe changed fields by their names in the file."""
    for name, info in type(after).model_fields.items():
        former, present = getattr(before, name), getattr(after, name)
        if name not in _UNCOMPARED_FIELDS and former != present:
            shown = f'{_show(former)} to {_show(present)}'
            yield f'{label}: {info.alias or name} changes from {shown}'


def _show(given: object) -> str:
    if given is None:
        return 'none'
    if isinstance(given, float):
        return f'{given:g}'
    return str(given).lower() if isinstance(given, bool) else str(given)


def _describe_accounts(in_force: ConfigDocument, new: ConfigDocument) -> Iterator[str]:
    if in_force.tenants is None or new.tenants is None:
        if new.tenants is not None:
            yield 'client accounts are introduced: routes without allowAnonymous need a key'
        elif in_force.tenants is not None:
            yield 'client accounts are given up: no route needs a key'
    before = {account.name: account for account in in_force.tenants or ()}
    after = {account.name: account for account in new.tenants or ()}
    yield from _describe_entries('account', before, after)
    yield from _describe_keys(in_force.tenants or (), new.tenants or ())


def _describe_keys(
    before: Sequence[AccountDocument], after: Sequence[AccountDocument]
) -> Iterator[str]:
    """Describe dropped, moved and new keys by account and position, counted from 0."""
    old_owners = {key: account.name for account in before for key in account.keys}
    new_owners = {key: account.name for account in after for key in account.keys}
    for account in before:
        for position, key in enumerate(account.keys):
            place = f'account {account.name!r}: apiKeys[{position}] of the version in force'
            if key not in new_owners:
                yield f'{place} is dropped, callers with it are refused'
            elif new_owners[key] != account.name:
                yield f'{place} moves to account {new_owners[key]!r}'
    for account in after:
        for position, key in enumerate(account.keys):
            if key not in old_owners:
                yield f'account {account.name!r}: apiKeys[{position}] is new'
