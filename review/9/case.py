"""Some connections to writers fall silent as they come up: the request written to them never arrives. The read state
that waits for it has to be released in time all the same. The settings allow no probes."""
import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import peers2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SILENT_EACH = 10       # one in ten new connections to writers, for TROUBLE_S
TROUBLE_S = 15.0
REQUESTS_PER_S = 12
RELEASE_S = 0.5        # ub-booking
SLACK_S = 0.3 + 0.05 + 0.15   # what is held, every time limit, a router that is held up

SETTINGS = p.rennes_settings(az="ub-east", zones=["ub-east", "ub-west"], stages=["booking-models"],
                             loadInfo={"how": "silent", "names": []})
SETTINGS["allowed"].update(probes=False, connIdleMs=30000.0, maxRetryAfterMs=1000.0)
SETTINGS["familyInfo"].update(holdsAllowed=False, memoryTokens=[205000, 140000], tokenAimMs=[50.0, 60.0],
                              transferPrice=0.04)
SETTINGS["profiles"] = [
    {"name": name, "aimMs": 1000.0, "deadlineMs": 4000.0, "effect": effect, "group": "all", "lateShare": 0.2,
     "streaming": True, "windowMs": 5000.0, "worth": worth}
    for name, effect, worth in (("ask", "read_like", 2.0), ("book", "non_idempotent", 6.0))]
SETTINGS["rules"].update(coldFrom=0.25, tipAfterMs=2000.0)


class Network:
    """The network between the router and one writer. It passes bytes on; a connection that has fallen silent stays
    open and passes nothing."""

    def __init__(self, record, engine, port, plan):
        self.record, self.engine, self.port, self.plan = record, engine, port, plan
        listener = p.listen()
        self.own_port = listener.getsockname()[1]
        p.serve(listener, self.connection)

    def connection(self, router):
        if self.plan.is_silent():
            self.record.add("network", "silent", engine=self.engine)
            self.plan.kept.append(router)
            return
        engine = socket.create_connection(("127.0.0.1", self.port))
        for source, target in ((router, engine), (engine, router)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            p.in_thread(self.pass_on, source, target)

    @staticmethod
    def pass_on(source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass
        for side in (source, target):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Plan:
    def __init__(self):
        self.lock = threading.Lock()
        self.since = self.until = self.count = 0
        self.kept = []

    def is_silent(self):
        with self.lock:
            if not self.since <= p.now() < self.until:
                return False
            self.count += 1
            return self.count % SILENT_EACH == 0


def main():
    record = p.Record(os.path.join(HERE, "record.txt"))
    platform = p.Platform(record)
    try:
        play(record, platform)
    except Exception as error:  # the case could not run
        p.finish(platform, record, 2, f"could not run: {error!r}")


def play(record, platform):
    ledger, plan = p.Ledger(record), Plan()
    members = []
    for number, role in enumerate(["read"] * 5 + ["write"] * 5):
        name, port = f"s-{number}", p.free_port()
        platform.start_engine({"name": name, "role": role, "port": port, "ledger": ledger.port, "idle_s": 0.3,
                               "read_per_s": 15000, "tokens": 20, "token_s": 0.04})
        if role == "write":
            port = Network(record, name, port, plan).own_port
        members.append(p.member(name, port, role, cell=number % 2, zone="ub-east"))
    discovery = p.Discovery(record, members)
    listen = p.free_port()
    router = platform.start_router({
        "name": "n1", "listen": f"127.0.0.1:{listen}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.known(),
        "settings": SETTINGS}, log_level="debug")
    address = ("127.0.0.1", listen)
    if not p.wait_ready(record, "n1", address):
        raise RuntimeError("the router is not ready")
    if TROUBLE:
        plan.since = p.now() + 3
        plan.until = plan.since + TROUBLE_S
    draw = random.Random(5)
    number, until = 0, p.now() + 3 + TROUBLE_S
    while p.now() < until:
        number += 1
        deadline = int(4000 * draw.uniform(0.5, 1))   # a try is given up after 50 to 100 % of 4 s
        p.in_thread(p.ask, record, address, f"{os.getpid():08x}{number:08x}", "book" if number % 2 else "ask",
                    deadline, draw.randrange(500, 3000), prefix=f"opening{draw.randrange(12)}")
        time.sleep(draw.expovariate(REQUESTS_PER_S))
    time.sleep(6)
    if router.poll() is not None:
        return p.finish(platform, record, 1, "broken: the router has ended")
    judge(record, platform)


def judge(record, platform):
    """A state must be taken by a send or released in time after its read has ended. A send that has not arrived is
    not out and does not stop that clock; where a send has arrived at a writer by then, the state is not judged."""
    bound = RELEASE_S + SLACK_S
    writers = {f"s-{number}" for number in range(5, 10)}
    freed, arrived = {}, {}
    for verb in ("take", "free"):
        for event in record.select(verb):
            freed.setdefault(event["id"], []).append(event["at"])
    for event in record.select("received"):
        if event["who"] in writers:
            arrived.setdefault(event["id"], []).append(event["at"])
    broken, judged = [], 0
    for state in record.select("hold"):
        due = state["at"] + bound
        if any(state["at"] <= at <= due for at in arrived.get(state["id"], ())):
            continue
        judged += 1
        first = min((at for at in freed.get(state["id"], ()) if at >= state["at"]), default=None)
        if first is None or first > due:
            broken.append(state)
            record.add("check", "held-over", id=state["id"], engine=state["who"],
                       held_for=None if first is None else round(first - state["at"], 3))
    served = len(record.select("answer", status=200))
    text = (f"{served} answers served, {len(record.select('silent'))} connections fell silent, "
            f"{judged} states without a send that arrived, {len(broken)} held over the bound")
    if served < 50:
        raise RuntimeError(text)
    p.finish(platform, record, 1 if broken else 0, ("broken: " if broken else "held: ") + text)


main()
