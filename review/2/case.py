"""A destination without a limit is shut for 10 s and tells how long; at the end of the wait it is cold."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from destination import Destination  # noqa: E402
from peers import TROUBLE, Clients, Platform, RelayProcess, arrivals, run_case, site_settings  # noqa: E402

RATE, STRUCK_RATE = 60.0, 4.0
SHUT_AT, SHUT_FOR, LASTS = 6.0, 10.0, 24.0
ORDER_UPDATE = {
    "name": "order-update",
    "effect": "token",
    "group": "all",
    "window": 6_000_000,
    "objective": 2_000_000,
    "deadline": 12_000_000,
    "worth": 1.0,
    "late-value": 0.3,
    "stream": False,
}
SAFETY = {
    "answer-slack": 20000,
    "ask-within": 10_000_000,
    "cold": 12_000_000,
    "cold-from": 0.2,
    "fall": 3_000_000,
    "overload-factor": 2.0,
    "stop-sending-within": 500_000,
}
COLD = {"cold_s": 12.0, "cold_from": 0.2, "overload": 2.0, "fall_s": 3.0}


async def told_wait_then_cold(record, scratch):
    draw = random.Random(52)
    struck = Destination(
        record,
        1,
        draw,
        hosts=1,
        limit=None,
        workers=1,
        queue=4,
        work_s=0.115,
        tells_wait=0.45,
        kind="brand",
        **COLD,
    )
    others = [
        Destination(record, group, draw, hosts=2, limit=60.0, kind="marketplace", **COLD) for group in (2, 3)
    ]
    hosts = [host for one in (struck, *others) for host in one.hosts]
    for one in (struck, *others):
        for host in one.hosts:
            host.weight = round(one.limit or one.capacity, 1)
            await host.server.listen()
    platform = Platform(record, hosts)
    await platform.server.listen()
    settings = site_settings(
        [ORDER_UPDATE],
        kinds=["marketplace", "brand"],
        weight_source="nominal",
        safety=SAFETY,
        family_info={"call-slots": 22, "per-call": [5, 1], "routes-apart": [True, True]},
    )
    relay = RelayProcess(record, "n0", scratch, platform.server.address, platform.snapshot(), settings)
    tasks = []
    try:
        await relay.start()
        clients = Clients(record, relay.address)

        def message(dst):
            return {"lane": "order-update", "dst": dst, "left_ms": 12000, "key": f"{draw.getrandbits(64):x}"}

        start = record.now()
        for rate, pick in ((STRUCK_RATE, lambda: message(1)), (RATE, lambda: message(draw.choice((2, 3))))):
            tasks.append(asyncio.create_task(arrivals(clients, rate, start + LASTS, draw, tasks, pick)))
        await asyncio.sleep(SHUT_AT)
        if TROUBLE:
            struck.shut_until = record.now() + SHUT_FOR
            record.add("shut", group=1, until=struck.shut_until)
            await asyncio.sleep(SHUT_FOR)
            struck.returns()
        else:
            await asyncio.sleep(SHUT_FOR)
        await asyncio.sleep(max(0, start + LASTS - record.now()))
        print(f"most loaded: {struck.most[1]} calls where {struck.most[2]:.1f} are allowed with the slack")
        return struck.broken
    finally:
        for task in tasks:
            task.cancel()
        relay.end()


def check_cold_return_after_told_wait():
    """The exit code of the case."""
    return run_case(FOLDER, told_wait_then_cold)


if __name__ == "__main__":
    sys.exit(check_cold_return_after_told_wait())
