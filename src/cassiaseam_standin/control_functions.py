"""Functions and procedures of the stand-in target, design section 5.2."""

import ast
import json
import re
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cassiaseam.positions import LogPosition
from cassiaseam_standin.instance import TargetInstance
from cassiaseam_standin.replication import PullRequest, Replication, serve_pull
from cassiaseam_standin.standin_errors import NO_SUCH_FUNCTION, WRONG_ARGUMENTS, StandinError

CALL_PATTERN = re.compile(
    r'\s*(SELECT|CALL)\s+((?:cassiaseam|standin)_\w+)\s*\((.*)\)\s*;?\s*$',
    re.IGNORECASE | re.DOTALL,
)


@dataclass(slots=True)
class ControlContext:
    """Context passed to control functions.

    Attributes:
        instance: Instance that the session belongs to.
        replication: Replication of the instance.
        last_commit: Position of the last commit of the session.
        on_faults_changed: Called after a fault is set.
    """

    instance: TargetInstance
    replication: Replication
    last_commit: LogPosition
    on_faults_changed: Callable[[], None]


ControlFunction = Callable[..., Awaitable[Any]]
FUNCTIONS: dict[str, tuple[ControlFunction, tuple[type, ...]]] = {}


def register_function(name: str, *types: type) -> Callable[[ControlFunction], ControlFunction]:
    """Register a function `(context, *arguments)` whose result is sent as JSON."""

    def register(function: ControlFunction) -> ControlFunction:
        FUNCTIONS[name] = (function, types)
        return function

    return register


def parse_arguments(text: str) -> tuple[Any, ...]:
    """Return the literals of an argument list; raises `StandinError` for anything else."""
    if not text.strip():
        return ()
    try:
        return ast.literal_eval(f'({text},)')
    except (SyntaxError, ValueError):
        raise StandinError(WRONG_ARGUMENTS, f'arguments ({text}) are no literals') from None


async def run_control_function(context: ControlContext, sql: str) -> tuple[str, str] | None:
    """Run `sql` if it calls a function of the stand-in.

    Returns:
        Name of the function and JSON of its result, or None for any other statement.
    """
    found = CALL_PATTERN.match(sql)
    if found is None:
        return None
    name = found[2].lower()
    if name not in FUNCTIONS:
        raise StandinError(NO_SUCH_FUNCTION, f'{name} does not exist')
    function, types = FUNCTIONS[name]
    values = parse_arguments(found[3])
    if len(values) != len(types):
        raise StandinError(WRONG_ARGUMENTS, f'{name} takes {len(types)} arguments, not {values}')
    try:
        arguments = [convert(value) for convert, value in zip(types, values, strict=True)]
    except ValueError:
        raise StandinError(WRONG_ARGUMENTS, f'wrong arguments {values} of {name}') from None
    return name, json.dumps(await function(context, *arguments))


@register_function('cassiaseam_status')
async def report_status(context: ControlContext) -> dict[str, Any]:
    """Return the status of the instance."""
    return context.instance.describe_status(time.monotonic())


@register_function('cassiaseam_last_commit')
async def report_last_commit(context: ControlContext) -> list[int]:
    """Return the position of the last commit of the session, `[0, 0]` before the first."""
    return [context.last_commit.term, context.last_commit.offset]


@register_function('cassiaseam_fence', int, str)
async def fence_instance(context: ControlContext, term: int, promoter: str) -> dict[str, Any]:
    """Grant or refuse a term; returns the status and whether the term is granted."""
    if not promoter:
        raise StandinError(WRONG_ARGUMENTS, 'the promoter has no name')
    granted = context.instance.fence(term, promoter)
    return {**context.instance.describe_status(time.monotonic()), 'granted': granted}


@register_function('cassiaseam_promote', int, str)
async def promote_instance(context: ControlContext, term: int, promoter: str) -> dict[str, Any]:
    """Make the instance primary; returns the status."""
    context.instance.promote(term, promoter)
    context.replication.stop()
    return context.instance.describe_status(time.monotonic())


@register_function('cassiaseam_follow', str, str, int, int)
async def follow_primary(
    context: ControlContext, primary: str, host: str, port: int, term: int
) -> dict[str, Any]:
    """Make the instance follow a primary; returns the status."""
    await context.replication.follow(primary, host, port, term)
    return context.instance.describe_status(time.monotonic())


@register_function('cassiaseam_log', str, int, int, int, int, int)
async def pull_log(
    context: ControlContext, instance: str, term: int, last_term: int, last_offset: int,
    wait_ms: int, hold_back_ms: int,
) -> dict[str, Any]:  # fmt: skip
    """Answer a replica that asks for log entries."""
    last = LogPosition(last_term, last_offset)
    request = PullRequest(instance, term, last, wait_ms, hold_back_ms)
    return await serve_pull(context.instance, request)


@register_function('standin_fault', str, str)
async def set_fault(context: ControlContext, name: str, setting: str) -> dict[str, str]:
    """Set a fault; `setting` is a number, a flag or a list of names."""
    try:
        context.instance.faults.set_fault(name, setting)
    except (LookupError, ValueError) as error:
        raise StandinError(WRONG_ARGUMENTS, str(error)) from None
    context.on_faults_changed()
    return {name: setting}
