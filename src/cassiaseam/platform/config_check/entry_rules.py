"""Rules about entries that can never match, or that contradict another entry."""

from collections.abc import Iterable, Iterator

from cassiaseam.platform.config_check.findings import (
    CheckContext,
    Finding,
    Severity,
    register_rule,
    warn,
)
from cassiaseam.platform.records import ConfigDocument


def find_repetitions(names: Iterable[str]) -> Iterator[tuple[int, int]]:
    """Yield the position of each repeated name, and the position of its first occurrence."""
    first: dict[str, int] = {}
    for position, name in enumerate(names):
        earlier = first.setdefault(name, position)
        if earlier != position:
            yield position, earlier


@register_rule
def find_unknown_kinds(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find routes that daemons ignore because they do not know the kind."""
    for index, route in enumerate(document.routes):
        if not route.is_known_kind:
            text = f'the route is ignored: kind {route.kind!r} is not known'
            yield warn(f'routes[{index}].routeKind', text)


@register_rule
def find_shadowed_routes(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find routes whose database an earlier route serves."""
    known = [index for index, route in enumerate(document.routes) if route.is_known_kind]
    hosts = [document.routes[index].host for index in known]
    for later, earlier in find_repetitions(hosts):
        text = f'the route is never used: routes[{known[earlier]}] serves {hosts[later]!r}'
        yield warn(f'routes[{known[later]}].host', text)


@register_rule
def find_routes_without_group(
    document: ConfigDocument, context: CheckContext
) -> Iterator[Finding]:
    """Find routes to groups that the configuration does not list."""
    groups = {service.name for service in document.services}
    for index, route in enumerate(document.routes):
        if route.service not in groups:
            text = f'the route leads to group {route.service!r}, which services does not list'
            yield warn(f'routes[{index}].service', text)


@register_rule
def find_unused_groups(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find groups that no route leads to."""
    used = {route.service for route in document.routes if route.is_known_kind}
    for index, service in enumerate(document.services):
        if service.name not in used:
            yield warn(f'services[{index}].name', f'no route leads to group {service.name!r}')


@register_rule
def find_repeated_groups(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find groups that are listed again, whose last entry holds."""
    for later, earlier in find_repetitions(service.name for service in document.services):
        text = f'the entry replaces services[{earlier}], which has the same name'
        yield warn(f'services[{later}].name', text)


@register_rule
def find_repeated_accounts(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find accounts that are listed again."""
    names = [account.name for account in document.tenants or ()]
    for later, earlier in find_repetitions(names):
        text = f'account {names[later]!r} is also tenants[{earlier}]'
        yield Finding(Severity.ERROR, f'tenants[{later}].name', text)


@register_rule
def find_repeated_keys(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find keys of two accounts, and keys that an account has twice."""
    places = [
        (tenant, position)
        for tenant, account in enumerate(document.tenants or ())
        for position in range(len(account.keys))
    ]
    keys = [key for account in document.tenants or () for key in account.keys]
    for later, earlier in find_repetitions(keys):
        tenant, position = places[later]
        other, other_position = places[earlier]
        severity = Severity.WARNING if tenant == other else Severity.ERROR
        text = f'the same key as tenants[{other}].apiKeys[{other_position}]'
        yield Finding(severity, f'tenants[{tenant}].apiKeys[{position}]', text)


@register_rule
def find_accounts_without_keys(
    document: ConfigDocument, context: CheckContext
) -> Iterator[Finding]:
    """Find accounts that no caller can use."""
    for index, account in enumerate(document.tenants or ()):
        if not account.keys:
            text = f'account {account.name!r} has no keys, so nobody can use it'
            yield warn(f'tenants[{index}].apiKeys', text)


@register_rule
def find_useless_access_rules(
    document: ConfigDocument, context: CheckContext
) -> Iterator[Finding]:
    """Find routes that refuse everybody, and access rules without effect."""
    keyless = [index for index, route in enumerate(document.routes) if route.allows_anonymous]
    if document.tenants is None:
        for index in keyless:
            text = 'has no effect: without tenants no route needs a key'
            yield warn(f'routes[{index}].allowAnonymous', text)
    elif len(keyless) == len(document.routes) and document.tenants:
        yield warn('tenants', 'has no effect: every route allows anonymous callers')
    elif not document.tenants and len(keyless) < len(document.routes):
        yield warn('tenants', 'is empty: routes without allowAnonymous refuse every caller')
