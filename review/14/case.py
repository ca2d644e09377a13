"""A route is removed and comes back under another name; its accepted jobs are never finished."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "11"))
import standin  # noqa: E402

FINISH_S = 14  # finish_s of the settings
LOST_S = 3  # RULES.md, LOST: for 3 s a job has nothing running
GONE_S = 5  # From the removal of the route to its return.
STEPS = [{"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": 1500},
         {"count": 2, "cpu": 2000, "mem_mb": 256, "estimate_ms": 1500, "depends_on": [0]}]


async def case(group, trouble):
    await group.begin(runners=8)
    first = group.route("r-first", "/puxa400/")
    second = group.route("r-second", "/kafi706/")
    await group.put_config(group.config(7, [first, second]))
    await asyncio.sleep(6)
    accepted = []
    for number in range(8):
        accepted.append(await group.submit((first, second)[number % 2], STEPS, "work_ms=1500"))
    if None in accepted:
        raise standin.CannotRun("a job was not accepted")
    await asyncio.sleep(0.5)
    if trouble:
        await group.put_config(group.config(9, [first]))
        await asyncio.sleep(GONE_S)
        if os.environ.get("RETURN", "1") != "0":
            await group.put_config(group.config(11, [first, group.route("r-third", "/kafi706/")]))
    else:
        await asyncio.sleep(GONE_S)
    await asyncio.sleep(FINISH_S)
    broken, now = [], group.record.now()
    room = sum(runner.capacity["cpu"] for runner in group.runners)
    busy = sum(run.step["cpu"] for run in group.runs if run.ended is None or run.ended > now - LOST_S)
    group.record("in the last %d s at most %d of %d thousandths of a core were in use" % (
        LOST_S, busy, room))
    for job in accepted:
        state = await group.state(job)
        runs = [run for run in group.runs if run.task.startswith(job)]
        done = sum(run.how == "done" for run in runs)
        last = max((run.ended or now for run in runs), default=group.jobs[job]["accepted"])
        if done < 6 and now - last > LOST_S and 2 * busy < room:
            broken.append("LOST: job %s, accepted at %.3f s, is shown as %s; %d of its 6 tasks are done, "
                          "and nothing of it has run for %.1f s" % (
                              job, group.jobs[job]["accepted"], state, done, now - last))
    return broken


standin.play(case, HERE)
