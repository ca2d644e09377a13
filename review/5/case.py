"""The platform answers slowly during a wave, and the leader is stopped as planned
while an upkeep is over but not yet recorded as done. The next leader asks for the
upkeep again and takes the answer, that it is already done, for a new one."""
import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import TROUBLE, call, main  # noqa: E402

ANSWER_S = 0.02  # the platform's answers on a calm day
SLOWER = 50  # cloud_slow: x (50)
MAINTENANCE_S = 2.0


async def until(condition, limit_s):
    for _ in range(int(limit_s / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)


async def scenario(group):
    await group.begin(runners=4, cpu=8000)
    down, done = set(), set()

    async def upkeep(machine):
        runner = next(r for r in group.runners if r.machine == machine)
        runner.end("upkeep")
        await asyncio.sleep(MAINTENANCE_S)
        down.discard(machine)
        done.add(machine)
        await runner.begin()

    list_machines = group.cloud.handler

    async def platform(method, path, headers, raw):
        if path != "/v1/machine-upkeep":
            return await list_machines(method, path, headers, raw)
        body = json.loads(raw)
        machine = body["machine"]
        if machine in down:
            answer = 409, {"reason": "busy"}
        else:
            answer = 200, {}
            if machine not in done:
                down.add(machine)
                asyncio.create_task(upkeep(machine))
        group.record("platform: upkeep of %s, holder %s, token %s: %d" % (
            machine, headers["bronzebarrow-duty-holder"],
            headers["bronzebarrow-fencing-token"], answer[0]))
        await asyncio.sleep(ANSWER_S * (SLOWER if TROUBLE else 1))
        return answer

    group.cloud.handler = platform
    # Four runners are full for seven seconds, the fifth has its upkeep.
    await group.submit([{"count": 4, "cpu": 7000, "mem_mb": 512, "estimate_ms": 7000}],
                       "work_ms=7000")
    await asyncio.sleep(0.3)
    runner = await group.add_runner(cpu=8000)
    await asyncio.sleep(1.5)
    answer = await call("POST", group.controls[0], "/v1/wave-start",
                        {"wave": 1, "machines": [runner.machine], "complete_by_s": 20, "cap": 1})
    group.record("operator: wave 1: %s" % (answer,))
    await until(lambda: not runner.up, 5)
    await until(lambda: runner.up, 5)
    await group.submit([{"count": 1, "cpu": 7000, "mem_mb": 512, "estimate_ms": 12000}],
                       "work_ms=12000")
    await until(lambda: runner.running, 5)
    await asyncio.sleep(0.2)
    leader = await group.leader()
    group.send_signal(leader, signal.SIGTERM)
    await until(lambda: group.processes[leader].poll() is not None, 6)
    group.start_process(leader, False)
    await asyncio.sleep(16)
    wave = await call("GET", group.controls[0], "/v1/wave-get/1")
    group.record("operator: wave 1: %s" % (wave,))
    return group.judge_twice()


main(HERE, scenario)
