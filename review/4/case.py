"""A runner that drains is cut off one way: what it sends arrives, what is sent to
it doesn't. Its deregister arrives, the acknowledgement is lost, and it ends some
seconds later."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import TROUBLE, Proxy, main  # noqa: E402

CUT_S = 5.0
ENDS_ANYWAY_S = 2.0


async def scenario(group):
    await group.begin(runners=0)
    for _ in range(8):
        await group.add_runner(cpu=8000, behind_proxy=True)
    runner = group.runners[0]
    # The runner keeps a connection to one of the members open, through a proxy.
    proxy = Proxy(group.controls[0], group.record)
    await proxy.listen(group.spare_address(20))
    runner.nodes = [proxy.address] + group.controls[1:]
    runner.preferred = 0
    await asyncio.sleep(4)
    # Each runner has room for one of the tasks; four runners stay free.
    await group.submit([{"count": 4, "cpu": 5000, "mem_mb": 512, "estimate_ms": 12000}],
                       "work_ms=12000")
    await asyncio.sleep(1)

    await runner.drain()
    await asyncio.sleep(2.5)  # drain_ms and a little longer
    if TROUBLE:
        group.record("%s is cut off one way" % runner.id)
        runner.opens_none = True
        runner.proxy.lose_requests = proxy.lose_answers = True
    cut_at = group.record.now()
    await asyncio.sleep(0.5)
    runner.stop_beating()  # no heartbeat follows the deregister
    status = await runner.lines[proxy.address].call(
        "/v1/instances/%s/deregister" % runner.id, runner.leave_body())
    group.record("%s deregister: %s" % (runner.id, status or "no answer"))
    if status != 200:
        await asyncio.sleep(ENDS_ANYWAY_S)
    runner.end("left")
    await asyncio.sleep(max(0.0, cut_at + CUT_S - group.record.now()))
    runner.proxy.lose_requests = proxy.lose_answers = False
    await asyncio.sleep(14)
    return group.judge_twice()


main(HERE, scenario)
