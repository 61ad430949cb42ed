"""Stand-ins for the platform around one router: engines, discovery, clients, and the router's own process.

Everything runs on loopback, on free ports and on the real clock. The stand-ins speak what PROTOCOL.md describes
and nothing else. Only Python's standard library is used.
"""
import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LOAD_REPORT = b"TEXT latency_ms=100, x0=0.1, x1=0"


def now_ms():
    return int(time.time() * 1000)


class Record:
    """Writes one line for each thing that was sent, answered or run; times in milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.write("record", trouble=int(TROUBLE), unix_ms=now_ms())

    def at(self):
        return (time.monotonic() - self.start) * 1000

    def write(self, what, **fields):
        parts = [f"{self.at():10.1f}", what] + [f"{key}={value}" for key, value in fields.items()]
        self.file.write(" ".join(parts) + "\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not be played; nothing was judged."""


def free_port():
    """A free port below the range from which the system takes the ports of outgoing connections."""
    for _ in range(200):
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


async def read_message(reader):
    """Reads one HTTP message with Content-Length or without a body: (first line, fields, body, time of last byte)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    length = int(fields.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return lines[0], fields, body


def reset(writer):
    """Closes with a reset, as the machine of a process that died does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def chunk(text):
    data = text.encode()
    return b"%x\r\n" % len(data) + data + b"\r\n"


class State:
    """What one read left at a reader."""

    def __init__(self, trace, engine, held_since):
        self.trace = trace
        self.engine = engine
        self.held_since = held_since
        self.gone_at = None
        self.how = "held"


class Attempt:
    """One request that reached an engine, out until it was answered or the router closed its connection."""

    def __init__(self, trace, engine, phase, at):
        self.trace = trace
        self.engine = engine
        self.phase = phase
        self.begun = at
        self.ended = None
        self.how = "out"
        self.awaits_state = False


class Fleet:
    """What all engines know together: states that are held, and attempts. A release at any engine counts."""

    def __init__(self, record):
        self.record = record
        self.states = []
        self.attempts = []

    def held(self, trace):
        return [state for state in self.states if state.trace == trace and state.gone_at is None]

    def let_go(self, state, how):
        state.gone_at = self.record.at()
        state.how = how
        self.record.write("state-gone", id=state.trace, engine=state.engine.name, how=how)

    def release(self, trace, engine):
        awaited = any(a.trace == trace and a.ended is None and a.awaits_state for a in self.attempts)
        states = self.held(trace)
        self.record.write("release", id=trace, engine=engine.name, held=len(states), awaited=int(awaited))
        if not awaited:
            for state in states:
                self.let_go(state, "released")

    def longest_unattended(self, state):
        """Longest time in ms for which the state was held while no attempt of its request was out."""
        end = state.gone_at if state.gone_at is not None else self.record.at()
        since, longest = state.held_since, 0.0
        spans = sorted((a.begun, a.ended if a.ended is not None else end)
                       for a in self.attempts if a.trace == state.trace)
        for begun, ended in spans:
            if ended <= since:
                continue
            if begun > since:
                longest = max(longest, min(begun, end) - since)
            since = max(since, ended)
        return max(longest, end - since)


