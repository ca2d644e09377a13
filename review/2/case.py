"""Two runners, one after the other, crash and fall silent while they run nothing.
A job whose start is sent to each of them, and begun by neither, is given up."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import TROUBLE, main  # noqa: E402

LONGEST_CRASH_S = 4.5  # srv_crash dark of the site: for_s = 4.5


async def next_hold(runner):
    seen = runner.holds
    while runner.holds == seen:
        await asyncio.sleep(0.005)


async def scenario(group):
    await group.begin(runners=6, cpu=8000)
    # Long tasks fill these six runners; two more join, so that one of the eight
    # crashes at a time.
    await group.submit([{"count": 6, "cpu": 7000, "mem_mb": 512, "estimate_ms": 60000}],
                       "work_ms=60000")
    await asyncio.sleep(1)
    first, second = [await group.add_runner(cpu=8000) for _ in range(2)]
    await asyncio.sleep(4)

    await next_hold(first)
    await asyncio.sleep(0.05)
    begun = group.record.now()
    if TROUBLE:
        first.fall_silent("crashed, dark")
    job = await group.submit([{"count": 1, "cpu": 5000, "mem_mb": 512, "estimate_ms": 1000}],
                             "work_ms=1000")
    if TROUBLE:
        await asyncio.sleep(max(0.0, begun + 1.3 - group.record.now()))
        await next_hold(second)
        await asyncio.sleep(0.05)
        second.fall_silent("crashed, dark")
        second_at = group.record.now()
        group.record("the first one was away for %.3f s" % (group.record.now() - begun))
        await first.begin()
        await asyncio.sleep(max(0.0, second_at + 4.0 - group.record.now()))
        await second.begin()
    state = None
    end = group.record.now() + 15
    while group.record.now() < end:
        answer = await group.ask("GET", job)
        if answer and answer[0] == 200:
            state = answer[1]["state"]
            if state in ("failed", "completed"):
                break
        await asyncio.sleep(0.5)
    runs = [run for run in group.runs if run.task.startswith(job)]
    group.record("job %s is shown as %s; runs of its task: %d" % (job, state, len(runs)))
    for run in runs:
        group.record("  " + run.text())
    crashed_under = [run for run in runs if run.how == "ended with its runner"]
    return state == "failed" and len(crashed_under) < 2 and not any(
        run.how == "failed" for run in runs)


main(HERE, scenario)
