"""Output of plans as tables or JSON."""

from typing import Any

from cassiaseam.cli.base import BaseCommand
from cassiaseam.plans.model import format_time


def print_plan(command: BaseCommand, plan: dict[str, Any]) -> None:
    """Print one plan with its changes, costs and risks."""
    if command.prints_json:
        command.print_json(plan)
        return
    command.print_text(f'plan {plan["plan_id"]} is {plan["state"]}')
    base = f'shard {plan["shard"]} at version {plan["base_version"]}'
    expiry = format_time(plan['expires_at'])
    command.print_text(f'made by {plan["operator"]} for {base}; expires {expiry}')
    if plan['reason']:
        command.print_text(f'reason: {plan["reason"]}')
    headers = ('database', 'target', 'daemon', 'value', 'before', 'after')
    keys = ('database', 'target', 'daemon', 'field', 'before', 'after')
    command.print_table(headers, [[it[key] for key in keys] for it in plan['changes']])
    command.print_table(('cost', 'estimate'), _list_costs(plan['costs']))
    command.print_table(('risk',), [[risk] for risk in plan['risks']])


def _list_costs(costs: dict[str, Any]) -> list[list[str]]:
    opened = costs['connections_opened']
    closed = costs['connections_closed']
    before = costs['replica_share_before']
    after = costs['replica_share_after']
    return [
        ['connections to targets', f'{opened} opened, {closed} closed'],
        ['replica share of reads that accept an age', f'{before:.2f} -> {after:.2f}'],
        ['expected gap without writes', f'{costs["expected_gap_s"] * 1000:.0f}ms'],
    ]


def print_plans(command: BaseCommand, plans: list[dict[str, Any]]) -> None:
    """Print one line per plan."""
    if command.prints_json:
        command.print_json({'plans': plans})
        return
    headers = ('plan', 'state', 'intent', 'database', 'made by', 'made at', 'decided by')
    rows = [
        (
            plan['plan_id'],
            plan['state'],
            plan['intent']['kind'],
            plan['database'],
            plan['operator'],
            format_time(plan['created_at']),
            plan['decided_by'],
        )
        for plan in plans
    ]
    command.print_table(headers, rows)
