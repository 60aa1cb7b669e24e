"""Real daemons that relay sessions while one of them is cut off from the replicas."""

import asyncio
import signal

import pytest

from cassiaseam_soak.callers import Caller, Ledger, Session, SessionLost
from cassiaseam_soak.installation import GROUP, ROUTES, STOP_TIMEOUT_S, Installation, is_ready
from cassiaseam_soak.proxy import LOOPBACK, LinkFault
from cassiaseam_soak.run import check_exits, check_recovery

CUT_S = 20.0
# The daemons know each other about 7 s after their start.
RELAYED_WITHIN_S = 15.0


async def open_session(daemon, database='orders'):
    """Return a session with a daemon, or None if it was closed meanwhile."""
    reader, writer = await asyncio.open_connection(LOOPBACK, daemon.callers_port)
    session = Session(reader, writer, Ledger())
    writer.write(f'START {database} key\r\n'.encode())
    try:
        async with asyncio.timeout(2):
            return session if (await session.read_line()).startswith('READY') else None
    except (SessionLost, TimeoutError):
        return None


async def run_until_relayed(daemon):
    """Return a session on which a write succeeded, and the codes of those that did not."""
    codes = []
    async with asyncio.timeout(RELAYED_WITHIN_S):
        while True:
            session = await open_session(daemon)
            if session is not None:
                try:
                    reply = await session.run(f'w{len(codes)}', f'WRITE item{len(codes)} a')
                except SessionLost:
                    reply = None
                if reply is not None and not reply.code:
                    return session, codes
                codes.append(reply.code if reply else 'closed')
            await asyncio.sleep(0.1)


async def cut_off_one_vm(tmp_path, act):
    """Cut vm-0 off from both replicas and run `act` once it is not ready."""
    installation = Installation(tmp_path, 3, extra_settings='relay: on\n')
    try:
        await installation.start()
        # The second list of VMs contains all of them.
        await asyncio.sleep(7)
        idle = await open_session(installation.daemons[0])
        for name in (f'{GROUP}-1', f'{GROUP}-2'):
            installation.target_proxies[name].inject(LinkFault.SILENCE, 'vm-0', CUT_S)
        loop = asyncio.get_running_loop()
        cut_at = loop.time()
        ended = asyncio.ensure_future(idle.reader.read())
        poking = await open_session(installation.daemons[0], 'prices')
        await poking.run('r0', 'READ item')
        while await is_ready(installation.daemons[0].readiness_port):
            await asyncio.sleep(0.02)
            assert loop.time() < cut_at + 5
        return await act(installation, ended)
    finally:
        await installation.stop()


async def cut_and_kill(installation):
    """Cut vm-0 off twice, and kill its peers in turn meanwhile."""
    for peer in installation.daemons[1:]:
        for name in (f'{GROUP}-1', f'{GROUP}-2'):
            installation.target_proxies[name].inject(LinkFault.SILENCE, 'vm-0', 4.0)
        await asyncio.sleep(2.5)
        peer.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        peer.start()
        await asyncio.sleep(4)


def test_guarantees_hold_while_sessions_are_relayed_and_peers_die(tmp_path):
    # Guards against writes that run twice or are lost, and against stale reads, through the relay.
    async def run():
        installation = Installation(tmp_path, 3, extra_settings='relay: on\n')
        ledger = Ledger()
        try:
            await installation.start()
            await asyncio.sleep(7)
            # All callers use the VM that is cut off.
            ports = [installation.daemons[0].callers_port]
            callers = [
                Caller(f'{database}{index}', database, ports, ledger, 1)
                for database in ROUTES
                for index in range(3)
            ]
            end = asyncio.get_running_loop().time() + 15
            faults = cut_and_kill(installation)
            await asyncio.gather(faults, *(caller.run_until(end) for caller in callers))
            await check_recovery(installation, ledger)
            check_exits(installation, ledger)
        finally:
            await installation.stop()
        return ledger, len(read_log(installation, 0, 'session_relayed'))

    ledger, relayed = asyncio.run(run())
    assert not ledger.violations
    assert relayed > 5


def read_log(installation, index, event):
    lines = installation.daemons[index].log.read_text().splitlines()
    return [line for line in lines if f'event={event}' in line]


def test_caller_of_a_vm_without_a_majority_is_served_by_a_peer(tmp_path):
    # All statements on such a VM were refused for as long as the load balancer sent callers to it.
    async def act(installation, ended):
        lost_at = asyncio.get_running_loop().time()
        await ended
        closed_after_s = asyncio.get_running_loop().time() - lost_at
        session, codes = await run_until_relayed(installation.daemons[0])
        written = await session.run('w', 'WRITE item b')
        read = await session.run('r', 'READ item')
        own = installation.group.targets
        runs = sum(target.runs['w'] for target in own.values())
        relayed = read_log(installation, 0, 'session_relayed')
        return closed_after_s, codes, written.code, read.rows, runs, relayed

    closed_after_s, codes, code, rows, runs, relayed = asyncio.run(cut_off_one_vm(tmp_path, act))
    assert closed_after_s < 1.0
    assert len(codes) <= 2
    assert code == ''
    assert rows
    assert runs == 1
    assert relayed


@pytest.mark.parametrize('stopped', [0, 1])
def test_stop_of_either_vm_closes_an_idle_relayed_session_and_ends_in_time(tmp_path, stopped):
    # A relayed session kept a stopping VM from ending, or was cut with an unfinished answer.
    async def act(installation, ended):
        session, _ = await run_until_relayed(installation.daemons[0])
        relayed_to = read_log(installation, 0, 'session_relayed')[-1].partition('peer=vm-')[2][0]
        daemon = installation.daemons[0 if stopped == 0 else int(relayed_to)]
        stopped_at = asyncio.get_running_loop().time()
        daemon.send_signal(signal.SIGTERM)
        await asyncio.wait_for(daemon.wait_for_exit(), 8)
        took_s = asyncio.get_running_loop().time() - stopped_at
        rest = await asyncio.wait_for(session.reader.read(), 2)
        return rest, tuple(daemon.exit_codes), took_s

    rest, exit_codes, took_s = asyncio.run(cut_off_one_vm(tmp_path, act))
    assert (rest, exit_codes) == (b'', (0,))
    assert took_s < STOP_TIMEOUT_S - 1
