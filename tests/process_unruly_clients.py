#!/usr/bin/env python3
"""Clients outside the limits of the pages do not end a process or exhaust it.

Starts one process of the platform on loopback with small limits, lets a crowd of
clients send one pattern of input at once, and checks, while the crowd still holds its
connections, that the process runs, that its peak memory and its open descriptors are
within the limits of its settings file, and that one ordinary request is answered.
Bytes that have arrived and are not read count as memory, as on the platform. Nothing
depends on the speed of the machine: a client sends until it is done, refused or not
read any more.

    BUILD=build tests/process_unruly_clients.py --role entry --pattern held_body

With --group three members lead and store what the entry accepts, and the same holds for
each of the four processes.
"""
import argparse
import http.client
import os
import selectors
import shutil
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
BUILD = os.path.abspath(os.environ.get("BUILD", os.path.join(os.path.dirname(HERE), "build")))
# Loopback network of this run, so that several runs by hand do not meet.
NET = os.environ.get("UNRULY_NET", "127.8.0")
ADDRESS = NET + ".1"
MEMBERS = (NET + ".2", NET + ".3", NET + ".4")
FRONT, READINESS, CONTROL, FRAMES = 21001, 21002, 21003, 21010
METRICS = 9464
# The limits of the settings file. The process may use all of the memory, and of the
# descriptors those that are not reserved for files.
MEMORY_MB, MAX_FDS, RESERVED_FDS = 48, 400, 200
CLIENTS = 240
# For patterns whose connections hold memory rather than descriptors: three tenths of the
# smallest front machine, which has 160 MB and 4,096 descriptors.
MANY_FDS, MANY_CLIENTS = 1229, 400
MIB = 1 << 20
# A client that could not send anything for this long is not being read.
STALL_S = 2.0
# A process that holds this many times its limit has failed; it is ended, so that it does
# not take the memory of this machine.
FAR_OVER = 16
# Limit of the whole crowd, so that a process that reads for ever ends the test.
CROWD_S = 40.0
ANSWER_S = 30.0

JOB = b'{"spec":"s","steps":[{"count":1,"cpu":1000}]}'
JOB_ID = "5c0e7a21d94b36f8"
HEAD = b"POST /q/" + JOB_ID.encode() + b" HTTP/1.1\r\nHost: q.example\r\n"
MANY_TASKS = b'{"spec":"s","steps":[{"count":20000,"cpu":1000}]}'
MANY_OCCURRENCES = (b'{"spec":"s","times":4000000000,"start_at_ms":1,"steps":'
                    b'[{"count":100,"cpu":1000}]}')


def repeated(start, piece, total):
    """Yields `start`, then `piece` until `total` bytes were yielded."""
    yield start
    sent = len(start)
    while sent < total:
        yield piece
        sent += len(piece)


def post(body, job_id=JOB_ID):
    head = HEAD.replace(JOB_ID.encode(), job_id.encode())
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def job_of_empty_steps(count):
    return b'{"spec":"s","steps":[' + b",".join([b"{}"] * count) + b"]}"


