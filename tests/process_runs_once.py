#!/usr/bin/env python3
"""Soak: no task runs twice at the same time while its runners go on working.

A group of five members and two entries as separate processes, and runners behind
proxies on loopback. A seed draws faults that a working runner can cause or meet
(resets, refused connections, silence, lost and late calls, answers of a gateway),
crashes, leaves, upkeeps, and signals to members; they come in series and overlap.
Exit 1 if a task ran twice at once or was started after its end was recorded.

    BUILD=build tests/process_runs_once.py --seed 7
    BUILD=build tests/process_runs_once.py --only refuse_briefly --runners 72
"""
import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "review", "common"))
import standin  # noqa: E402

BUILD = os.path.abspath(os.environ.get("BUILD", os.path.join(os.path.dirname(HERE), "build")))
START_S = 6.0  # until all members vote and all runners have a lease
SETTLE_S = 12.0  # without faults; longer than the longest lease
MAINTENANCE_S = 2.0
RUNNER_CPU, TASK_CPU = 8000, 1900
# A call that is held up arrives this much later (seconds).
LATE_S = (2.0, 6.0)
# Lengths of one fault (seconds), around the call timeout of 0.7 s and the lease of 4.5 s.
LENGTHS_S = (0.05, 0.3, 1.0, 2.5, 5.5)


class FaultyProxy(standin.Proxy):
    """Also resets connections once, drops bytes, holds requests back, and answers
    as a gateway for a runner that has carried the call out."""

    def __init__(self, target, record):
        super().__init__(target, record)
        self.gateway_status = 0
        self.holds_requests = False

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.record("proxy at %s: connections are reset" % self.address)

    async def _serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}

        async def requests():
            while data := await reader.read(65536):
                if self.lose_requests:
                    continue
                if self.holds_requests:
                    # A held call is carried out even if its sender has gone.
                    asyncio.create_task(self._deliver_late(data))
                    continue
                far_writer.write(data)
                await far_writer.drain()
            far_writer.close()

        async def answers():
            while data := await far_reader.read(65536):
                if self.lose_answers:
                    continue
                if self.gateway_status:
                    data = b"HTTP/1.1 %d Bad Gateway\r\nContent-Length: 0\r\n\r\n" % (
                        self.gateway_status)
                writer.write(data)
                await writer.drain()
            writer.close()

        try:
            await asyncio.gather(requests(), answers())
        except OSError:
            pass
        finally:
            for end in (writer, far_writer):
                self.writers.discard(end)
                end.close()

    async def _deliver_late(self, data):
        await asyncio.sleep(random.uniform(*LATE_S))
        try:
            host, port = self.target.rsplit(":", 1)
            _, far = await asyncio.open_connection(host, int(port))
            far.write(data)
            await asyncio.sleep(1.0)
            far.close()
        except OSError:
            pass


class Runner(standin.Runner):
    """Notes when an end is recorded, and ends lapsed runs when the lease did."""

    lapsed_up_to = 0  # Ends up to this number were listed when the lease lapsed.

    async def begin(self):
        self.lapsed_up_to = 0
        await super().begin()

    def _take_lease(self, body):
        if self.clock_ms() >= self.lease_ms:
            self.lapsed_up_to = self.next_end - 1
        super()._take_lease(body)

    def _close(self, run, how):
        super()._close(run, how)
        if how == "lapsed":
            # The process may look at its runs later than the lease ends.
            ended = self.clock_zero - self.record.begin + (self.lease_ms - 1000) / 1000
            run.ended = max(run.begun, min(run.ended, ended))

    async def _answer(self, path, headers, raw):
        if path == "/v1/hold":
            # An end whose runner's lease lapsed before it was recorded does not count.
            seen = json.loads(raw).get("last_seen", 0)
            has_lease = self.clock_ms() < self.lease_ms
            for number, task, _, how, _ in self.finished:
                if has_lease and self.lapsed_up_to < number <= seen and how == "done":
                    self.group.done.setdefault(task, self.record.now())
        return await super()._answer(path, headers, raw)

    def _start(self, body):
        done = self.group.done.get(body["task"])
        status, answer = super()._start(body)
        if status == 200 and done is not None and self.running.get(body["task"]):
            self.group.started_again.append("%s run %s on %s at %.3f s, done since %.3f s" % (
                body["task"], body["run_id"], self.id, self.record.now(), done))
        return status, answer


