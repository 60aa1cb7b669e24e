"""Run pytest and behave, and print a summary line with the totals.

Tests listed in KNOWN-RED.txt run and their failures are printed, but do not fail the run.
"""

import json
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Tests that start processes need several cores each; more workers slow them down.
WORKERS = '4'


def read_known_red() -> set[str]:
    """Return the test names listed as `test: NAME` in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r'^test: (.+?)\s*$', KNOWN_RED.read_text(), re.MULTILINE))


def run_pytest(report: Path) -> dict[str, bool]:
    command = [
        sys.executable,
        '-m',
        'pytest',
        f'--junitxml={report}',
        '--durations=5',
        '-n',
        WORKERS,
    ]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    outcomes = {}
    for case in ElementTree.parse(report).getroot().iter('testcase'):
        name = f'{case.get("classname")}::{case.get("name")}'
        broken = case.find('failure') is not None or case.find('error') is not None
        outcomes[name] = not broken
    if code not in {0, 1}:
        outcomes['pytest exit code'] = False
    return outcomes


def run_behave(report: Path) -> dict[str, bool]:
    command = [sys.executable, '-m', 'behave', '-f', 'json', '-o', str(report), '-f', 'progress']
    subprocess.run(command, cwd=ROOT, check=False)
    outcomes = {}
    for feature in json.loads(report.read_text() or '[]'):
        for scenario in feature.get('elements', []):
            if scenario['type'] != 'background':
                name = f'{feature["name"]}: {scenario["name"].strip()}'
                outcomes[name] = scenario.get('status') == 'passed'
                print_failed_steps(name, scenario)
    if not outcomes:
        outcomes['behave ran no scenario'] = False
    return outcomes


def print_failed_steps(name: str, scenario: dict) -> None:
    """Print the messages of failed steps, which the progress output shows only in part."""
    for step in scenario.get('steps', []):
        result = step.get('result', {})
        if result.get('status') not in {'failed', 'error'}:
            continue
        message = result.get('error_message', [])
        text = message if isinstance(message, str) else '\n'.join(message)
        print(f'{name}: {step["name"]}\n{text}')


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        outcomes = run_pytest(Path(folder) / 'pytest.xml')
        outcomes.update(run_behave(Path(folder) / 'behave.json'))
    known = read_known_red()
    failed = [name for name, passed in outcomes.items() if not passed]
    for name in failed:
        label = 'known red' if name in known else 'FAILED'
        print(f'{label}: {name}')
    unexpected = [name for name in failed if name not in known]
    print(f'{len(outcomes) - len(failed)} passed, {len(unexpected)} failed')
    return 1 if unexpected else 0


if __name__ == '__main__':
    sys.exit(main())
