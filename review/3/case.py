"""A reader restarts; its start is told two seconds later. What it read in between has to be let go in time."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

# Rule: 500 ms of the settings, 300 ms more for what is held, and 50 ms more as for every time limit.
LONGEST_HELD_MS = 500 + 300 + 50
TOLD_AFTER_S = 2.0   # discovery hears of a start 0.39 to 2.2 s later
REQUESTS = 16


async def ask(record, router, trace, leave_after_s=None):
    """Sends one request; closes the connection after a time if the client gives up early."""
    reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
    writer.write(request_bytes(trace, prefix="p-" + trace, prefix_tokens=800))
    record.write("client-asks", id=trace)
    try:
        status, _, _, whole = await asyncio.wait_for(read_response(reader), leave_after_s or 8)
        record.write("client-answered", id=trace, status=status, whole=int(whole))
        return status
    except asyncio.TimeoutError:
        record.write("client-leaves", id=trace)
        return None
    except (asyncio.IncompleteReadError, ConnectionError):
        record.write("client-unanswered", id=trace)
        return None
    finally:
        writer.close()


async def case(record):
    fleet = Fleet(record)
    long_ago = now_ms() - 60_000
    readers = [Engine(f"s-r{i}", "prefill", fleet, record, up_since_ms=long_ago) for i in (1, 2)]
    writers = [Engine(f"s-w{i}", "decode", fleet, record, up_since_ms=long_ago) for i in (1, 2)]
    engines = readers + writers
    for engine in engines:
        await engine.start()
    discovery = Discovery(engines, record)
    await discovery.start()
    router = Router(record, discovery.address, discovery.whole())
    try:
        await router.start()
        # A router takes the latest start that it hears of first as one of this moment, so all engines count as
        # cold for their warm-up time. Ordinary traffic until then and a little longer.
        until = time.monotonic() + 16
        number = 0
        while time.monotonic() < until:
            await ask(record, router, f"first{number}")
            await asyncio.sleep(0.15)
            number += 1
        if TROUBLE:
            await readers[0].restart(down_s=1.2)
        else:
            await asyncio.sleep(1.2)
        await asyncio.sleep(TOLD_AFTER_S - 0.4)
        # The writers' slots are taken for a while, so that requests wait there with their state at the reader.
        for writer in writers:
            writer.queue_s = 2.5
        clients = [asyncio.create_task(ask(record, router, f"leaves{number}", leave_after_s=1.0))
                   for number in range(REQUESTS)]
        await asyncio.sleep(0.4)
        if TROUBLE:
            discovery.tell(readers[0])
        await asyncio.gather(*clients)
        await asyncio.sleep(4)
        broken = []
        for state in fleet.states:
            longest = fleet.longest_unattended(state)
            record.write("state", id=state.trace, engine=state.engine.name, how=state.how,
                         unattended_ms=round(longest))
            if longest > LONGEST_HELD_MS:
                broken.append((state.trace, state.engine.name, round(longest), state.how))
        left = [s for s in fleet.states if s.trace.startswith("leaves")]
        if not any(s.engine is readers[0] for s in left):
            raise CannotRun("no request was read by the reader in question")
        print(f"{len(left)} states of clients that left; {len(broken)} held for more than {LONGEST_HELD_MS} ms "
              "with no attempt out")
        for item in broken:
            print("  request %s at %s: %d ms, %s" % item)
        return BROKEN if broken else HELD
    finally:
        await router.stop()


play(FOLDER, case)
