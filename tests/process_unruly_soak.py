#!/usr/bin/env python3
"""Crowds of unruly clients in series and overlapping, while processes come and go.

Three members and some entries run on loopback with small limits. Crowds keep using their
connections until the process is gone; meanwhile processes get signals, are killed and
start again, and the configuration changes. Checks that no process ends by itself, that
each stays within its memory and descriptors, that accepted jobs are still known, and that
an ordinary job is accepted at the end. What happens when is drawn from the seed.

    BUILD=build tests/process_unruly_soak.py --seed 1 --seconds 40
"""
import argparse
import http.client
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import process_unruly_clients as unruly

MAX_CROWDS = 3
# A process ends within its grace of 6 s after SIGTERM.
STOP_S = 20.0
END_S = 60.0


class Crowd:
    """Clients that send one pattern again and again until their connection ends."""

    def __init__(self, target, pattern, port, count, until):
        self.target, self.pattern, self.port, self.until = target, pattern, port, until
        self.clients = [self.connect() for _ in range(count)]

    def connect(self):
        client = unruly.Client(self.port, unruly.PATTERNS[self.pattern](), self.target.address)
        client.is_gone = False
        return client

    def press(self, pieces):
        for client in self.clients:
            for _ in range(pieces):
                if client.is_gone or not client.send():
                    break
                if client.done:
                    client.is_gone = client.failed
                    client.pieces, client.done = unruly.PATTERNS[self.pattern](), False

    def end(self):
        for client in self.clients:
            client.socket.close()


