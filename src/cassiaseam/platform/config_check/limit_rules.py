"""Rules about limits that contradict each other."""

from collections.abc import Iterator

from cassiaseam.platform.config_check.findings import (
    CheckContext,
    Finding,
    register_rule,
    warn,
)
from cassiaseam.platform.records import ConfigDocument
from cassiaseam.pooler.connections import GUARANTEED_CONNECTIONS

# Smallest burst with which a full token bucket admits an operation.
MIN_BURST = 1


@register_rule
def find_short_timeouts(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find statement timeouts below the objective, or of no length."""
    for index, route in enumerate(document.routes):
        place = f'routes[{index}].timeoutMs'
        if route.timeout_ms <= 0:
            yield warn(place, f'{route.timeout_ms:g} ms leaves no time for a statement')
        elif route.timeout_ms < route.objective_ms:
            objective = f'targetLatencyMs ({route.objective_ms:g} ms)'
            text = f'{route.timeout_ms:g} ms is below {objective}, which allows more'
            yield warn(place, text)


@register_rule
def find_unreachable_staleness(
    document: ConfigDocument, context: CheckContext
) -> Iterator[Finding]:
    """Find reads of bounded staleness that no replica can serve."""
    for index, route in enumerate(document.routes):
        if route.kind == 'bounded_staleness' and route.max_age_ms <= 0:
            text = f'{route.max_age_ms:g} ms: no replica is ever fresh enough'
            yield warn(f'routes[{index}].maxStalenessMs', text)


@register_rule
def find_useless_quotas(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find quotas that let nothing pass, or that limit nothing."""
    for index, account in enumerate(document.tenants or ()):
        place = f'tenants[{index}]'
        if account.operations_per_s is None:
            if account.burst:
                yield warn(f'{place}.burst', 'has no effect: the account has no ratePerS')
            continue
        if account.burst < MIN_BURST:
            text = f'{account.burst:g} is below {MIN_BURST}: operations below ratePerS are refused'
            yield warn(f'{place}.burst', text)
        if account.operations_per_s == 0:
            yield warn(f'{place}.ratePerS', '0: nothing is served once the burst is used up')


@register_rule
def find_small_connection_limits(
    document: ConfigDocument, context: CheckContext
) -> Iterator[Finding]:
    """Find connection limits below what the VMs hold as a minimum."""
    needed = GUARANTEED_CONNECTIONS * (context.vms or 1)
    for index, service in enumerate(document.services):
        if service.max_connections < needed:
            holders = 'a VM holds' if context.vms is None else f'{context.vms} VMs hold'
            text = f'{service.max_connections} is below the {needed} that {holders} at least'
            yield warn(f'services[{index}].maxConnections', text)


@register_rule
def find_negative_limits(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find numbers that are too small to mean anything."""
    if document.limits.transaction_idle_ms <= 0:
        text = f'{document.limits.transaction_idle_ms:g} ms: open transactions end at once'
        yield warn('limits.transactionIdleMs', text)
    for index, service in enumerate(document.services):
        if service.sync_replicas < 0:
            yield warn(f'services[{index}].syncReplicas', f'{service.sync_replicas} is negative')


@register_rule
def find_ignored_version(document: ConfigDocument, context: CheckContext) -> Iterator[Finding]:
    """Find a version that daemons ignore, because it is not above the one in force."""
    if context.in_force is not None and document.version <= context.in_force.version:
        text = f'{document.version} is not above {context.in_force.version}, which is in force'
        yield warn('version', f'{text}: daemons ignore the file')