class Engine:
    """A reader ("prefill") or writer ("decode") on a loopback port."""

    def __init__(self, name, flavor, fleet, record, cell=1, zone="hall-a", up_since_ms=0):
        self.name, self.flavor, self.fleet, self.record = name, flavor, fleet, record
        self.cell, self.zone, self.up_since_ms = cell, zone, up_since_ms
        self.phase = "ready"
        self.read_s = 0.1     # time to read a prompt
        self.queue_s = 0.02   # time until a writer has a slot
        self.events = 3
        self.event_s = 0.02
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def host_port(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20,
                                                 reuse_address=True)

    async def restart(self, down_s):
        """The process dies and is started again: connections are reset, what it held is gone."""
        self.record.write("engine-dies", engine=self.name)
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for state in self.fleet.states:
            if state.engine is self and state.gone_at is None:
                self.fleet.let_go(state, "engine-died")
        await asyncio.sleep(down_s)
        await self.start()
        self.up_since_ms = now_ms()
        self.record.write("engine-starts", engine=self.name, up_since_ms=self.up_since_ms)

    def member(self):
        return {"id": self.name, "host_port": self.host_port, "locality": self.zone, "flavor": self.flavor,
                "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, _ = await read_message(reader)
                if not await self.answer(line, fields, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, fields, reader, writer):
        method, target, _ = line.split(" ", 2)
        if method == "DELETE" and target.startswith("/v1/holds/"):
            self.fleet.release(target.rsplit("/", 1)[1], self)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if method == "POST" and target.startswith("/v1/holds/"):  # not held, and no obligation to hold
            writer.write(b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
            return True
        if method == "GET" and target in ("/-/healthy", "/-/load"):
            body = LOAD_REPORT if target == "/-/load" else b""
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return True
        if method != "POST" or not target.startswith("/v1/chat/completions"):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        trace = fields.get("x-trace-id", "")
        phase = "read" if self.flavor == "prefill" else "write"
        attempt = Attempt(trace, self, phase, self.record.at())
        self.fleet.attempts.append(attempt)
        self.record.write("attempt", id=trace, engine=self.name, phase=phase,
                          expires=fields.get("x-expires-in-ms"))
        try:
            how = await (self.read(attempt, reader, writer) if phase == "read"
                         else self.write(attempt, reader, writer))
        except (ConnectionError, asyncio.IncompleteReadError):
            how = "closed"
        self.end(attempt, how)
        return how not in ("closed", "died")

    def end(self, attempt, how):
        if attempt.ended is None:
            attempt.ended, attempt.how, attempt.awaits_state = self.record.at(), how, False
            self.record.write("attempt-ended", id=attempt.trace, engine=self.name, phase=attempt.phase, how=how)

    async def work(self, seconds, reader, writer):
        """Works for a time; returns "closed" at once if the router closes or shuts down the connection."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            await asyncio.sleep(min(0.005, left))
            if writer.transport.is_closing():
                return "died" if writer not in self.writers else "closed"
            if reader.at_eof():
                return "closed"
        return None

    async def read(self, attempt, reader, writer):
        # A read that was given up leaves nothing: its state goes by itself.
        if ended := await self.work(self.read_s, reader, writer):
            return ended
        body = b'{"cached_tokens":0}'
        writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nEndpoint-Load-Metrics: %s\r\n"
                     b"Content-Length: %d\r\n\r\n" % (LOAD_REPORT, len(body)) + body)
        self.fleet.states.append(State(attempt.trace, self, self.record.at()))
        self.record.write("state-held", id=attempt.trace, engine=self.name)
        return "read"

    async def write(self, attempt, reader, writer):
        attempt.awaits_state = True
        if ended := await self.work(self.queue_s, reader, writer):
            return ended
        states = self.fleet.held(attempt.trace)
        if not states:
            writer.write(b"HTTP/1.1 410 Gone\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            return "no-state"
        for state in states:
            self.fleet.let_go(state, "taken")
        attempt.awaits_state = False
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.events):
            writer.write(chunk('data: {"choices":[{"index":0,"delta":{"content":"%s-%d"},"finish_reason":null}]}\n\n'
                               % (attempt.trace, number)))
            if ended := await self.work(self.event_s, reader, writer):
                return ended
        writer.write(chunk("data: [DONE]\n\n") + b"0\r\n\r\n")
        return "served"


class Discovery:
    """Discovery as the agent on the router's machine: the whole list, and watches with a line each 2 s."""

    def __init__(self, engines, record):
        self.engines, self.record = engines, record
        self.revision = 41
        self.changes = []  # (revision, member)
        self.watches = set()
        self.port = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def whole(self):
        return {"revision": self.revision, "complete": True,
                "members": [engine.member() for engine in self.engines if engine.phase != "gone"]}

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def tell(self, engine):
        """Tells a change of this engine on every open watch."""
        self.revision += 1
        member = engine.member()
        self.changes.append((self.revision, member))
        text = json.dumps({"revision": self.revision, "complete": False, "members": [member]}) + "\n"
        for writer in list(self.watches):
            writer.write(chunk(text))
        self.record.write("discovery-tells", engine=engine.name, phase=engine.phase,
                          up_since_ms=engine.up_since_ms, watches=len(self.watches))

    async def serve(self, reader, writer):
        try:
            line, _, _ = await read_message(reader)
            target = line.split(" ")[1]
            self.record.write("discovery-asked", target=target)
            if "stream=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(chunk(json.dumps(self.whole()) + "\n"))
            self.watches.add(writer)
            while not reader.at_eof() and not writer.transport.is_closing():
                await asyncio.sleep(2)
                writer.write(chunk("\n"))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


def settings(**extra):
    """Settings of a small deployment, with the figures of rennes-prod."""
    result = {
        "az": "hall-a", "zones": ["hall-a", "hall-b"], "skus": ["prefill", "decode"], "balancers": 1, "me": 0,
        "discovery": "push",
        "family": "twostage", "weights": "nominal", "worthBy": "work",
        "allowed": {"attemptsCap": 6, "mayCancel": True, "probes": True, "peers": False, "secondCopies": False,
                    "connIdleMs": 15000.0, "dialTimeoutMs": 250.0, "retryAfter": True, "maxRetryAfterMs": 500.0,
                    "streamsPerConn": 32},
        "familyInfo": {"kindRole": ["read", "write"], "memoryTokens": [240000, 150000], "releaseWithinMs": 500.0,
                       "aimUsPer1000PromptTokens": [60000.0, 40000.0], "tokenAimMs": [50.0, 70.0],
                       "holdsAllowed": True, "selfPrefill": False, "resume": False,
                       "reportX0": "share of memory that is held",
                       "reportX1": "thousands of prompt tokens waiting to be read or fetched"},
        "loadInfo": {"how": "piggyback", "names": ["latency_ms", "x0", "x1"]},
        "profiles": [
            {"name": "lookup", "aimMs": 800.0, "deadlineMs": 3000.0, "effect": "read_like", "worth": 1.0,
             "lateShare": 0.1, "group": "all", "windowMs": 5000.0, "streaming": True},
            {"name": "correction", "aimMs": 1500.0, "deadlineMs": 6000.0, "effect": "non_idempotent", "worth": 3.0,
             "lateShare": 0.3, "group": "all", "windowMs": 5000.0, "streaming": True}],
        "rules": {"coldFrom": 0.27, "warmWithinMs": 14000.0, "fallMultiple": 2.5, "tipAfterMs": 1500.0,
                  "drainGraceMs": 250.0, "graceToAnswerMs": 8.0, "askWithinMs": 10000.0}}
    result.update(extra)
    return result


def die_with_parent():
    """In the child: a test that is ended leaves no router behind, however it was ended."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG; kept across exec


class Router:
    """`garnethook run`, started by the `run` line of the deploy file from the repository's root."""

    def __init__(self, record, discovery_address, known, memory_mb=64, sockets=512, site=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.port = free_port()
        self.config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery_address,
                       "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": site or settings()}
        self.process = None

    async def start(self):
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if not os.path.exists(os.path.join(ROOT, "build", "bin", "garnethook")):
            raise CannotRun("the program is not built")
        environment = dict(os.environ, RELAY_CONFIG=path, RELAY_NAME="n0", RELAY_LISTEN=self.config["listen"],
                           RELAY_DISCOVERY=self.config["discovery"], TMPDIR=self.folder)
        environment.setdefault("GARNETHOOK_LOG", "info")
        self.log = open(os.path.join(self.folder, "log.txt"), "wb")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=ROOT, env=environment,
                                                            stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
                                                            stderr=self.log, preexec_fn=die_with_parent)
        for _ in range(150):
            if await self.is_ready():
                self.record.write("router-ready")
                return
            if self.process.returncode is not None:
                raise CannotRun(f"the router ended at its start with {self.process.returncode}")
            await asyncio.sleep(0.1)
        raise CannotRun("the router is not ready after 15 s")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.record.write("signal", number=number)
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        keep = os.environ.get("KEEP_LOG")
        if keep:
            shutil.copy(os.path.join(self.folder, "log.txt"), keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(trace, qos="lookup", expires_ms=3000, prompt_tokens=1000, session=None, prefix=None,
                  prefix_tokens=0, max_out=100):
    """One client request as PROTOCOL.md shows it; a token is four characters."""
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": max_out,
                       "messages": [{"role": "user", "content": "x" * (4 * prompt_tokens)}]}).encode()
    props = f"prompt_len={prompt_tokens},prefix_len={prefix_tokens},max_out={max_out}"
    if prefix:
        props = f"prefix={prefix}," + props
    head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n"
            f"X-Trace-Id: {trace}\r\nX-Qos: {qos}\r\nX-Object: {session or trace}\r\n"
            f"X-Expires-In-Ms: {expires_ms}\r\nX-Props: {props}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


async def read_response(reader):
    """Reads one response: (status, fields, body, whole). Raises IncompleteReadError if none begins."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return status, fields, body, True
                body += data[:-2]
        except asyncio.IncompleteReadError:
            return status, fields, body, False
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length)
    return status, fields, body, True


def play(folder, case, limit_s=90):
    """Runs `case(record)` and exits with its verdict."""
    record = Record(folder)

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):  # an ended test ends its router, and has judged nothing
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record), limit_s)
        except asyncio.CancelledError:
            record.write("could-not-run", why="ended_from_outside")
            return NOT_RUN
        except CannotRun as error:
            record.write("could-not-run", why=str(error).replace(" ", "_"))
            print("could not run:", error)
            return NOT_RUN
        except asyncio.TimeoutError:
            record.write("could-not-run", why="time_is_over")
            print("could not run: the time is over")
            return NOT_RUN
        except Exception as error:  # a fault of the test, never of the router
            traceback.print_exc()
            record.write("could-not-run", why=repr(error).replace(" ", "_"))
            return NOT_RUN

    verdict = asyncio.run(run())
    record.write("verdict", exit=verdict)
    sys.exit(verdict)
