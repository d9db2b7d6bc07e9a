"""Hosts' answers say in their body whether the key of a call is known. For 6 s one answer in ten is lost."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
import peers

LANES = [peers.lane("status-notice", "pure"), peers.lane("quote-order", "token")]
GROUP, RATE, LASTS_S = 7, 30, 20.0
LOST_FROM_S, LOST_FOR_S, LOST_SHARE = 4.0, 6.0, 0.1
PACE_S = 0.03
# A call that arrives so long after a 200 was written was sent after it: loopback takes far less.
IN_TRANSIT_S = 0.25


async def play(record, trouble):
    """Whether a call comes for a message for which a 200 was written before, on a connection that was open."""
    draw, seen, began = random.Random(8), set(), record.now()

    async def plan(host, call):
        await asyncio.sleep(PACE_S)
        is_repeat, now = call["key"] in seen, record.now() - began
        seen.add(call["key"])
        call["ran"] = True
        if trouble and LOST_FROM_S <= now < LOST_FROM_S + LOST_FOR_S and draw.random() < LOST_SHARE:
            return None
        return 200, [], b'{"result":"repeat"}' if is_repeat else b'{"result":"accepted"}'

    hosts = [peers.Host(name, GROUP, record, plan) for name in ("s-1", "s-2")]
    for host in hosts:
        await host.open()
    platform = peers.Platform(record, [host.entry() for host in hosts])
    await platform.open()
    relay = peers.Relay(record, platform, peers.settings(LANES))
    client, heard, tasks = None, {}, []
    try:
        relay.start()
        if not await relay.ready():
            return peers.NOT_RUN
        client, began = peers.Client(relay.place, record), record.now()

        async def hand_in(number):
            lane = "status-notice" if number % 2 else "quote-order"
            name = f"{lane}-{number}"
            heard[name] = await client.submit(name, lane, GROUP, left_ms=12_000)

        for number in range(int(RATE * LASTS_S)):
            tasks.append(asyncio.create_task(hand_in(number)))
            await asyncio.sleep(max(0, began + (number + 1) / RATE - record.now()))
        await asyncio.gather(*tasks)
        await asyncio.sleep(14)
    finally:
        if client:
            client.close()
        relay.close()

    calls = sorted((call for host in hosts for call in host.calls), key=lambda call: call["at"])
    delivered, broken, failed = {}, 0, 0
    for call in calls:
        at = delivered.get(call["id"])
        if at is not None and call["at"] > at + IN_TRANSIT_S and heard[call["id"]] in (200, 202):
            record("BROKEN: sent again after its 200", id=call["id"], after_s=f"{call['at'] - at:.3f}")
            broken += 1
        if call.get("status") == 200:
            delivered.setdefault(call["id"], call["answered"])
    for name in delivered:
        if platform.notice_of(name):
            record("told otherwise, though a 200 was written", id=name, state=platform.notice_of(name)["state"])
            failed += 1
    taken = sum(status in (200, 202) for status in heard.values())
    record("result", taken=taken, delivered=len(delivered), sent_again=broken, told_otherwise=failed)
    if taken < 0.5 * len(heard):
        return peers.NOT_RUN
    return peers.BROKEN if broken else peers.HELD


def delivered_message_is_sent_again():
    """Plays the case, and ends the process with the exit code."""
    peers.run_case(play, Path(__file__).parent)


if __name__ == "__main__":
    delivered_message_is_sent_again()
