"""Short seeded soak runs against real daemons, and tests of the soak tool itself."""

import asyncio
import random

import pytest

from cassiaseam_soak.faults import FAULTS, plan_faults
from cassiaseam_soak.main import parse_arguments
from cassiaseam_soak.proxy import FaultyProxy, LinkFault
from cassiaseam_soak.run import SoakShape, run_soak

# Regression seeds. Every seed that ever failed stays here, with the cause of the failure.
SEEDS = [
    (1, SoakShape(daemons=2, callers=2)),
    # After a lost answer, a promotion continued with another target and lost acknowledged writes.
    (202, SoakShape()),
    # SIGHUP during startup killed a daemon. With more daemons than places, some request samples
    # from others.
    (7004, SoakShape(daemons=5)),
    # Promotion calls without an answer were treated as finished, but arrived after those of the
    # next lease holder. Later a proxy of the soak held such calls beyond the takeover.
    (3034, SoakShape(handover=True)),
    # A stand-in target served a read below its minimum position while stepping down.
    (6112, SoakShape(handover=True)),
    # A configuration that was written below the watched revision of a restored store was missed.
    (9002, SoakShape(restores=True)),
]


@pytest.mark.parametrize(('seed', 'shape'), SEEDS)
def test_guarantees_hold_under_injected_faults(seed, shape, tmp_path):
    report = asyncio.run(run_soak(seed, tmp_path, shape))
    assert not report.violations, (report.faults, report.violations)


def test_faults_are_reproducible_from_the_seed():
    first, second = (plan_faults(random.Random(5), 1, 6) for _ in range(2))
    assert first == second
    assert {fault.kind for fault in first} <= set(FAULTS)


def test_command_line_defaults():
    parsed = parse_arguments([])
    assert (parsed.seed, parsed.runs, parsed.daemons) == (1, 1, 3)


async def talk_through_proxy(fault):
    """Return what a client gets back for one line through a faulty proxy."""

    async def echo(reader, writer):
        writer.write(await reader.readline())
        await writer.drain()

    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    proxy = FaultyProxy(lambda: port)
    await proxy.start()
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', proxy.port)
        await asyncio.sleep(0.05)
        if fault is not None:
            proxy.inject(fault, '', 5, 0.2)
        writer.write(b'hello\n')
        async with asyncio.timeout(0.6):
            return await reader.readline()
    except TimeoutError:
        return 'nothing'
    except ConnectionError:
        return b''
    finally:
        proxy.stop()
        server.close()


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [
        (None, b'hello\n'),
        (LinkFault.DELAY, b'hello\n'),
        (LinkFault.RESET, b''),
        (LinkFault.SILENCE, 'nothing'),
        (LinkFault.CUT_ANSWERS, 'nothing'),
    ],
)
def test_proxy_applies_the_requested_fault(fault, expected):
    assert asyncio.run(talk_through_proxy(fault)) == expected
