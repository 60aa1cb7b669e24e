"""Identification of callers by their keys."""

from cassiaseam.pooler.model import Route, RoutingConfig

# Account name of callers that need no key: targets are told the name of the VM.
ANONYMOUS = ''


def identify_account(config: RoutingConfig, route: Route | None, key_digest: bytes) -> str | None:
    """Return the account of a caller on a route, `ANONYMOUS`, or None if its key is unknown.

    The route is None when a newer configuration has removed the route of an open session.
    """
    if config.accounts is None or (route is not None and route.allows_anonymous):
        return ANONYMOUS
    account = config.accounts.find_account(key_digest)
    return account.name if account is not None else None
