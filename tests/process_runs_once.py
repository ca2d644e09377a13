#!/usr/bin/env python3
"""Soak: no task runs twice at the same time while its runners go on working.

A group of five members and two entries as separate processes, and runners behind
proxies on loopback. A seed draws faults that a working runner can cause or meet
(resets, refused connections, silence, lost and late calls, answers of a gateway),
crashes, leaves, upkeeps, moves, addresses and times of day that change, a silent
platform, and signals to members; they come in series and overlap. Exit 1 if a task
ran twice at once or was started after its end was recorded; the members' logs stay.

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
MAINTENANCE_S, MOVE_S, ADDRESS_REUSE_S = 2.0, 1.5, 2.0
RUNNER_CPU, TASK_CPU = 8000, 1900
SECOND_SERVICE, SECOND_PREFIX = "wuno96b", "/kafi706/"
# A call that is held up arrives this much later (seconds).
LATE_S = (2.0, 6.0)
# Lengths of one fault (seconds), around the call timeout of 0.7 s and the lease of 4.5 s.
LENGTHS_S = (0.05, 0.3, 1.0, 2.5, 5.5)


class FaultyProxy(standin.Proxy):
    """Also resets connections once, drops bytes, holds requests back, and answers
    as a gateway for a runner that has carried the call out."""

    def __init__(self, target, record):
        super().__init__(target, record)
        self.gateway_status, self.holds_requests = 0, False
        self.healing = asyncio.Lock()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.record("proxy at %s: connections are reset" % self.address)

    async def heal(self):
        async with self.healing:  # Faults that overlap may have cut it twice.
            if not self.server.is_serving():
                await super().heal()

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
    set_back_ms = 0  # The machine's time of day is behind by this much.
    steady_born = 0

    @property
    def born(self):
        return self.steady_born - self.set_back_ms

    @born.setter
    def born(self, value):
        self.steady_born = value

    async def _beat(self):
        life = self.steady_born
        while self.up and self.steady_born == life:
            await asyncio.gather(self.tell("heartbeat", self.beat_body),
                                 asyncio.sleep(standin.HEARTBEAT_S))

    async def begin(self):
        if self.up:
            self.end("replaced")  # A machine has one runner at a time.
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
        if not self.up:  # A server that is closed may still hand a new connection over.
            raise OSError("the runner has ended")
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
        self.down, self.upkept, self.wave = {}, set(), 0
        self.answer_s = 0.02
        self.prefix = self.PREFIX  # the queue that jobs go to
        self.platform_works = asyncio.Event()
        self.platform_works.set()

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
            if path.startswith("/v1/machines"):
                status, answer = await list_machines(method, path, headers, raw)
                for row in answer.get("machines", []):
                    row["state"] = self.down.get(row["machine"], row["state"])
            else:
                status, answer = self._operate(path, json.loads(raw))
                self.record("platform: %s %s: %d" % (path, raw.decode(), status))
            await self.platform_works.wait()
            await asyncio.sleep(self.answer_s)
            return status, answer

        self.cloud.handler = platform

    def _operate(self, path, body):
        machine, pool = body["machine"], body.get("pool")
        runner = next(r for r in self.runners if r.machine == machine)
        is_move = path == "/v1/machine-move"
        is_done = runner.service == pool if is_move else (machine, body["wave"]) in self.upkept
        if machine in self.down or not runner.up or runner.state != "ready":
            return 409, {"reason": "busy"}
        if not is_done:
            if is_move:
                runner.service = pool
            else:
                self.upkept.add((machine, body["wave"]))
            self.down[machine] = "moving" if is_move else "upkeep"
            runner.end(self.down[machine])
            asyncio.create_task(self._return(runner, MOVE_S if is_move else MAINTENANCE_S))
        return 200, {}

    async def _return(self, runner, pause_s):
        await asyncio.sleep(pause_s)
        del self.down[runner.machine]
        runner.id += random.choice(("", "m"))  # It may have an id of its own.
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
    proxies = [runner.proxy for runner in busy(group, rng)]
    for proxy in proxies:
        proxy.cut()
    await asyncio.sleep(length_s)
    for proxy in proxies:
        await proxy.heal()


async def refuse_any(group, rng):
    await refuse(group, rng, rng.choice(LENGTHS_S))


async def refuse_briefly(group, rng):
    await refuse(group, rng, 0.3)


async def set_for(runners, field, value, length_s):
    proxies = [runner.proxy for runner in runners]
    for runner in runners:
        runner.record("%s: %s=%s for %.2f s" % (runner.id, field, value, length_s))
        setattr(runner.proxy, field, value)
    await asyncio.sleep(length_s)
    for proxy in proxies:
        setattr(proxy, field, type(value)())


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


def end_by_crash(runner, silent):
    if silent:
        runner.fall_silent("crash, silent")
    else:
        runner.end("crash")


async def crash(group, rng):
    runners = busy(group, rng, 0.1)
    silent = rng.random() < 0.5
    for runner in runners:
        end_by_crash(runner, silent)
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


async def set_clock_back(group, rng):
    """A machine's next runner has an earlier start time, and is cut off while it works."""
    runner = busy(group, rng, 0.01)[0]
    end_by_crash(runner, rng.random() < 0.5)
    await asyncio.sleep(rng.choice((0.3, 1.5)))
    runner.id += "z"
    runner.set_back_ms += 60000
    await runner.begin()
    await asyncio.sleep(rng.choice((0.5, 1.6, 3.0)))
    for _ in range(3):
        runner.proxy.cut()
        await asyncio.sleep(0.3)
        await runner.proxy.heal()
        await asyncio.sleep(1.0)


