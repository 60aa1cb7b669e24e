"""Command line program `cassiaseam-soak`."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from cassiaseam_soak.run import SoakReport, SoakShape, run_soak


def parse_arguments(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line arguments."""
    parser = argparse.ArgumentParser(
        prog='cassiaseam-soak', description='Run daemons under random faults.'
    )
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--runs', type=int, default=1, help='number of seeds')
    parser.add_argument('--daemons', type=int, default=3, help='daemons per run')
    parser.add_argument('--callers', type=int, default=3, help='callers per database')
    parser.add_argument(
        '--handover', action='store_true', help='add faults aimed at daemons that promote'
    )
    parser.add_argument(
        '--restores', action='store_true', help='add restores of the store from an older copy'
    )
    parser.add_argument(
        '--accounts', action='store_true', help='add client accounts, and faults of their keys'
    )
    parser.add_argument('--keep', metavar='FOLDER', help='keep settings, logs and a report here')
    return parser.parse_args(arguments)


def run_seed(seed: int, parsed: argparse.Namespace) -> SoakReport:
    """Run one seed in its own folder."""
    shape = SoakShape(
        parsed.daemons, parsed.callers, parsed.handover, parsed.restores, parsed.accounts
    )
    if parsed.keep:
        folder = Path(parsed.keep) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(run_soak(seed, folder, shape))
        lines = (*report.faults, *report.violations, *report.trace)
        (folder / 'report.txt').write_text('\n'.join(lines))
        return report
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(run_soak(seed, Path(name), shape))


def main(arguments: list[str] | None = None) -> int:
    """Run the seeds; return 1 if a guarantee was violated or a run did not start."""
    parsed = parse_arguments(arguments)
    failed = []
    for seed in range(parsed.seed, parsed.seed + parsed.runs):
        try:
            report = run_seed(seed, parsed)
        except TimeoutError:
            # A busy machine may start the daemons too slowly.
            sys.stdout.write(f'seed={seed} not run: the daemons did not get ready\n')
            failed.append(seed)
            continue
        verdict = 'broken' if report.violations else 'kept'
        sys.stdout.write(f'seed={seed} promises={verdict} outcomes={report.outcomes}\n')
        for line in (
            (*report.faults, *report.violations[:20], *report.trace) if report.violations else ()
        ):
            sys.stdout.write(f'  {line}\n')
        sys.stdout.flush()
        if report.violations:
            failed.append(seed)
    sys.stdout.write(f'{parsed.runs - len(failed)} passed, {len(failed)} failed\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
