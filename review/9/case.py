"""Two of ten engines take requests and answer none for 18 s, then go on with them. Their clients have had their
answers long before; the read states that the two then hold have to be released."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import peers2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HANG_S = 18.0          # of two of ten engines; the pages: 9.2 to 23 s, 5.6 to 20 % of the engines
REQUESTS_PER_S = 8
DEADLINE_MS = 4000     # class quick-ask
RELEASE_S = 1.0        # menu-helper-qld
SLACK_S = 0.3 + 0.05 + 0.15   # what is held, every time limit, a router that is held up
SETTLE_S = 8.0         # watched this long after the hang, far over the bound

SETTINGS = {
    "az": "bne-north", "zones": ["bne-north", "bne-south"], "skus": ["prefill", "decode", "mixed"], "balancers": 1,
    "me": 0, "discovery": "push", "family": "twostage", "stage": 0, "stages": ["helper-fleet"], "tickMs": 2.0,
    "allowed": {"attemptsCap": 5, "mayCancel": True, "probes": False, "peers": False, "connIdleMs": 15000.0,
                "dialTimeoutMs": 250.0, "openCap": 5000, "retryAfter": False, "maxRetryAfterMs": 1000.0,
                "secondCopies": False, "streamsPerConn": 32},
    "clients": {"marksRetry": True},
    "familyInfo": {"holdsAllowed": True, "kindRole": ["read", "write", "both"],
                   "memoryTokens": [200000, 170000, 220000], "releaseWithinMs": 1000.0, "selfPrefill": False,
                   "resume": True, "tokenAimMs": [50.0, 80.0], "aimUsPer1000PromptTokens": [60000.0, 120000.0],
                   "reportX0": "share of memory that is held", "transferPrice": 0.03,
                   "reportX1": "thousands of prompt tokens waiting to be read or fetched"},
    "loadInfo": {"how": "piggyback", "names": ["x0", "x1"]},
    "profiles": [
        {"name": "quick-ask", "aimMs": 800.0, "deadlineMs": 4000.0, "effect": "read_like", "group": "all",
         "lateShare": 0.3, "streaming": True, "windowMs": 5000.0, "worth": 1.0},
        {"name": "menu-check", "aimMs": 2000.0, "deadlineMs": 8000.0, "effect": "read_like", "group": "all",
         "lateShare": 0.2, "streaming": True, "windowMs": 5000.0, "worth": 3.0}],
    "rules": {"askWithinMs": 10000.0, "coldFrom": 0.25, "drainGraceMs": 250.0, "fallMultiple": 2.5,
              "graceToAnswerMs": 8.0, "tipAfterMs": 1500.0, "warmWithinMs": 14000.0},
    "accounts": [], "weights": "nominal", "worthBy": "work",
}


def main():
    record = p.Record(os.path.join(HERE, "record.txt"))
    platform = p.Platform(record)
    try:
        play(record, platform)
    except Exception as error:  # the case could not run
        p.finish(platform, record, 2, f"could not run: {error!r}")


def play(record, platform):
    ledger = p.Ledger(record)
    members, engines = [], {}
    for number, role in enumerate(["read"] * 4 + ["write"] * 4 + ["both"] * 2):
        name, port = f"s-{number}", p.free_port()
        engines[name] = platform.start_engine({"name": name, "role": role, "port": port, "ledger": ledger.port,
                                               "read_per_s": 15000})
        members.append(p.member(name, port, role, cell=number % 2, zone="bne-north"))
    discovery = p.Discovery(record, members)
    listen = p.free_port()
    router = platform.start_router({
        "name": "n1", "listen": f"127.0.0.1:{listen}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.known(),
        "settings": SETTINGS}, log_level="debug")
    address = ("127.0.0.1", listen)
    if not p.wait_ready(record, "n1", address):
        raise RuntimeError("the router is not ready")

    stop_asking = threading.Event()

    def clients():
        number = 0
        while not stop_asking.is_set():
            number += 1
            p.in_thread(p.ask, record, address, f"{os.getpid():08x}{number:08x}", "quick-ask", DEADLINE_MS,
                        1500 + 100 * (number % 20), prefix=f"opening{number % 12}")
            time.sleep(1 / REQUESTS_PER_S)

    p.in_thread(clients)
    time.sleep(4)
    # Two of ten engines: the readers that were used most.
    used = [event["who"] for event in record.select("hold")]
    hung = sorted((name for name in engines if name in used), key=used.count)[-2:]
    for name in hung if TROUBLE else ():
        platform.signal(engines[name], signal.SIGSTOP, name)
    time.sleep(HANG_S)
    for name in hung if TROUBLE else ():
        platform.signal(engines[name], signal.SIGCONT, name)
    time.sleep(2)
    stop_asking.set()
    time.sleep(SETTLE_S)
    if router.poll() is not None:
        return p.finish(platform, record, 1, "broken: the router has ended")
    text, broken = p.judge_states(record, RELEASE_S + SLACK_S)
    p.finish(platform, record, 1 if broken else 0, ("broken: " if broken else "held: ") + text)


main()
