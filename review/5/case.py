"""A deregister that was held up by a frozen member arrives after its runner has
ended and started again under the same id."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import TROUBLE, main  # noqa: E402

FREEZE_S = 4.0


async def scenario(group):
    await group.begin(runners=4, cpu=8000)
    leader = await group.leader()
    follower = next(name for name in group.members if name != leader)
    group.record("leader %s, follower %s" % (leader, follower))
    runner = group.runners[0]
    runner.preferred = group.members.index(follower)

    # A planned restart of the runner: it drains for drain_ms, leaves, starts again.
    await runner.drain()
    await asyncio.sleep(2.5)
    runner.stop_beating()  # no heartbeat follows the deregister
    if TROUBLE:
        group.send_signal(follower, signal.SIGSTOP)
    frozen_at = group.record.now()
    await runner.tell("deregister", runner.leave_body)
    runner.end("left")
    await asyncio.sleep(0.2)
    await runner.begin()

    # Each runner has room for one of the tasks, and one runner stays free.
    await asyncio.sleep(0.5)
    await group.submit([{"count": 3, "cpu": 5000, "mem_mb": 512, "estimate_ms": 8000}],
                       "work_ms=8000")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - group.record.now()))
    if TROUBLE:
        group.send_signal(follower, signal.SIGCONT)
    await asyncio.sleep(14)
    return group.judge_twice()


main(HERE, scenario)