class Soak:
    def __init__(self, args, folder):
        self.random = random.Random(args.seed)
        self.args, self.folder = args, folder
        self.group = unruly.Group(folder)
        self.entries = [
            unruly.Process("entry", folder, unruly.MANY_FDS,
                           address="%s.%d" % (unruly.NET, 10 + i)) for i in range(args.entries)]
        self.processes = self.group.members + self.entries
        self.crowds, self.problems, self.accepted = [], [], []
        self.version, self.refused, self.crowd_count = 2, 0, 0
        self.disruptions = {}
        # By process: when it is to start again, or to go on after SIGSTOP.
        self.starts, self.thaws, self.stopping = {}, {}, {}

    def is_disrupted(self, process):
        return process in self.starts or process in self.thaws or process in self.stopping

    def start_crowd(self, now):
        target = self.random.choice(self.processes)
        pattern = self.random.choice(sorted(unruly.PATTERNS))
        if pattern in ("announced_frame", "partial_frame"):
            target = self.random.choice(self.group.members)
            port = unruly.FRAMES
        else:
            other = unruly.READINESS if target.role == "entry" else unruly.METRICS
            port = self.random.choice([target.main_port()] * 4 + [other])
        count, until = self.random.randint(20, 150), now + self.random.uniform(1, 6)
        self.crowds.append(Crowd(target, pattern, port, count, until))
        self.crowd_count += 1

    def disrupt(self, now):
        kind = self.random.choice(["term", "kill", "hup", "stop", "config"])
        process = self.random.choice(self.processes)
        # A majority of the members stays up, and each process has one thing at a time.
        if kind in ("term", "kill", "stop") and (self.is_disrupted(process) or (
                process.role == "member" and any(map(self.is_disrupted, self.group.members)))):
            return
        self.disruptions[kind] = self.disruptions.get(kind, 0) + 1
        if kind == "term":
            process.popen.send_signal(signal.SIGTERM)
            self.stopping[process] = now + STOP_S
        elif kind == "kill":
            process.popen.kill()
            process.popen.wait()
            self.starts[process] = now + self.random.uniform(0, 1)
        elif kind == "stop":
            process.popen.send_signal(signal.SIGSTOP)
            self.thaws[process] = now + self.random.uniform(0.2, 1.5)
        elif kind == "hup" and not self.is_disrupted(process):
            process.popen.send_signal(signal.SIGHUP)
        elif kind == "config":
            self.version += 1
            self.put_config()

    def put_config(self):
        body = json.loads(self.group.CONFIG)
        body["version"] = self.version
        try:
            self.call(self.random.choice(unruly.MEMBERS), unruly.CONTROL, "POST",
                      "/v1/config/put", json.dumps(body), 1)
        except OSError:
            pass

    def call(self, address, port, method, path, body=None, timeout=5):
        connection = http.client.HTTPConnection(address, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": "q.example"})
            return connection.getresponse().status
        except http.client.HTTPException as error:
            raise OSError(str(error))
        finally:
            connection.close()

    def submit(self, timeout=0.5):
        """Returns whether an ordinary job was accepted."""
        job = "%016x" % self.random.getrandbits(64)
        entry = self.random.choice(self.entries)
        try:
            status = self.call(entry.address, unruly.FRONT, "POST", "/q/" + job, unruly.JOB,
                               timeout)
        except OSError:
            return False
        if status == 200:
            self.accepted.append(job)
        else:
            self.refused += 1
        return status == 200

    def go_on(self, now):
        """Starts and thaws what is due, and notices processes that have ended."""
        for process, due in list(self.stopping.items()):
            if process.popen.poll() is not None:
                if process.popen.returncode != 0:
                    self.problems.append("%s ended with %d after SIGTERM" % (
                        process.address, process.popen.returncode))
                del self.stopping[process]
                self.starts[process] = now
            elif now > due:
                self.problems.append("%s does not end after SIGTERM" % process.address)
                process.popen.kill()
                process.popen.wait()
        for process, due in list(self.starts.items()):
            if now >= due:
                del self.starts[process]
                self.check_peaks(process)
                process.start()
        for process, due in list(self.thaws.items()):
            if now >= due:
                del self.thaws[process]
                process.popen.send_signal(signal.SIGCONT)
        for process in self.processes:
            if process not in self.starts and process not in self.stopping:
                if not process.runs():
                    self.problems.append("%s ended by itself with %d; it held %.1f MB" % (
                        process.address, process.popen.returncode, process.peak_held_mb))
                    self.starts[process] = now
                else:
                    process.sample()

    def check_peaks(self, process):
        if process.peak_held_mb > unruly.MEMORY_MB:
            self.problems.append("%s held %.1f MB of %d" % (
                process.address, process.peak_held_mb, unruly.MEMORY_MB))
        if process.peak_fds > unruly.MANY_FDS - unruly.RESERVED_FDS:
            self.problems.append("%s had %d descriptors of %d" % (
                process.address, process.peak_fds, unruly.MANY_FDS - unruly.RESERVED_FDS))

    def run(self):
        for entry in self.entries:
            entry.await_port()
        self.group.await_config()
        now = time.monotonic()
        end, next_crowd, next_disruption, next_job = now + self.args.seconds, now, now + 2, now
        while now < end:
            if now >= next_crowd and len(self.crowds) < MAX_CROWDS:
                self.start_crowd(now)
                next_crowd = now + self.random.uniform(0.2, 1.5)
            if now >= next_disruption:
                self.disrupt(now)
                next_disruption = now + self.random.uniform(0.3, 2.5)
            if now >= next_job:
                self.submit()
                next_job = now + 0.3
            for crowd in list(self.crowds):
                crowd.press(4)
                if now >= crowd.until:
                    crowd.end()
                    self.crowds.remove(crowd)
            self.go_on(now)
            now = time.monotonic()
        self.finish()

    def finish(self):
        for crowd in self.crowds:
            crowd.end()
        end = time.monotonic() + END_S
        while (self.starts or self.thaws or self.stopping) and time.monotonic() < end:
            self.go_on(time.monotonic())
            time.sleep(0.05)
        while not self.submit(5) and time.monotonic() < end:
            time.sleep(0.1)
        if time.monotonic() >= end:
            self.problems.append("no ordinary job is accepted at the end")
        for job in self.accepted:
            status = None
            while status != 200 and status != 410 and time.monotonic() < end:
                try:
                    status = self.call(self.entries[0].address, unruly.FRONT, "GET", "/q/" + job)
                except OSError:
                    time.sleep(0.1)
            if status != 200:
                self.problems.append("the accepted job %s is shown with %s" % (job, status))
        for process in self.processes:
            self.check_peaks(process)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--entries", type=int, default=2)
    args = parser.parse_args()
    folder = tempfile.mkdtemp()
    soak = Soak(args, folder)
    try:
        soak.run()
    finally:
        for process in soak.processes:
            process.popen.kill()
            process.popen.wait()
            process.log.close()
        if soak.problems and os.environ.get("KEEP_LOGS"):
            print("logs: %s" % folder)
        else:
            shutil.rmtree(folder)
    print("seed %d: %d crowds, disruptions %s, jobs %d accepted, %d refused" % (
        args.seed, soak.crowd_count, dict(sorted(soak.disruptions.items())), len(soak.accepted),
        soak.refused))
    print("peaks of the last lives: %.1f MB of %d, %d descriptors of %d" % (
        max(p.peak_held_mb for p in soak.processes), unruly.MEMORY_MB,
        max(p.peak_fds for p in soak.processes), unruly.MANY_FDS - unruly.RESERVED_FDS))
    for problem in soak.problems:
        print("FAILED: %s" % problem)
    return 1 if soak.problems else 0


if __name__ == "__main__":
    sys.exit(main())