class Group(standin.Group):
    def __init__(self, folder, **options):
        super().__init__(folder, **options)
        self.done, self.started_again = {}, []
        self.down, self.upkept, self.wave = set(), set(), 0
        self.answer_s = 0.02

    def start_process(self, name, bootstrap):
        path = self._settings(name, bootstrap)
        role = "member" if name[0] == "m" else "entry"
        with open(os.path.join(self.temp, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(BUILD, "bronzebarrow-platform"), role, "9464"],
                env={"PATH": os.environ.get("PATH", ""), "BRONZEBARROW_NODE_FILE": path},
                stdout=log, stderr=subprocess.STDOUT)
        self.record("process %s starts at %s" % (name, self.ip(name)))

    async def add_runner(self, cpu, rack="r1", behind_proxy=True):
        number = len(self.runners)
        runner = Runner(self, "%02x7f3a91" % (number + 1), "%s.%d" % (self.net, 121 + number),
                        self.ports["runner"], self.SERVICE, cpu)
        runner.preferred = number % len(self.members)
        runner.proxy = FaultyProxy(runner.address, self.record)
        runner.address = "%s.%d:%d" % (self.net, 121 + number, self.ports["cloud"])
        await runner.proxy.listen(runner.address)
        self.runners.append(runner)
        await runner.begin()
        return runner

    def serve_platform(self):
        list_machines = self.cloud.handler

        async def platform(method, path, headers, raw):
            await asyncio.sleep(self.answer_s)
            if path != "/v1/machine-upkeep":
                status, answer = await list_machines(method, path, headers, raw)
                for row in answer.get("machines", []):
                    row["state"] = "upkeep" if row["machine"] in self.down else row["state"]
                return status, answer
            machine = json.loads(raw)["machine"]
            runner = next(r for r in self.runners if r.machine == machine)
            if machine in self.down or not runner.up:
                return 409, {"reason": "busy"}
            if (machine, self.wave) not in self.upkept:
                self.upkept.add((machine, self.wave))
                self.down.add(machine)
                asyncio.create_task(self._upkeep(runner))
            await asyncio.sleep(self.answer_s)
            return 200, {}

        self.cloud.handler = platform

    async def _upkeep(self, runner):
        runner.end("upkeep")
        await asyncio.sleep(MAINTENANCE_S)
        self.down.discard(runner.machine)
        await runner.begin()


def busy(group, rng, share=0.25):
    """Some runners that are up, those with the most tasks first."""
    up = [r for r in group.runners if r.up and r.state == "ready"]
    up.sort(key=lambda r: (-len(r.running), rng.random()))
    return up[:max(1, int(len(up) * share * rng.random() + 1))]


async def reset_once(group, rng):
    for runner in busy(group, rng):
        runner.proxy.reset()


async def refuse(group, rng, length_s):
    runners = busy(group, rng)
    for runner in runners:
        runner.proxy.cut()
    await asyncio.sleep(length_s)
    for runner in runners:
        await runner.proxy.heal()


async def refuse_any(group, rng):
    await refuse(group, rng, rng.choice(LENGTHS_S))


async def refuse_briefly(group, rng):
    await refuse(group, rng, 0.3)


async def set_for(runners, field, value, length_s):
    for runner in runners:
        runner.record("%s: %s=%s for %.2f s" % (runner.id, field, value, length_s))
        setattr(runner.proxy, field, value)
    await asyncio.sleep(length_s)
    for runner in runners:
        setattr(runner.proxy, field, type(value)())


async def lose_answers(group, rng):
    await set_for(busy(group, rng), "lose_answers", True, rng.choice(LENGTHS_S))


async def lose_requests(group, rng):
    await set_for(busy(group, rng), "lose_requests", True, rng.choice(LENGTHS_S))


async def late_calls(group, rng):
    await set_for(busy(group, rng), "holds_requests", True, rng.choice(LENGTHS_S[:4]))


