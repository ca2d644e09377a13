#!/usr/bin/env python3
"""Soak: each job ends at a service of the address that it was submitted to.

Members, entries and runners as in process_runs_once.py, with two services. A seed
draws series of configurations in which the routes of three prefixes exchange their
names, take names that were used before, are away for one or several versions and come
back, one of them with another service, beside signals to members and faults of
runners. Exit 1 if a task started at a service that no configuration gave to its
prefix, an accepted job was not found or not completed in the end, a job was shown as
running or left out of the count of waiting jobs without a start, or a task ran twice.

    BUILD=build tests/process_route_series.py --seed 7
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile
import time

import process_runs_once as runs_once
from process_runs_once import standin

SERVICES = ("huvo11a", "wuno96b")
PREFIXES = ("/puxa400/", "/kafi706/", "/dive210/")
NAMES = ("r-first", "r-second", "r-third", "r-fourth")
FAULTS = ("signal_member", "crash", "refuse_any", "lose_answers")
VISIBLE_S, COUNT_AGE_S = 3.0, 2.0
FINISH_S = 25.0  # Longer than leases, and than the work of all jobs that wait.


class Runs(list):
    """Notes the service of the runner at each start."""

    def append(self, run):
        run.service = run.at.service
        super().append(run)


class Group(runs_once.Group):
    def __init__(self, folder):
        super().__init__(folder)
        self.runs = Runs()
        self.services = [dict(self.services[0], name=name) for name in SERVICES]
        self.version, self.in_force = 6, set()
        self.services_of = {prefix: set() for prefix in PREFIXES}
        self.accepted, self.cancelled, self.violations = {}, set(), []

    async def configure(self, routes):
        """`routes`: name, prefix and service of each."""
        self.version += 2
        self.in_force &= {prefix for _, prefix, _ in routes}
        for _, prefix, service in routes:
            self.services_of[prefix].add(service)
        self.record("config %d: %s" % (self.version, routes))
        await self.put_config(self.config(self.version, [
            self.route(name, prefix, service=service) for name, prefix, service in routes]))
        self.in_force = {prefix for _, prefix, _ in routes}

    def violation(self, text):
        self.record(text)
        self.violations.append(text)

    def begun(self):
        return {run.task.split(".")[0] for run in self.runs}


def draw_routes(rng):
    names = rng.sample(NAMES, len(NAMES))
    services = (SERVICES[0], SERVICES[1], rng.choice(SERVICES))
    return [(names[i], PREFIXES[i], services[i]) for i in range(3) if rng.random() < 0.67]


async def change_routes(group, rng, until_s):
    while group.record.now() < until_s:
        await group.configure(draw_routes(rng))
        await asyncio.sleep(rng.choice((0.1, 0.5, 1.5, 3.0)))


async def submit(group, prefix, steps, work_ms):
    job = "%016x" % random.getrandbits(64)
    spec = "work_ms=%d" % work_ms
    group.jobs[job] = {"steps": steps, "spec": spec, "prefix": prefix}
    for number in range(8):
        answer = await group.ask("POST", job, number, {"spec": spec, "steps": steps}, prefix)
        if answer and answer[0] == 200:
            group.accepted[job] = group.record.now()
        if answer and answer[0] in (200, 404, 429):
            return
        await asyncio.sleep(0.2)


async def press(group, rng, until_s):
    """Submits jobs of two steps that use the runners' room, and more by turns."""
    tasks = []
    while group.record.now() < until_s:
        work_ms = rng.choice((500, 1500))
        step = {"count": rng.randint(2, 6), "cpu": runs_once.TASK_CPU, "mem_mb": 512, "estimate_ms": work_ms}
        tasks.append(asyncio.create_task(submit(
            group, rng.choice(PREFIXES), [step, dict(step, count=2, depends_on=[0])], work_ms)))
        at_peak = int(group.record.now()) % 8 < 2
        await asyncio.sleep(rng.uniform(0.02, 0.1) if at_peak else rng.uniform(0.1, 0.5))
    await asyncio.gather(*tasks)


async def cancel_some(group, rng, until_s):
    while group.record.now() < until_s:
        await asyncio.sleep(rng.uniform(0.5, 1.5))
        jobs = [job for job in group.accepted if job not in group.cancelled]
        if jobs:
            job = rng.choice(jobs[-10:])
            group.cancelled.add(job)
            await group.ask("DELETE", job, rng.randint(0, 1), None, group.jobs[job]["prefix"])