# What one client sends. None of it is a whole request but for those that say so.
PATTERNS = {
    "endless_request_line": lambda: repeated(b"GET /", b"a" * 4096, MIB),
    "endless_header_line": lambda: repeated(HEAD + b"X: ", b"a" * 4096, MIB),
    "endless_header_lines": lambda: repeated(HEAD, b"X: a\r\n" * 512, MIB),
    "empty_lines": lambda: repeated(b"", b"\r\n" * 2048, MIB),
    "held_body": lambda: repeated(HEAD + b"Content-Length: 1048576\r\n\r\n", b" " * 4096, MIB - 8192),
    "chunk_extension": lambda: repeated(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;x=", b"a" * 4096, MIB),
    # Whole requests whose responses are not read.
    "unread_responses": lambda: repeated(b"", b"GET /q/ HTTP/1.1\r\nHost: q.example\r\n\r\n" * 64, MIB),
    "idle": lambda: iter([b""]),
    # The length of a frame of 64 MiB, of which no byte follows.
    "announced_frame": lambda: iter([b"\x00\x00\x00\x04"]),
    # A whole head within its limit, and a body that is held back.
    "many_fields": lambda: repeated(
        HEAD + b"Content-Length: 100\r\n" + b"a:\r\n" * 4000 + b"\r\n", b"", 0),
    # A whole job within the limit of bodies.
    "many_steps": lambda: repeated(post(job_of_empty_steps(83_000)), b"", 0),
    # A whole request, and more that is not read while it is served.
    "unread_bytes": lambda: repeated(post(JOB), b"a" * 4096, MIB),
    # A small job within the limits of a step that has as many tasks as a job may have.
    "many_tasks": lambda: repeated(post(MANY_TASKS, os.urandom(8).hex()), b"", 0),
    # A small job whose occurrences are all due.
    "many_occurrences": lambda: repeated(
        post(MANY_OCCURRENCES, os.urandom(8).hex()), b"", 0),
    # Most of a frame of 1 MiB.
    "partial_frame": lambda: repeated(b"\x00\x00\x10\x00", b"\x00" * 4096, 900_000),
}
MANY = ("many_fields", "many_steps", "many_tasks", "many_occurrences", "unread_bytes",
        "partial_frame")


def unread_mb(address):
    """Returns the bytes that sockets at the address have received and that are not read."""
    with open("/proc/net/tcp") as file:
        rows = [line.split() for line in file][1:]
    local = "%08X:" % int.from_bytes(socket.inet_aton(address), sys.byteorder)
    ports = [local + "%04X" % port for port in (FRONT, READINESS, CONTROL, FRAMES, METRICS)]
    listening = "0A"  # Its queue holds connections, not bytes.
    return sum(int(row[4].split(":")[1], 16) for row in rows
               if row[1] in ports and row[3] != listening) / MIB


class Process:
    def __init__(self, role, folder, max_fds, port=None, address=ADDRESS):
        self.role, self.crowd_port, self.address = role, port, address
        folder = os.path.join(folder, address)
        settings = os.path.join(folder, "node.yaml")
        os.makedirs(os.path.join(folder, "data"))
        with open(settings, "w") as file:
            file.write(
                "node_name: n%s\nip: %s\nzone: z\n"
                "listen: {front: '%s:%d', readiness: '%s:%d', control: '%s:%d'}\n"
                "port_range: [%d, %d]\n"
                "seeds: ['%s']\n"
                "bootstrap: %s\ndata_dir: %s\nlimits: {memory_mb: %d, max_fds: %d}\n"
                "fault_tolerance: {machines: 1, zones: 0, regions: 0}\nbounds: {grace_s: 6}\n"
                % (address.split(".")[-1], address, address, FRONT, address, READINESS,
                   address, CONTROL, FRAMES, FRAMES + 15, "', '".join("%s:%d" % (m, CONTROL) for m in MEMBERS),
                   str(address in MEMBERS).lower(), os.path.join(folder, "data"), MEMORY_MB,
                   max_fds))
        self.settings = settings
        self.log = open(os.path.join(folder, "log"), "w")
        self.start()

    def start(self):
        self.popen = subprocess.Popen(
            [os.path.join(BUILD, "bronzebarrow-platform"), self.role, str(METRICS)],
            stdout=self.log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "BRONZEBARROW_NODE_FILE": self.settings})
        self.peak_fds = self.peak_held_mb = self.next_held_sample = 0

    def main_port(self):
        return FRONT if self.role == "entry" else CONTROL

    def port(self, pattern):
        if pattern in ("announced_frame", "partial_frame"):
            return FRAMES
        return self.crowd_port or self.main_port()

    def runs(self):
        return self.popen.poll() is None

    def sample(self):
        try:
            self.peak_fds = max(self.peak_fds, len(os.listdir("/proc/%d/fd" % self.popen.pid)))
            if time.monotonic() >= self.next_held_sample:
                self.next_held_sample = time.monotonic() + 0.05
                self.peak_held_mb = max(
                    self.peak_held_mb, self.memory_mb("VmRSS:") + unread_mb(self.address))
                if self.peak_held_mb > FAR_OVER * MEMORY_MB:
                    self.popen.kill()
                    self.popen.wait()
        except OSError:
            pass  # It has ended; runs() says so.

    def settle(self, others=()):
        """Waits until the process has handled what it was sent: it uses no processor time."""
        ticks, end = None, time.monotonic() + CROWD_S
        while self.runs() and time.monotonic() < end:
            for other in others:
                other.sample()
            with open("/proc/%d/stat" % self.popen.pid) as file:
                now = file.read().rsplit(")", 1)[1].split()[11:13]
            if now == ticks:
                return
            ticks = now
            time.sleep(0.5)
            self.sample()

    def memory_mb(self, name):
        with open("/proc/%d/status" % self.popen.pid) as file:
            for line in file:
                if line.startswith(name):
                    return int(line.split()[1]) / 1024
        raise OSError("the process has no memory")

    def peak_memory_mb(self):
        return max(self.memory_mb("VmHWM:"), self.peak_held_mb)

    def await_port(self):
        for _ in range(200):
            try:
                socket.create_connection((self.address, self.main_port()), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise AssertionError("the process does not listen")


class Client:
    def __init__(self, port, pieces, address=ADDRESS):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex((address, port))
        self.pieces, self.rest, self.done, self.failed = pieces, b"", False, False

    def send(self):
        """Returns whether the client got further; it is done at its end or when refused."""
        try:
            if not self.rest:
                self.rest = next(self.pieces)
            self.rest = self.rest[self.socket.send(self.rest):] if self.rest else b""
            return True
        except StopIteration:
            self.done = True
        except BlockingIOError:
            return False
        except OSError:
            self.done = self.failed = True
        return True


class Group:
    """Three members with a configuration, behind the entry."""

    CONFIG = (b'{"version":2,"routes":[{"name":"r","host":"q.example","path_prefix":"/q/",'
              b'"timeout_ms":3000,"service":"s","attempts":2,"slack_factor":1.6,'
              b'"target_duration_ms":600}],"services":[{"name":"s"}]}')

    def __init__(self, folder):
        self.members = [Process("member", folder, MANY_FDS, address=m) for m in MEMBERS]

    def await_config(self):
        for _ in range(300):
            for address in MEMBERS:
                try:
                    connection = http.client.HTTPConnection(address, CONTROL, timeout=2)
                    connection.request("POST", "/v1/config/put", self.CONFIG)
                    if connection.getresponse().status == 200:
                        return
                except OSError:
                    pass
            time.sleep(0.1)
        raise AssertionError("no member accepts the configuration")


def press(process, pattern, others):
    """Lets the crowd send until each client is done or is not read any more."""
    selector = selectors.DefaultSelector()
    clients = [Client(process.port(pattern), PATTERNS[pattern]())
               for _ in range(MANY_CLIENTS if pattern in MANY else CLIENTS)]
    for client in clients:
        selector.register(client.socket, selectors.EVENT_WRITE, client)
    end, progress = time.monotonic() + CROWD_S, time.monotonic()
    while selector.get_map() and time.monotonic() < min(end, progress + STALL_S):
        for key, _ in selector.select(0.1):
            if key.data.send():
                progress = time.monotonic()
            if key.data.done:
                selector.unregister(key.fileobj)
        for watched in [process] + others:
            watched.sample()
    return clients


def ask(process):
    """Returns the status line of the answer to one ordinary request."""
    with socket.create_connection((ADDRESS, process.main_port()), ANSWER_S) as connection:
        connection.settimeout(ANSWER_S)
        if process.role == "entry":
            connection.sendall(post(JOB))
        else:
            connection.sendall(b"GET /v1/config/get HTTP/1.1\r\nHost: c.example\r\n\r\n")
        answer = b""
        while b"\r\n" not in answer:
            piece = connection.recv(4096)
            if not piece:
                break
            answer += piece
        return answer.split(b"\r\n")[0].decode()


def await_answer(process, wanted):
    """Asks until the status line begins as wanted; returns the last one.

    A request that was refused or is not known to have run may be sent again.
    """
    status = ""
    end = time.monotonic() + ANSWER_S
    while not status.startswith(wanted) and time.monotonic() < end:
        status = ask(process)
    return status


def problems_of(process, max_fds, others):
    """Returns what the process has broken; prints its peaks."""
    if not process.runs():
        return ["the process at %s ended; it held %.1f MB" % (
            process.address, process.peak_held_mb)]
    process.settle(others)
    problems = []
    memory_mb = process.peak_memory_mb()
    print("%s at %s: peak memory %.1f MB of %d, descriptors %d of %d" % (
        process.role, process.address, memory_mb, MEMORY_MB, process.peak_fds,
        max_fds - RESERVED_FDS))
    if memory_mb > MEMORY_MB:
        problems.append("the memory of %s is over the limit" % process.address)
    if process.peak_fds > max_fds - RESERVED_FDS:
        problems.append("the descriptors of %s are over the limit" % process.address)
    return problems


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--role", choices=("entry", "member"), required=True)
    parser.add_argument("--pattern", choices=sorted(PATTERNS), required=True)
    parser.add_argument("--port", type=int, help="of the crowd, if not the main one of the role")
    parser.add_argument("--group", action="store_true", help="an entry with three members")
    args = parser.parse_args()
    folder = tempfile.mkdtemp()
    max_fds = MANY_FDS if args.pattern in MANY else MAX_FDS
    group = Group(folder) if args.group else None
    members = group.members if group else []
    process = Process(args.role, folder, max_fds, args.port)
    problems = []
    try:
        process.await_port()
        if group:
            group.await_config()
            await_answer(process, "HTTP/1.1 200")
        clients = press(process, args.pattern, members)
        process.settle(members)
        if process.runs():
            try:
                # Without a group the first answer counts, whatever it says.
                wanted = "HTTP/1.1 200" if group else "HTTP/1.1 "
                status = await_answer(process, wanted) if group else ask(process)
            except OSError as error:
                status = str(error)
            print("answer to an ordinary request: %s" % status)
            if not status.startswith(wanted):
                problems.append("an ordinary request is not answered")
        for watched in [process] + members:
            problems += problems_of(
                watched, MANY_FDS if watched in members else max_fds, members)
        for client in clients:
            client.socket.close()
    finally:
        for started in [process] + members:
            started.popen.kill()
            started.popen.wait()
            started.log.close()
        shutil.rmtree(folder)
    for problem in problems:
        print("FAILED: %s" % problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
