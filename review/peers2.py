"""Stand-ins of the second review: engines, discovery, clients and the platform that starts the router.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. Standard library only, loopback addresses only.
Times are seconds on CLOCK_MONOTONIC, which all processes of a machine share.

As a program: `peers2.py engine JSON` runs one engine, `peers2.py repeat JSON` one client that asks again at once.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
now = time.monotonic


# ---- record ----

class Record:
    """Events of all parties, written to record.txt in the order of their times."""

    def __init__(self, path):
        self.path = path
        self.start = now()
        self.events = []
        self.lock = threading.RLock()

    def add(self, who, what, at=None, **fields):
        event = {"at": now() if at is None else at, "who": who, "what": what, **fields}
        with self.lock:
            self.events.append(event)
        return event

    def select(self, what, **fields):
        with self.lock:
            return sorted((e for e in self.events
                           if e["what"] == what and all(e.get(k) == v for k, v in fields.items())),
                          key=lambda e: e["at"])

    def write(self, verdict):
        with self.lock:
            events = sorted(self.events, key=lambda e: e["at"])
        with open(self.path, "w") as out:
            for e in events:
                rest = " ".join(f"{k}={v}" for k, v in e.items() if k not in ("at", "who", "what"))
                out.write(f"{e['at'] - self.start:9.3f} {e['who']:<10} {e['what']:<12} {rest}\n")
            out.write("\n" + verdict + "\n")


# ---- HTTP/1.1 on a blocking socket ----

class Closed(Exception):
    pass


class HttpSocket:
    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.first_byte_at = None

    def more(self):
        try:
            data = self.sock.recv(65536)
        except (ConnectionError, OSError) as error:
            raise Closed(str(error))
        if not data:
            raise Closed("end")
        if self.first_byte_at is None:
            self.first_byte_at = now()
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self.more()
        text, self.buffer = self.buffer.split(b"\n", 1)
        return text.rstrip(b"\r").decode("latin-1")

    def take(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        self.first_byte_at = now() if self.buffer else None
        start = ""
        while not start:
            start = self.line()
        fields = {}
        while True:
            text = self.line()
            if not text:
                return start, fields
            name, value = text.split(":", 1)
            fields[name.strip().lower()] = value.strip()

    def request(self):
        start, fields = self.head()
        body = self.take(int(fields.get("content-length", "0")))
        return start, fields, body

    def chunk(self):
        size = int(self.line().split(";")[0], 16)
        data = self.take(size)
        self.line()
        return data

    def send(self, text):
        try:
            self.sock.sendall(text if isinstance(text, bytes) else text.encode())
            return True
        except (ConnectionError, OSError):
            return False

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def listen(port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(512)
    return sock


def free_port():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


def serve(sock, handler):
    def accept():
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            threading.Thread(target=handler, args=(connection,), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()


# ---- the ledger: which read state is held, over all engines ----

class Ledger:
    """What the engines tell each other: a state is held at a reader until a writer takes it or a release
    frees it. It also takes the engines' events for the record."""

    def __init__(self, record):
        self.record = record
        self.held = {}
        self.lock = threading.Lock()
        self.sock = listen()
        self.port = self.sock.getsockname()[1]
        serve(self.sock, self.handle)

    def handle(self, connection):
        stream = connection.makefile("rw")
        for line in stream:
            message = json.loads(line)
            answer = 0
            with self.lock:
                verb, request = message.pop("verb"), message.get("id")
                if verb == "hold":
                    self.held.setdefault(request, set()).add(message["engine"])
                elif verb == "take" or verb == "free":
                    answer = len(self.held.pop(request, ()))
                    message["found"] = answer
            engine = message.pop("engine")
            self.record.add(engine, verb, **message)
            stream.write(f"{answer}\n")
            stream.flush()


# ---- engines ----