async def check_answers(group, rng, until_s):
    """Compares counts and states with what has begun at the runners."""
    while group.record.now() < until_s:
        prefix = rng.choice(PREFIXES)
        old = [job for job, accepted in group.accepted.items()
               if group.jobs[job]["prefix"] == prefix
               and group.record.now() > accepted + VISIBLE_S + COUNT_AGE_S]
        was_in_force = prefix in group.in_force
        answer = await group.ask("GET", "", rng.randint(0, 1), None, prefix)
        waiting = [job for job in old if job not in group.begun() | group.cancelled]
        if answer and answer[0] == 200 and answer[1]["waiting_count"] < len(waiting):
            group.violation("MIXED: waiting_count of %s is %s, %d jobs have not begun" % (
                prefix, answer[1], len(waiting)))
        if old and was_in_force:
            job = rng.choice(old)
            answer = await group.ask("GET", job, rng.randint(0, 1), None, prefix)
            if answer and answer[0] == 200 and answer[1]["state"] == "running" and job not in group.begun():
                group.violation("MIXED: %s is shown as running and has not begun" % job)
            if answer and answer[0] == 410:
                group.violation("LOST: %s is not known" % job)
        await asyncio.sleep(0.1)


async def judge(group):
    for run in group.runs:
        prefix = group.jobs[run.task.split(".")[0]]["prefix"]
        if run.service not in group.services_of[prefix]:
            group.violation("ROUTE: %s of %s at %s" % (run.text(), prefix, run.service))
    for job in set(group.accepted) - group.cancelled:
        for number in range(6):
            answer = await group.ask("GET", job, number, None, group.jobs[job]["prefix"])
            if answer and answer[0] in (200, 410):
                break
            await asyncio.sleep(0.3)
        if not answer or answer[0] != 200 or answer[1]["state"] != "completed":
            group.violation("LOST: %s of %s: %s" % (job, group.jobs[job]["prefix"], answer))
    for prefix in PREFIXES:
        answer = await group.ask("GET", "", 0, None, prefix)
        if answer and answer[0] == 200 and answer[1]["waiting_count"] != 0:
            group.violation("MIXED: waiting_count of %s is %s in the end" % (prefix, answer[1]))


async def play(args, folder):
    rng = random.Random(args.seed)
    random.seed(args.seed)
    group = Group(folder)
    try:
        await group.begin(runners=0)
        group.serve_platform()
        for number in range(args.runners):
            group.SERVICE = SERVICES[number % 2]
            await group.add_runner(runs_once.RUNNER_CPU)
        await group.configure([(NAMES[i], PREFIXES[i], SERVICES[i % 2]) for i in range(3)])
        await asyncio.sleep(runs_once.START_S)
        ends = group.record.now() + args.seconds
        await asyncio.gather(
            press(group, rng, ends), change_routes(group, rng, ends), cancel_some(group, rng, ends),
            check_answers(group, rng, ends), runs_once.inject(group, rng, FAULTS, ends))
        names = rng.sample(NAMES, len(NAMES))
        await group.configure([(names[i], PREFIXES[i], SERVICES[i % 2]) for i in range(3)])
        await asyncio.sleep(FINISH_S)
        await judge(group)
        twice = runs_once.judge(group)
        for text in group.violations:
            print(text)
        if twice or group.violations:
            os.environ["KEEP"] = "1"  # Group.end() then leaves the members' logs in place.
        print("seed %d: %d jobs sent, %d accepted, %d cancelled, %d runs, %d configurations, "
              "violations %d, TWICE %d, record %s" % (
                  args.seed, len(group.jobs), len(group.accepted), len(group.cancelled), len(group.runs),
                  group.version // 2 - 3, len(group.violations), twice, folder))
        if not group.accepted or not group.runs:
            print("nothing has run")
            return 2
        return 1 if twice or group.violations else 0
    finally:
        group.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=30.0, help="length of the series")
    parser.add_argument("--runners", type=int, default=12)
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="route-series-")
    code = asyncio.new_event_loop().run_until_complete(play(args, folder))
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
