"""A router is killed. While it is away its agent is told that a reader drains; then discovery goes down for 8 s.
The new process starts with the list that the old one last had. It may not send the drained reader new work."""
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import peers2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OUTAGE_S = 8.0         # the pages: discovery is down for 8 s
GRACE_S = 0.25         # rennes-prod
SLACK_S = 0.05 + 0.15  # every time limit, a router that is held up
REQUESTS_PER_S = 10


def main():
    record = p.Record(os.path.join(HERE, "record.txt"))
    platform = p.Platform(record)
    try:
        play(record, platform)
    except Exception as error:  # the case could not run
        p.finish(platform, record, 2, f"could not run: {error!r}")


def play(record, platform):
    ledger = p.Ledger(record)
    members = []
    for number, role in enumerate(["read"] * 5 + ["write"] * 5):
        name, port = f"s-{number}", p.free_port()
        platform.start_engine({"name": name, "role": role, "port": port, "ledger": ledger.port, "probes": True,
                               "read_per_s": 14000})
        members.append(p.member(name, port, role, cell=number % 2, zone="hall-a"))
    discovery = p.Discovery(record, members)
    listen = p.free_port()
    config = {"name": "n1", "listen": f"127.0.0.1:{listen}", "discovery": discovery.address,
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": discovery.known(), "settings": p.rennes_settings()}
    address = ("127.0.0.1", listen)
    router = platform.start_router(config)
    if not p.wait_ready(record, "n1", address):
        raise RuntimeError("the router is not ready")
    number = ask_for(record, address, 3.0, 0)
    drained = "s-1"
    if TROUBLE:
        platform.signal(router, signal.SIGKILL, "n1")
        router.wait()
    discovery.change(drained, phase="draining")
    time.sleep(0.3)
    told = p.now()
    if TROUBLE:
        discovery.silence(True)
        back = told + OUTAGE_S
        time.sleep(0.7)
        # `known`: the list of engines as this router last had it, that is before it was killed.
        told = p.now()
        router = platform.start_router(dict(config, seed="77c2d1e4a9b06f35"))
        record.add("n1", "told", engine=drained, how="the agent has it from the first moment of the process")
        while not p.is_ready(address) and p.now() < back:
            time.sleep(0.02)
        if p.is_ready(address):
            record.add("n1", "ready")
            number = ask_for(record, address, max(0, back - p.now()), number)
        discovery.silence(False)
    number = ask_for(record, address, 3.0, number)
    time.sleep(2)
    late = [e for e in record.select("received", who=drained) if e["first"] > told + GRACE_S + SLACK_S]
    for event in late:
        record.add("check", "drain", id=event["id"], engine=drained, after_told=round(event["first"] - told, 3))
    served = len(record.select("answer", status=200))
    text = f"{served} answers served, {len(late)} requests sent to {drained} after it was told and the grace"
    if served < 30:
        raise RuntimeError(text)
    p.finish(platform, record, 1 if late else 0, ("broken: " if late else "held: ") + text)


def ask_for(record, address, seconds, number):
    until = p.now() + seconds
    while p.now() < until:
        number += 1
        p.in_thread(p.ask, record, address, f"{os.getpid():08x}{number:08x}", "lookup", 3000,
                    1500 + 50 * (number % 40), prefix=f"opening{number % 12}")
        time.sleep(1 / REQUESTS_PER_S)
    return number


main()