async def gateway(group, rng):
    # Idle runners are the ones that get the next starts.
    runners = rng.sample(group.runners, max(1, len(group.runners) // 3))
    await set_for(runners, "gateway_status", rng.choice((421, 500, 502, 504)), rng.choice((0.3, 1.0, 2.5)))


async def crash(group, rng):
    runners = busy(group, rng, 0.1)
    silent = rng.random() < 0.5
    for runner in runners:
        if silent:
            runner.fall_silent("crash, silent")
        else:
            runner.end("crash")
    await asyncio.sleep(rng.choice((0.3, 1.5, 3.0)))
    for runner in runners:
        if rng.random() < 0.3:
            runner.id += "x"  # The machine's next runner has an id of its own.
        await runner.begin()


async def leave(group, rng):
    runner = busy(group, rng, 0.01)[0]
    await runner.drain()
    await asyncio.sleep(2.2)
    runner.stop_beating()
    for _ in range(3):
        if await runner.tell("deregister", runner.leave_body):
            break
    runner.end("left")
    await asyncio.sleep(1.5)
    runner.id += "y"
    await runner.begin()


async def upkeep_wave(group, rng):
    group.wave += 1
    machines = [r.machine for r in rng.sample(group.runners, 3)]
    group.answer_s = rng.choice((0.02, 1.0))
    await standin.call("POST", rng.choice(group.controls), "/v1/wave-start",
                       {"wave": group.wave, "machines": machines, "complete_by_s": 20, "cap": 2})
    await asyncio.sleep(6)


async def signal_member(group, rng):
    alive = [n for n in group.members if group.processes[n].poll() is None]
    if len(alive) < len(group.members):
        return  # One member at a time: the group has to keep its majority.
    try:
        name = await asyncio.wait_for(group.leader(), 3) if rng.random() < 0.6 else rng.choice(alive)
    except (standin.NotRun, asyncio.TimeoutError):
        return
    process = group.processes[name]
    number = rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP, signal.SIGSTOP))
    group.send_signal(name, number)
    if number == signal.SIGSTOP:
        await asyncio.sleep(rng.choice(LENGTHS_S))
        group.send_signal(name, signal.SIGCONT)
        return
    while process.poll() is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    group.start_process(name, False)


FAULTS = {f.__name__: f for f in (
    reset_once, refuse_any, refuse_briefly, lose_answers, lose_requests, late_calls, gateway,
    crash, leave, upkeep_wave, signal_member)}


async def press(group, rng, until_s):
    """Submits jobs that keep about half of the runners' room in use."""
    count = 0
    while group.record.now() < until_s:
        work_ms = rng.choice((700, 1500, 4000))
        steps = [{"count": rng.randint(3, 8), "cpu": TASK_CPU, "mem_mb": 512, "estimate_ms": work_ms}]
        try:
            await group.submit(steps, "work_ms=%d" % work_ms)
            count += 1
        except standin.NotRun:
            pass
        await asyncio.sleep(3.2 / len(group.runners) * rng.uniform(0.5, 1.5))
    return count


async def inject(group, rng, only, until_s):
    running = []
    busy_faults = set()
    while group.record.now() < until_s:
        name = only or rng.choice(sorted(FAULTS))
        if name not in busy_faults:
            group.record("fault %s" % name)
            busy_faults.add(name)
            fault = asyncio.create_task(FAULTS[name](group, rng))
            fault.add_done_callback(lambda _, n=name: busy_faults.discard(n))
            running.append(fault)
        await asyncio.sleep(rng.choice((0.1, 0.7, 1.5, 3.0)))
    results = await asyncio.gather(*running, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            group.record("fault could not be played: %r" % result)


def judge(group):
    """Cases of TWICE: groups of doubles by the moment at which they began."""
    by_task, doubles, now = {}, [], group.record.now()
    for run in group.runs:
        by_task.setdefault(run.task, []).append(run)
    for runs in by_task.values():
        for i, first in enumerate(runs):
            for second in runs[i + 1:]:
                begun = max(first.begun, second.begun)
                overlap = min(first.ended or now, second.ended or now) - begun
                if overlap > standin.MIN_OVERLAP_S:
                    doubles.append((begun, overlap, first, second))
    doubles.sort(key=lambda double: double[0])
    for begun, overlap, first, second in doubles:
        print("%9.3f  TWICE for %.3f s: %s | %s" % (begun, overlap, first.text(), second.text()))
    for text in group.started_again:
        print("TWICE after its end was recorded: " + text)
    return len(doubles) + len(group.started_again)


async def play(args, folder):
    rng = random.Random(args.seed)
    random.seed(args.seed)
    group = Group(folder)
    try:
        await group.begin(runners=0)
        group.serve_platform()
        for _ in range(args.runners):
            await group.add_runner(RUNNER_CPU)
        await asyncio.sleep(START_S)
        ends = group.record.now() + args.seconds
        jobs = asyncio.create_task(press(group, rng, ends))
        await asyncio.sleep(2)
        await inject(group, rng, args.only, ends)
        count = await jobs
        await asyncio.sleep(SETTLE_S)
        broken = judge(group)
        how = {}
        for run in group.runs:
            how[run.how] = how.get(run.how, 0) + 1
        print("seed %d: %d jobs, %d runs, ends %s, TWICE %d, record %s" % (
            args.seed, count, len(group.runs), how, broken, folder))
        if count == 0 or not how.get("done"):
            print("nothing has run")
            return 2
        return 1 if broken else 0
    finally:
        group.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=30.0, help="length of the faults")
    parser.add_argument("--runners", type=int, default=16)
    parser.add_argument("--only", choices=sorted(FAULTS), help="one kind of fault")
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="runs-once-")
    code = asyncio.run(play(args, folder))
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
