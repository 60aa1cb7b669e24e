"""Runs the configuration check on the text of a file."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from cassiaseam.platform import records
from cassiaseam.platform.config_check import entry_rules, limit_rules
from cassiaseam.platform.config_check.differences import describe_differences
from cassiaseam.platform.config_check.findings import RULES, CheckContext, Finding, Severity
from cassiaseam.settings.problems import format_key

RULE_MODULES = (entry_rules, limit_rules)


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of a check.

    Attributes:
        findings: Findings, errors first, then in the order of the rules.
        differences: What differs from the version in force, in words.
    """

    findings: tuple[Finding, ...]
    differences: tuple[str, ...] = ()

    @property
    def has_errors(self) -> bool:
        """Return whether daemons refuse the configuration."""
        return any(finding.severity is Severity.ERROR for finding in self.findings)


def decode_document(text: str) -> Result[Any, Finding]:
    """Return the decoded JSON of a file, or the finding that it is no JSON."""
    try:
        return Ok(
            json.loads(text, object_pairs_hook=_build_object, parse_constant=_refuse_constant)
        )
    except json.JSONDecodeError as error:
        place = f'line {error.lineno}, column {error.colno}'
        return Err(Finding(Severity.ERROR, place, f'not JSON: {error.msg}'))
    except ValueError as error:
        return Err(Finding(Severity.ERROR, '', str(error)))
    except RecursionError:
        return Err(Finding(Severity.ERROR, '', 'not JSON that can be read: nested too deeply'))


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object of JSON.

    Raises:
        ValueError: A name occurs twice, so that one of its values would be lost.
    """
    built = dict(pairs)
    if len(built) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f'{repeated!r} occurs twice in one object')
    return built


def _refuse_constant(name: str) -> None:
    """Refuse `NaN` and `Infinity`, which Python reads although they are no JSON.

    Raises:
        ValueError: Always.
    """
    raise ValueError(f'not JSON: {name} is no number')


def check_config(spec: Any, in_force: Any = None, vms: int | None = None) -> CheckReport:
    """Check a decoded configuration.

    Args:
        spec: Decoded JSON of the configuration.
        in_force: Decoded JSON of the valid configuration in force, or None.
        vms: Number of VMs, or None if it is not known.
    """
    validated = records.validate_config(spec)
    if isinstance(validated, Err):
        return CheckReport(tuple(_describe_problem(it) for it in validated.err_value))
    document = validated.ok_value
    former = None if in_force is None else records.validate_config(in_force).unwrap()
    context = CheckContext(former, vms)
    findings = [finding for rule in RULES for finding in rule(document, context)]
    findings.sort(key=lambda finding: finding.severity is not Severity.ERROR)
    decoded = records.decode_config(spec)
    if isinstance(decoded, Err) and not CheckReport(tuple(findings)).has_errors:
        # The daemon refuses more than the rules know.
        findings.insert(0, Finding(Severity.ERROR, '', decoded.err_value))
    differences = () if former is None else describe_differences(former, document)
    return CheckReport(tuple(findings), tuple(differences))


def _describe_problem(problem: ErrorDetails) -> Finding:
    """Return the finding for a problem of the validation.

    The messages of own validators contain the input, which may be a misplaced key.
    """
    is_own = problem['type'] == 'value_error'
    text = 'the value is not a number' if is_own else problem['msg']
    return Finding(Severity.ERROR, format_key(problem['loc']), text)
