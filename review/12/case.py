"""A start that gets no answer is carried out late, after a crash and a restart of its runner."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "11"))
import standin  # noqa: E402

WORK_MS = 5000
CRASH_S = 0.4  # From the start that gets no answer to the crash.
BACK_S = 2.0  # From the crash to the next life, under the same id.
LATE_S = 4.0  # From the start that gets no answer to its being carried out.
STEPS = [{"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": WORK_MS}]


async def case(group, trouble):
    await group.begin(runners=8)
    queue = group.route("r-first", "/puxa400/")
    await group.put_config(group.config(7, [queue]))
    await asyncio.sleep(6)
    held = []

    async def hold_up(runner, path, headers, body):
        if not trouble or held or path != "/v1/run-start":
            return None
        held.append(runner)
        group.record("runner %s: start of %s run %d is held up: %s" % (
            runner.id, body["task"], body["run_id"], body))
        asyncio.ensure_future(disrupt(runner, path, headers, body))
        await asyncio.sleep(LATE_S)
        return "drop"

    async def disrupt(runner, path, headers, body):
        await asyncio.sleep(CRASH_S)
        runner.crash()
        await asyncio.sleep(BACK_S)
        await runner.begin()
        await asyncio.sleep(LATE_S - CRASH_S - BACK_S)
        group.record("runner %s: the start that was held up arrives" % runner.id)
        await runner.carry_out(path, headers, body)

    for runner in group.runners:
        runner.filter = lambda path, headers, body, r=runner: hold_up(r, path, headers, body)
    job = await group.submit(queue, STEPS, "work_ms=%d" % WORK_MS)
    if job is None:
        raise standin.CannotRun("the job was not accepted")
    await asyncio.sleep(LATE_S + WORK_MS / 1000 + 4)
    state = await group.state(job)
    group.record("the job is shown as %s" % state)
    if trouble and not held:
        raise standin.CannotRun("no start was sent")
    for run in group.runs:
        group.record("run: " + run.text())
    return ["TWICE: " + text for text in group.twice()]


standin.play(case, HERE)