class Engine:
    """A reader, a writer or a mixed engine. Work goes on after its connection has closed (the sites' `cancel =
    "none"`, `drops_expired = false`); a stream that nobody reads ends."""

    def __init__(self, options):
        self.name = options["name"]
        self.role = options["role"]
        self.room = options.get("room", 40)    # requests at once and waiting; more are turned away
        self.slots = options.get("slots", 8)   # of them at once
        self.queue = []                        # reads: tokens left, and what tells their end
        self.openings = set()
        self.reading_lock = threading.Lock()
        self.read_per_s = options.get("read_per_s", 15000)
        self.token_s = options.get("token_s", 0.01)
        self.tokens = options.get("tokens", 12)
        self.slow = options.get("slow", 1.0)
        self.slow_spells = options.get("slow_spells", [])    # [from, until], ...
        self.idle_s = options.get("idle_s", 15)
        self.probes = options.get("probes", False)
        self.ledger = socket.create_connection(("127.0.0.1", options["ledger"])).makefile("rw")
        self.ledger_lock = threading.Lock()
        if self.role != "write":
            threading.Thread(target=self.work, daemon=True).start()
        serve(listen(options["port"]), self.handle)

    def tell(self, verb, **fields):
        with self.ledger_lock:
            self.ledger.write(json.dumps({"verb": verb, "engine": self.name, "at": now(), **fields}) + "\n")
            self.ledger.flush()
            return int(self.ledger.readline())

    def handle(self, connection):
        http = HttpSocket(connection)
        connection.settimeout(self.idle_s)
        try:
            while True:
                start, fields, body = http.request()
                if not self.answer(http, start, fields, body):
                    break
        except Closed:
            pass
        http.close()

    def answer(self, http, start, fields, body):
        method, target, _ = start.split(" ")
        if method == "DELETE" and target.startswith("/v1/holds/"):
            self.tell("free", id=target[len("/v1/holds/"):])
            return http.send("HTTP/1.1 204 No Content\r\n\r\n")
        if method == "GET":
            status = "200 OK" if self.probes else "404 Not Found"
            return http.send(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
        request = fields.get("x-trace-id")
        if method != "POST" or not request:
            return http.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        self.tell("received", id=request, first=round(http.first_byte_at, 6),
                  expires=fields.get("x-expires-in-ms"))
        if self.role == "read":
            return self.read(http, request, fields)
        return self.write(http, request, fields)

    def reading(self, fields):
        """Reads a prompt from where the opening ends that is kept; the requests at once share the machine's
        speed. Returns how many tokens were kept."""
        lengths = dict(re.findall(r"(prompt_len|prefix_len)=(\d+)", fields.get("x-props", "")))
        opening = re.search(r"prefix=(\w+)", fields.get("x-props", ""))
        tokens, kept = int(lengths.get("prompt_len", 1000)), 0
        with self.reading_lock:
            if opening and opening.group(1) in self.openings:
                kept = min(tokens, int(lengths.get("prefix_len", 0)))
            work = [float(tokens - kept), threading.Event()]
            self.queue.append(work)
        work[1].wait()
        if opening:
            self.openings.add(opening.group(1))
        return kept

    def work(self):
        at = now()
        while True:
            time.sleep(0.004)
            begin, at = at, now()
            is_slow = any(since <= begin < until for since, until in self.slow_spells)
            done = (at - begin) * self.read_per_s / (self.slow if is_slow else 1.0)
            with self.reading_lock:
                while self.queue and done > 0.01:
                    running = self.queue[:self.slots]
                    share = min(done / len(running), min(work[0] for work in running))
                    for work in running:
                        work[0] -= share
                    done -= share * len(running)
                    for work in [work for work in running if work[0] <= 0.01]:
                        self.queue.remove(work)
                        work[1].set()

    def load(self):
        with self.reading_lock:
            queued = sum(work[0] for work in self.queue) / 1000
        return f"TEXT latency_ms=50, x0={min(1, queued * 1000 / 200000):.2f}, x1={queued:.2f}"

    def is_full(self):
        with self.reading_lock:
            return len(self.queue) >= self.room

    def read(self, http, request, fields):
        if self.is_full():
            return http.send("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
        kept = self.reading(fields)
        self.tell("hold", id=request)
        body = json.dumps({"cached_tokens": kept})
        sent = http.send(f"HTTP/1.1 202 Accepted\r\nEndpoint-Load-Metrics: {self.load()}\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}")
        self.tell("read-answer", id=request, sent=int(sent))
        return sent

    def write(self, http, request, fields):
        if not self.tell("take", id=request):
            if self.role != "both":
                return http.send("HTTP/1.1 410 Gone\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            self.reading(fields)
        self.tell("run", id=request)
        if not http.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"):
            return False
        events = [json.dumps({"choices": [{"index": 0, "delta": {"content": f"{request[:4]}{i:04d}"},
                                           "finish_reason": None}]}) for i in range(self.tokens)]
        events.append(json.dumps({"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": 1}}))
        events.append("[DONE]")
        for event in events:
            text = f"data: {event}\n\n"
            if not http.send(f"{len(text):x}\r\n{text}\r\n"):
                return False
            time.sleep(self.token_s)
        return http.send("0\r\n\r\n")


# ---- discovery: the agent on the router's machine ----

class Discovery:
    def __init__(self, record, members, revision=41):
        self.record = record
        self.members = {m["id"]: dict(m, revision=revision) for m in members}
        self.revision = revision
        self.is_silent = False
        self.condition = threading.Condition()
        self.sock = listen()
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        serve(self.sock, self.handle)

    def known(self):
        with self.condition:
            return self.document(list(self.members.values()), True)

    def document(self, members, complete):
        return {"revision": self.revision, "complete": complete,
                "members": [{k: v for k, v in m.items() if k != "revision"} for m in members
                            if not (complete and m["phase"] == "gone")]}

    def change(self, name, **fields):
        """The agent is told of a change; open watches get it unless the agent is silent."""
        with self.condition:
            self.revision += 1
            self.members[name].update(fields, revision=self.revision)
            self.record.add("discovery", "change", id=name, revision=self.revision, **fields)
            self.condition.notify_all()

    def silence(self, on):
        with self.condition:
            self.is_silent = on
            self.record.add("discovery", "silent" if on else "speaks")
            self.condition.notify_all()

    def handle(self, connection):
        http = HttpSocket(connection)
        try:
            start, _, _ = http.request()
        except Closed:
            return http.close()
        target = start.split(" ")[1]
        match = re.search(r"index=(\d+)", target)
        index = int(match.group(1)) if match else 0
        with self.condition:
            while self.is_silent:
                self.condition.wait()
        self.record.add("discovery", "asked", target=target)
        if "stream=1" not in target:
            body = json.dumps(self.known())
            http.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}")
            return http.close()
        if not http.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"):
            return
        while True:
            with self.condition:
                while self.is_silent:
                    self.condition.wait()
                changed = [m for m in self.members.values() if m["revision"] > index]
                text = json.dumps(self.document(changed, False)) + "\n" if changed else "\n"
                if changed:
                    index = self.revision
                    self.record.add("discovery", "told", revision=index)
            if not http.send(f"{len(text):x}\r\n{text}\r\n"):
                return http.close()
            with self.condition:
                if not any(m["revision"] > index for m in self.members.values()):
                    self.condition.wait(2.0)


# ---- clients ----

def ask(record, address, request, cls, deadline_ms, prompt_len, leave_after=None, session=None, prefix=None,
        prefix_len=800, max_out=100):
    """One request on a connection of its own. Returns the event of its end."""
    prefix_text = f"prefix={prefix},prefix_len={min(prefix_len, prompt_len)}," if prefix else ""
    body = json.dumps({"model": "m", "stream": True, "max_tokens": max_out,
                       "messages": [{"role": "user", "content": "x" * (4 * prompt_len)}]})
    text = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {request}\r\n"
            f"X-Qos: {cls}\r\nX-Object: {session or request}\r\nX-Expires-In-Ms: {deadline_ms}\r\n"
            f"X-Props: {prefix_text}prompt_len={prompt_len},max_out={max_out}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}")
    try:
        sock = socket.create_connection(address, timeout=2)
    except OSError as error:
        return record.add("client", "no-router", id=request, error=str(error))
    sock.settimeout(leave_after if leave_after else deadline_ms / 1000 + 10)
    http = HttpSocket(sock)
    record.add("client", "sent", id=request, cls=cls, deadline=deadline_ms, prompt=prompt_len)
    if not http.send(text):
        return record.add("client", "broken", id=request)
    events = 0
    try:
        start, fields = http.head()
        status = int(start.split(" ")[1])
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int(http.line().split(";")[0], 16)
                data = http.take(size)
                http.line()
                if size == 0:
                    break
                events += data.count(b"data: ")
        else:
            http.take(int(fields.get("content-length", "0")))
        return record.add("client", "answer", id=request, status=status, events=events)
    except Closed as reason:
        text = "left" if "timed out" in str(reason) and leave_after else "broken"
        return record.add("client", text, id=request, events=events, reason=str(reason).replace(" ", "-"))
    finally:
        http.close()