async def swap_addresses(group, rng):
    """Two runners end, and the next ones of their machines have each other's address."""
    runners = busy(group, rng, 1.0)[:2]
    if len(runners) < 2:
        return
    for runner in runners:
        end_by_crash(runner, rng.random() < 0.5)
    await asyncio.sleep(ADDRESS_REUSE_S)
    first, second = runners
    first.proxy, second.proxy = second.proxy, first.proxy
    first.address, second.address = second.address, first.address
    is_same_id = rng.random() < 0.5
    for runner in runners:
        runner.proxy.target = "%s:%d" % (runner.host, runner.port)
        runner.id += "" if is_same_id else "w"
        await runner.begin()


async def move_machines(group, rng):
    """The demand shifts to a second pool and back; the platform answers slowly."""
    if len(group.services) == 1:
        group.services = group.services + [dict(group.services[0], name=SECOND_SERVICE)]
        group.routes = group.routes + [
            group.route("r-second", SECOND_PREFIX, service=SECOND_SERVICE)]
        await group.put_config(group.config(8, group.routes))
    group.answer_s = rng.choice((0.02, 0.5, 1.5))
    group.prefix = SECOND_PREFIX
    await asyncio.sleep(6)
    group.prefix = group.PREFIX
    await asyncio.sleep(4)
    group.answer_s = 0.02


async def silent_platform(group, rng):
    """The platform carries requests out and answers none; runners are cut off."""
    group.platform_works.clear()
    try:
        await refuse(group, rng, 0.3)
        await asyncio.sleep(rng.choice((1.5, 3.0, 6.0)))
    finally:
        group.platform_works.set()


async def stop_leader_again(group, rng):
    for _ in range(rng.randint(3, 6)):
        if any(process.poll() is not None for process in group.processes.values()):
            return  # The group has to keep its majority.
        try:
            name = await asyncio.wait_for(group.leader(), 3)
        except (standin.NotRun, asyncio.TimeoutError):
            return
        group.send_signal(name, signal.SIGSTOP)
        for _ in range(3):
            for runner in busy(group, rng):
                runner.proxy.reset()
            await asyncio.sleep(rng.uniform(0.1, 0.33))
        group.send_signal(name, signal.SIGCONT)
        await asyncio.sleep(rng.choice((0.1, 0.5, 1.5)))


FAULTS = {f.__name__: f for f in (
    reset_once, refuse_any, refuse_briefly, lose_answers, lose_requests, late_calls, gateway,
    crash, leave, upkeep_wave, signal_member, set_clock_back, swap_addresses, move_machines,
    silent_platform, stop_leader_again)}


async def press(group, rng, until_s):
    """Submits jobs that keep about half of the runners' room in use."""
    count = 0
    while group.record.now() < until_s:
        work_ms = rng.choice((700, 1500, 4000))
        steps = [{"count": rng.randint(3, 8), "cpu": TASK_CPU, "mem_mb": 512, "estimate_ms": work_ms}]
        try:
            await group.submit(steps, "work_ms=%d" % work_ms, group.prefix)
            count += 1
        except standin.NotRun:
            pass
        await asyncio.sleep(3.2 / len(group.runners) * rng.uniform(0.5, 1.5))
    return count


async def inject(group, rng, only, until_s):
    running = []
    busy_faults = set()
    while group.record.now() < until_s:
        name = only[0] if len(only) == 1 else rng.choice(only or sorted(FAULTS))
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
        if broken:
            os.environ["KEEP"] = "1"  # Group.end() then leaves the members' logs in place.
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
    parser.add_argument("--only", nargs="+", choices=sorted(FAULTS), default=[], help="kinds of faults")
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="runs-once-")
    # asyncio.run() waits for all tasks, and wait_for() may swallow their cancelling.
    code = asyncio.new_event_loop().run_until_complete(play(args, folder))
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
