"""A new version takes over while discovery is down. The list changed since the relay was configured, which the old
process was told long ago."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
import peers

LANES = [peers.lane("status-notice", "pure", deadline_s=8.0), peers.lane("quote-order", "token", deadline_s=12.0)]
GROUP, OTHER_GROUP, RATE = 3, 5, 10
REPLACED_AT_S, ADDRESS_TAKEN_AT_S = 1.0, 7.5  # what changed counts as told 6 s later
DOWN_AT_S, DOWN_FOR_S = 9.0, 8.0  # pages: 8 s
UPGRADE_AT_S, ENDS_AT_S = 9.5, 19.0
KILLED_AFTER_S = 3.7  # SIGKILL behind the SIGTERM
BINDS_AFTER_S = 2.05  # the yes of a new process: from then on it is held to the list


class SwitchedPlatform(peers.Platform):
    """While it is down, calls for the list fail and watches end; notices are taken."""

    is_down = False

    async def respond(self, first, headers, body, reader):
        if self.is_down and first.startswith("GET"):
            return peers.answer_bytes(503)
        answer = await super().respond(first, headers, body, reader)
        return peers.answer_bytes(503) if self.is_down and first.startswith("GET") else answer

    def go(self, down):
        self.record("discovery", down=down)
        self.is_down = down
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


async def play(record, trouble):
    """Whether a host gets a message whose destination is not its group."""

    async def plan(host, call):
        await asyncio.sleep(0.05)
        return 200, [], b""

    old_host = peers.Host("s-old", GROUP, record, plan)
    new_host = peers.Host("s-new", GROUP, record, plan)
    other = peers.Host("s-other", OTHER_GROUP, record, plan)
    for host in (old_host, new_host, other):
        await host.open()
    platform = SwitchedPlatform(record, [old_host.entry(), other.entry()])
    await platform.open()
    relay = peers.Relay(record, platform, peers.settings(LANES), shares_socket=True)
    relay.known = platform.whole()
    taker = peers.Host("s-taker", OTHER_GROUP, record, plan)
    client, heard, tasks, yes = None, {}, [], []
    try:
        relay.start()
        if not await relay.ready():
            return peers.NOT_RUN
        client, began = peers.Client(relay.place, record), record.now()

        async def at(seconds):
            await asyncio.sleep(max(0, began + seconds - record.now()))

        async def change_list():
            await at(REPLACED_AT_S)
            platform.change(old_host.entry("left"), new_host.entry())
            await at(ADDRESS_TAKEN_AT_S)
            await old_host.close()
            await taker.open(old_host.port)
            platform.change(taker.entry())

        async def go_down():
            await at(DOWN_AT_S)
            platform.go(down=trouble)
            await at(DOWN_AT_S + DOWN_FOR_S)
            platform.go(down=False)

        async def upgrade():
            await at(UPGRADE_AT_S)
            old, relay.ops_place = relay.process, peers.free_place()
            relay.start()
            for _ in range(120):
                if (await peers.ask(relay.ops_place, "GET", "/ops/readiness"))[0] == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise TimeoutError("the new process did not say yes within 6 s")
            yes.append(record.now())
            record("the new process says yes")
            relay.kill(signal.SIGTERM, old)
            await asyncio.sleep(KILLED_AFTER_S)
            if old.poll() is None:
                relay.kill(signal.SIGKILL, old)

        async def hand_in(number):
            lane = LANES[number % 2]["name"]
            heard[f"m-{number}"] = await client.submit(f"m-{number}", lane, GROUP, left_ms=8000)

        async def traffic():
            for number in range(int(ENDS_AT_S * RATE)):
                tasks.append(asyncio.create_task(hand_in(number)))
                await at((number + 1) / RATE)
            await asyncio.gather(*tasks)

        await asyncio.gather(change_list(), go_down(), upgrade(), traffic())
        await asyncio.sleep(4)
    finally:
        if client:
            client.close()
        relay.close()

    broken = excused = 0
    for host in (other, taker):
        for call in host.calls:
            if call["at"] <= yes[0] + BINDS_AFTER_S:
                excused += 1
                continue
            broken += 1
            record("BROKEN: a foreign host got it", host=host.name, group=host.group, id=call["id"])
    taken = sum(status in (200, 202) for status in heard.values())
    by_host = {host.name: len(host.calls) for host in (old_host, new_host, other, taker)}
    record("result", handed_in=len(heard), taken=taken, foreign=broken, within_2_s_of_yes=excused, **by_host)
    if taken < len(heard) / 2:
        return peers.NOT_RUN
    return peers.BROKEN if broken else peers.HELD


def message_reaches_a_foreign_host_after_an_upgrade():
    """Plays the case, and ends the process with the exit code."""
    peers.run_case(play, Path(__file__).parent)


if __name__ == "__main__":
    message_reaches_a_foreign_host_after_an_upgrade()
