"""Another program takes 70 % of four readers' machines, on and off. Reads that were given up go on there and end
late; the read states that they leave have to be released."""
import math
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import peers2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TAKEN = 0.70           # of the machine; the pages: 33 to 70 %
SLOW = 4               # of 10 engines; the pages: up to 43 %
ON_S, OFF_S = 4.5, 1.5
TROUBLE_S = 36.0       # the pages: 15 to 40 s
REQUESTS_PER_S = 14
LONGEST_PROMPT = 18000  # the pages: 61671
RELEASE_S = 0.5        # rennes-prod
SLACK_S = 0.3 + 0.05 + 0.15   # what is held, every time limit, a router that is held up
SETTLE_S = 13.0        # watched this long after the trouble, far over the bound

SETTINGS = p.rennes_settings()
SETTINGS["familyInfo"].update(memoryTokens=[415000, 657000], tokenAimMs=[67.0, 67.0],
                              aimUsPer1000PromptTokens=[85000.0, 85000.0])
for profile, deadline in zip(SETTINGS["profiles"], (4800.0, 6000.0)):
    profile.update(aimMs=1200.0, deadlineMs=deadline)


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
    trouble_at = p.now() + 8
    spells = [[trouble_at + i * (ON_S + OFF_S), trouble_at + i * (ON_S + OFF_S) + ON_S]
              for i in range(int(TROUBLE_S / (ON_S + OFF_S)))]
    for number, role in enumerate(["read"] * 5 + ["write"] * 5):
        name, port = f"s-{number}", p.free_port()
        options = {"name": name, "role": role, "port": port, "ledger": ledger.port, "read_per_s": 12700,
                   "probes": True}
        if TROUBLE and number < SLOW:
            options.update(slow=1 / (1 - TAKEN), slow_spells=spells)
        platform.start_engine(options)
        members.append(p.member(name, port, role, cell=number % 2, zone="hall-a"))
    discovery = p.Discovery(record, members)
    routers, addresses = [], []
    for index in range(2):
        listen = p.free_port()
        settings = dict(SETTINGS, me=index)
        routers.append(platform.start_router({
            "name": f"n{index}", "listen": f"127.0.0.1:{listen}", "discovery": discovery.address,
            "seed": f"8c1f30d27a5be96{index}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.known(), "settings": settings}, log_level="debug"))
        addresses.append(("127.0.0.1", listen))
        if not p.wait_ready(record, f"n{index}", addresses[index]):
            raise RuntimeError("a router is not ready")
    draw = random.Random(7)
    record.add("engines", "trouble" if TROUBLE else "no-trouble", at=trouble_at)
    openings = [(f"opening{i}", draw.randrange(3500, 6145)) for i in range(60)]
    number = 0
    while p.now() < trouble_at + TROUBLE_S:
        number += 1
        opening, opening_len = openings[min(59, int(60 * draw.random() ** 2))]
        prompt = min(LONGEST_PROMPT, opening_len + int(1000 * math.exp(draw.gauss(0, 1.15))))
        # A try is given up after 50 to 100 % of 4.8 s; up to two more follow a refusal, after 50 to 500 ms.
        p.in_thread(p.ask_again, record, addresses[number % 2], f"{os.getpid():07x}{number:08x}", "lookup", 4800,
                    draw.uniform(0.5, 1), draw.choice((2, 3)), draw.uniform(0.05, 0.25), prompt,
                    prefix=opening, prefix_len=opening_len, max_out=512)
        time.sleep(draw.expovariate(REQUESTS_PER_S))
    time.sleep(3 + SETTLE_S)
    if any(router.poll() is not None for router in routers):
        return p.finish(platform, record, 1, "broken: a router has ended")
    text, broken = p.judge_states(record, RELEASE_S + SLACK_S)
    p.finish(platform, record, 1 if broken else 0, ("broken: " if broken else "held: ") + text)


main()
