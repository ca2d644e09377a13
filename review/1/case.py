"""A runner is cut off from the members for some seconds: open connections to it
are reset, new ones are refused. It runs on until its lease ends."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import TROUBLE, main  # noqa: E402

CUT_S = 5.5


async def scenario(group):
    await group.begin(runners=0)
    runners = [await group.add_runner(cpu=8000, behind_proxy=True) for _ in range(8)]
    await asyncio.sleep(4)
    # Each runner has room for one of the tasks; four runners stay free.
    await group.submit([{"count": 4, "cpu": 5000, "mem_mb": 512, "estimate_ms": 12000}],
                       "work_ms=12000")
    await asyncio.sleep(2)
    runner = next(r for r in runners if r.running)
    if TROUBLE:
        group.record("%s is cut off" % runner.id)
        runner.is_cut_off = True
        runner.proxy.cut()
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        runner.is_cut_off = False
        await runner.proxy.heal()
    await asyncio.sleep(14)
    return group.judge_twice()


main(HERE, scenario)