def ask_again(record, address, request, cls, deadline_ms, try_share, tries, backoff_s, prompt_len, **rest):
    """A client that comes again after a refusal, with a new id, while time is left."""
    until = now() + deadline_ms / 1000
    for number in range(tries):
        left_ms = int(min(until - now(), try_share * deadline_ms / 1000) * 1000)
        if left_ms < 100:
            return
        end = ask(record, address, f"{request}{number}", cls, left_ms, prompt_len, **rest)
        if end.get("status") not in (429, 503):
            return
        time.sleep(backoff_s * 2 ** number)


# ---- the platform ----

def run_line():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


class Platform:
    """Starts routers by the deploy file's `run` line and ends every process that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.children = []
        signal.signal(signal.SIGTERM, self.out_of_time)

    def out_of_time(self, number, frame):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)   # `timeout` signals the whole group, so it comes twice
        finish(self, self.record, 2, "could not run: out of time")

    def start_engine(self, options):
        child = subprocess.Popen([sys.executable, os.path.abspath(__file__), "engine", json.dumps(options)],
                                 stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        self.children.append(child)
        wait_for_port(options["port"])
        return child

    def start_repeating(self, options):
        child = subprocess.Popen([sys.executable, os.path.abspath(__file__), "repeat", json.dumps(options)],
                                 stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)
        self.children.append(child)
        return child

    def start_router(self, config, log_level="info"):
        name = config["name"]
        path = os.path.join(self.folder, name + ".json")
        self.write_config(path, config)
        scratch = tempfile.mkdtemp(prefix=name + "-", dir=self.folder)
        environment = dict(os.environ, RELAY_CONFIG=path, RELAY_NAME=name, RELAY_LISTEN=config["listen"],
                           RELAY_DISCOVERY=config["discovery"], GARNETHOOK_LOG=log_level, TMPDIR=scratch)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        child = subprocess.Popen(["/bin/sh", "-c", run_line()], cwd=ROOT, env=environment,
                                 stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        child.config_path = path
        child.log_path = log.name
        self.children.append(child)
        self.record.add(name, "started", pid=child.pid)
        return child

    @staticmethod
    def write_config(path, config):
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)

    def signal(self, child, number, name):
        self.record.add(name, signal.Signals(number).name)
        os.kill(child.pid, number)

    def end(self):
        for child in self.children:
            if child.poll() is None:
                try:
                    os.kill(child.pid, signal.SIGCONT)
                    child.kill()
                except ProcessLookupError:
                    pass
        for child in self.children:
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for_port(port, limit=10):
    until = now() + limit
    while now() < until:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise RuntimeError("no process listens")


def is_ready(address):
    try:
        sock = socket.create_connection(address, timeout=1)
    except OSError:
        return False
    http = HttpSocket(sock)
    http.send("GET /-/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
    try:
        return http.head()[0].split(" ")[1] == "200"
    except Closed:
        return False
    finally:
        http.close()


def wait_ready(record, name, address, limit=30):
    until = now() + limit
    while now() < until:
        if is_ready(address):
            record.add(name, "ready")
            return True
        time.sleep(0.02)
    return False


def member(name, port, role, cell=0, zone="a", phase="ready", since=0):
    flavor = {"read": "prefill", "write": "decode", "both": "mixed"}[role]
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": zone, "flavor": flavor, "cell": cell,
            "phase": phase, "size": 1.0, "up_since_ms": since}


def in_thread(function, *arguments, **keywords):
    thread = threading.Thread(target=function, args=arguments, kwargs=keywords, daemon=True)
    thread.start()
    return thread


def rennes_settings(**changes):
    """The settings of a small rennes-prod."""
    settings = {
        "az": "hall-a", "zones": ["hall-a", "hall-b"], "skus": ["prefill", "decode"], "balancers": 2, "me": 0,
        "discovery": "push", "family": "twostage", "stage": 0, "stages": ["model-fleet"], "tickMs": 2.0,
        "allowed": {"attemptsCap": 6, "mayCancel": True, "probes": True, "peers": False, "connIdleMs": 15000.0,
                    "dialTimeoutMs": 250.0, "openCap": 5000, "retryAfter": True, "maxRetryAfterMs": 500.0,
                    "secondCopies": False, "streamsPerConn": 32},
        "clients": {"marksRetry": False},
        "familyInfo": {"holdsAllowed": True, "kindRole": ["read", "write"], "memoryTokens": [235000, 155000],
                       "releaseWithinMs": 500.0, "selfPrefill": False, "resume": False, "tokenAimMs": [50.0, 70.0],
                       "aimUsPer1000PromptTokens": [60000.0, 40000.0], "transferPrice": 0.08,
                       "reportX0": "share of memory that is held",
                       "reportX1": "thousands of prompt tokens waiting to be read or fetched"},
        "loadInfo": {"how": "piggyback", "names": ["latency_ms", "x0", "x1"]},
        "profiles": [
            {"name": "lookup", "aimMs": 800.0, "deadlineMs": 3000.0, "effect": "read_like", "group": "all",
             "lateShare": 0.1, "streaming": True, "windowMs": 5000.0, "worth": 1.0},
            {"name": "correction", "aimMs": 1500.0, "deadlineMs": 6000.0, "effect": "non_idempotent",
             "group": "all", "lateShare": 0.3, "streaming": True, "windowMs": 5000.0, "worth": 3.0}],
        "rules": {"askWithinMs": 10000.0, "coldFrom": 0.27, "drainGraceMs": 250.0, "fallMultiple": 2.5,
                  "graceToAnswerMs": 8.0, "tipAfterMs": 1500.0, "warmWithinMs": 14000.0},
        "accounts": [], "weights": "nominal", "worthBy": "work",
    }
    settings.update(changes)
    return settings


def judge_states(record, bound_s):
    """Each state that was held must be taken by a send or released within the bound, from when it was held and
    no attempt of its request was out: that is from its client's final answer at the latest. Returns the text
    and the states that were held longer."""
    end = now()
    answered = {e["id"]: e["at"] for e in record.select("answer")}
    freed = {}
    for verb in ("take", "free"):
        for event in record.select(verb):
            freed.setdefault(event["id"], []).append(event["at"])
    broken, judged = [], 0
    for state in record.select("hold"):
        if state["id"] not in answered:
            continue
        judged += 1
        due = max(state["at"], answered[state["id"]]) + bound_s
        first = min((at for at in freed.get(state["id"], ()) if at >= state["at"]), default=None)
        if (first is None and end > due) or (first is not None and first > due):
            broken.append(state)
            record.add("check", "held-over", id=state["id"], engine=state["who"], released=first is not None,
                       held_for=round((first or end) - state["at"], 3),
                       held_after_answer=round(state["at"] - answered[state["id"]], 3))
    served = len(record.select("answer", status=200))
    text = f"{served} answers served, {judged} read states judged, {len(broken)} held over the bound"
    if served < 50 or judged < 50:
        raise RuntimeError(text)
    return text, broken


def finish(platform, record, code, verdict):
    platform.end()
    record.write(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)


def repeat(options):
    """A bad client: it sends so many requests at once, reads all answers, and sends the same again at once."""
    request, count = options["request"].encode() * options["at_once"], 0
    try:
        sock = socket.create_connection(("127.0.0.1", options["port"]), timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while now() < options["until"]:
            sock.sendall(request)
            missing, rest = options["at_once"], b""
            while missing > 0:
                data = sock.recv(1 << 20)
                if not data:
                    raise Closed("end")
                data = rest + data
                missing -= data.count(b"HTTP/1.1 ")
                rest = data[-8:] if not data.endswith(b"HTTP/1.1 ") else b""
            count += options["at_once"]
    except (OSError, Closed):
        pass
    print(count)


if __name__ == "__main__" and sys.argv[1:2] == ["repeat"]:
    repeat(json.loads(sys.argv[2]))
if __name__ == "__main__" and sys.argv[1:2] == ["engine"]:
    Engine(json.loads(sys.argv[2]))
    while os.getppid() != 1:
        time.sleep(0.5)
