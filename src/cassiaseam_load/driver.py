"""Open-loop driver: sends requests at scheduled times, whether or not earlier ones finished."""

import asyncio
import random
from collections.abc import Iterable

from cassiaseam_load.caller import CallerSession, RunContext
from cassiaseam_load.schedule import Arrival

ANSWER_TIMEOUT_S = 12.0


class SessionPool:
    """Pool of sessions; an idle session runs the next request."""

    def __init__(self, sessions: list[CallerSession]):
        self.sessions = sessions
        self.free: asyncio.Queue[CallerSession] = asyncio.Queue()
        for session in sessions:
            self.free.put_nowait(session)

    async def connect_all(self) -> None:
        """Open the connections of all sessions."""
        await asyncio.gather(*(session.connect() for session in self.sessions))

    def disconnect_all(self) -> None:
        """Close the connections of all sessions."""
        for session in self.sessions:
            session.disconnect()


def make_sessions(
    context: RunContext, databases: tuple[str, ...], count: int, label: str
) -> list[CallerSession]:
    """Return `count` sessions, spread evenly over databases and daemons."""
    sessions = []
    for number in range(count):
        database = databases[number % len(databases)]
        identity = f'{label}-{number}'
        sessions.append(CallerSession(context, database, identity, number // len(databases)))
    return sessions


async def run_arrival(pool: SessionPool, arrival: Arrival, started_s: float, roam: bool) -> None:
    """Run one request on the next idle session."""
    session = await pool.free.get()
    try:
        if roam:
            session.roam()
        await session.run(arrival, started_s)
    except ConnectionError:
        session.context.recorder.outcomes['no_daemon'] += 1
    finally:
        pool.free.put_nowait(session)


async def run_schedule(
    pool: SessionPool,
    arrivals: Iterable[Arrival],
    *,
    roam_share: float = 0,
    seed: int = 1,
) -> float:
    """Send all requests at their due times and wait for the answers.

    Returns:
        Start of the schedule in seconds, on the event loop's clock.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    tasks = []
    for arrival in arrivals:
        delay_s = started_s + arrival.offset_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        roam = rng.random() < roam_share
        tasks.append(asyncio.create_task(run_arrival(pool, arrival, started_s, roam)))
    await wait_for_answers(pool, tasks)
    return started_s


async def wait_for_answers(pool: SessionPool, tasks: list[asyncio.Task]) -> None:
    """Wait up to `ANSWER_TIMEOUT_S` for requests in flight; count and cancel the rest."""
    if not tasks:
        return
    _, pending = await asyncio.wait(tasks, timeout=ANSWER_TIMEOUT_S)
    context = pool.sessions[0].context
    context.recorder.unfinished += len(pending)
    context.violations.hanging += len(pending)
    for task in pending:
        task.cancel()
