"""Jobs whose runners crashed before they began are missing in the queue's waiting_count."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "11"))
import standin  # noqa: E402

OLD_S = 5  # visible_ms + 2 s
DOWN_S = 14
RUNNERS, IDLE = 29, 4
FULL = [{"count": 1, "cpu": 16000, "mem_mb": 256, "estimate_ms": 500, "long_running": True}]
STEPS = [{"count": 1, "cpu": 16000, "mem_mb": 256, "estimate_ms": 500}]


async def case(group, trouble):
    await group.begin(runners=RUNNERS)
    lasting = group.route("r-first", "/puxa400/")
    queue = group.route("r-second", "/kafi706/")
    await group.put_config(group.config(7, [lasting, queue]))
    await asyncio.sleep(6)
    # Tasks that last fill all runners but four.
    for _ in range(RUNNERS - IDLE):
        if await group.submit(lasting, FULL, "work_ms=500", tries=20) is None:
            raise standin.CannotRun("a job was not accepted")
    await asyncio.sleep(3)
    idle = [runner for runner in group.runners if not runner.running]
    group.record("idle runners: %s" % [runner.id for runner in idle])
    if len(idle) != IDLE:
        raise standin.CannotRun("%d runners are idle, not %d" % (len(idle), IDLE))
    if trouble:
        # The disruption: the idle runners are lost for good, and silent. Jobs come just then.
        for runner in idle:
            runner.go_dark()
    accepted = await asyncio.gather(*[group.submit(queue, STEPS, "work_ms=500") for _ in range(IDLE)])
    if None in accepted:
        raise standin.CannotRun("a job was not accepted")
    ends, worst = group.record.now() + DOWN_S, None
    while group.record.now() < ends:
        asked = group.record.now()
        old = [job for job in accepted if asked > group.jobs[job]["accepted"] + OLD_S
               and not any(run.task.startswith(job) for run in group.runs)]
        status, answer = await group.client("GET", "e1", queue["path_prefix"])
        old = [job for job in old if not any(run.task.startswith(job) for run in group.runs)]
        if status == 200 and answer["waiting_count"] < len(old) / 2:
            worst = worst or (asked, answer["waiting_count"], len(old))
        await asyncio.sleep(0.5)
    for job in accepted:
        group.record("job %s: %s" % (job, await group.state(job)))
    return [] if worst is None else [
        "MIXED: at %.3f s waiting_count is %d, and %d jobs that were accepted over %d s before "
        "haven't begun" % (*worst, OLD_S)]


standin.play(case, HERE)
