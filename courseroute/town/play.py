"""Plays one day: workers, platform and relays started, faults struck, the ledger judged while it runs.

Called by the command line, the tests and the laboratory: `await play(day, folder, command, watch)`.
"""

import contextlib
import heapq
import itertools
import math
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import NamedTuple

import msgspec
import orjson
import trio

from courseroute.checked import span
from courseroute.town.clients import REPORTED_LATE
from courseroute.town.judge import MS, Judge, S
from courseroute.town.platform import Directory, Platform, entries_of, entry_of
from courseroute.town.quarter import read, say
from courseroute.town.relays import Relays, default_command
from courseroute.town.script import PLATFORM_FAULTS, PROCESS_FAULTS, RELAY_FAULTS, destinations, strikes

SORTED_WITHIN = 400 * MS  # rows of all workers come within so long and are judged in order of time
BETWEEN_LOOKS = 0.1  # seconds
LEAD = 200 * MS  # between the word to start and the first arrival
LEFT_AFTER = 2.0  # seconds between leaving and left


class Result(NamedTuple):
    day: object
    judge: Judge
    relays: list
    rows: list  # the whole ledger, in order of time
    start: int
    took: float


class Town:
    def __init__(self, day, folder, command=None, keep=True):
        self.day, self.folder, self.command = day, folder, command or default_command()
        self.clock, self.judge = time.monotonic_ns, Judge(day)
        self.waiting, self.count, self.rows, self.keep = [], itertools.count(), [], keep
        self.places = destinations(day)
        self.judge.per_host_destinations = {
            place.number for place in self.places if day.kinds[place.form.kind].apart
        }
        self.workers, self.queues, self.start, self.cut_off = [], [], 0, False
        self.ending = False  # the workers were told to end
        self.downs = 0  # outages of the directory under way

    # The ledger.

    def tell(self, what, at, **row):
        self.take({"at": at, "what": what, **row})

    def take(self, row):
        heapq.heappush(self.waiting, (row["at"], next(self.count), row))

    def judge_until(self, at):
        while self.waiting and self.waiting[0][0] <= at:
            _, _, row = heapq.heappop(self.waiting)
            if self.keep:
                self.rows.append(row)
            self.judge.feed(row)

    # Parts.

    async def play(self, watch=None):
        """The day's Result; `watch` is told (town, seconds since the start) now and then."""
        begun = time.monotonic()
        self.folder.mkdir(parents=True, exist_ok=True)
        relay_places = [free_place(i) for i in range(self.day.relays.count)]
        try:
            async with trio.open_nursery() as nursery:
                hosts = await self.start_workers(nursery, relay_places)
                self.directory = Directory(entries_of(self.places))
                self.platform = Platform(self.directory, hosts, self.clock, self.tell, self.ended)
                self.relays = Relays(
                    self.day, self.folder, relay_places, self.command, self.clock, self.tell, self.front
                )
                self.relays.tasks = nursery
                await self.start_relays(nursery)
                nursery.start_soon(self.relays.watch)
                nursery.start_soon(self.heed_signals, nursery)
                await self.run_day(nursery, watch)
                self.relays.end_all()
                await self.end_workers()
                nursery.cancel_scope.cancel()
        finally:
            self.clean()
        if self.cut_off:
            raise KeyboardInterrupt
        self.judge_until(1 << 63)
        self.judge.finish()
        if self.keep:
            self.write_ledger()
        took = time.monotonic() - begun
        return Result(self.day, self.judge, self.relays.relays, self.rows, self.start, took)

    async def heed_signals(self, nursery):
        """Told to end before its time, a town ends what it started."""
        if threading.current_thread() is threading.main_thread():
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    self.cut_off = True
                    nursery.cancel_scope.cancel()

    async def start_workers(self, nursery, relay_places):
        hosts, count = {}, self.day.workers
        self.worker_lines = []
        for number in range(count):
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "courseroute.town.quarter"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
            self.workers.append(process)
            await say(
                process.stdin,
                {
                    "day": msgspec.to_builtins(self.day),
                    "number": number,
                    "count": count,
                    "relays": relay_places,
                },
            )
        for process in self.workers:
            lines = read(process.stdout)
            self.worker_lines.append(lines)
            hosts |= (await anext(lines))["hosts"]
        return hosts

    async def start_relays(self, nursery):
        for relay in self.relays.relays:
            self.relays.configure(relay, await self.platform.listen(relay.number, nursery))
            self.relays.start(relay)
        for relay in self.relays.relays:
            if not await self.relays.ready(relay):
                said = (relay.folder / "log").read_text(errors="replace")[-600:]
                raise RuntimeError(f"{relay.name} was not ready within 30 s; its log ends:\n{said}")

    async def run_day(self, nursery, watch):
        self.start = self.clock() + LEAD
        for process, lines in zip(self.workers, self.worker_lines, strict=True):
            queue, told = trio.open_memory_channel(math.inf)
            queue.send_nowait({"start": self.start})
            self.queues.append(queue)
            nursery.start_soon(self.send, process, told)
            nursery.start_soon(self.listen, lines)
        for strike in strikes(self.day):
            nursery.start_soon(self.strike, nursery, strike)
        last = self.start + span(self.day.lasts)
        most = last + max(span(lane.deadline) for lane in self.day.lanes.values()) + 3 * S
        while True:
            await self.look_again()
            now = self.clock()
            self.judge_until(now - SORTED_WITHIN)
            if watch:
                watch(self, (now - self.start) / S)
            if now > most or now > last + S and not self.judge.open() and not self.away():
                return

    async def look_again(self):
        """Waits for the next look at the day; a process that was held up meanwhile blames itself, as what
        relays told the platform was heard late."""
        due = self.clock() + int(BETWEEN_LOOKS * S)
        await trio.sleep(BETWEEN_LOOKS)
        if (by := self.clock() - due) > REPORTED_LATE:
            self.tell("late", self.clock(), by=by)

    def away(self):
        return any(relay.process is None or not relay.wanted for relay in self.relays.relays)

    async def listen(self, lines):
        async for rows in lines:
            for row in rows:
                self.take(row)
        if not self.ending:
            raise RuntimeError("a worker process of the town ended before its day; its trace is above")

    async def end_workers(self):
        self.ending = True
        self.to_workers({"do": "end"})
        with trio.move_on_after(3):
            for process in self.workers:
                await process.wait()
        await trio.sleep(0.05)

    def clean(self):
        for process in self.workers:
            if process.returncode is None:
                process.kill()
        if hasattr(self, "relays"):
            self.relays.end_all()

    # What passes between the parts.

    def front(self, relay, reach):
        self.to_workers({"do": "relay", "relay": relay, "reach": reach})

    def to_workers(self, told):
        for queue in self.queues:
            queue.send_nowait(told)

    async def send(self, process, told):
        """What a worker is to hear, in order; one that has gone hears nothing."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for line in told:
                await say(process.stdin, line)

    def ended(self, name, state, after):
        """A notice: its client hears that the message came back."""
        n = name.partition("-")[0]
        msg = self.judge.messages.get(name)
        if state == "returned" and n.isdigit() and not (msg and msg.delivered_at):
            self.to_workers({"do": "again", "n": int(n), "after": after, "mark": "1"})

    # Faults at relays and platform, and what the directory tells of the hosts.

    async def strike(self, nursery, strike):
        await trio.sleep(max(0, self.start + strike.begin - self.clock()) / 1e9)
        self.tell(
            "fault",
            self.clock(),
            kind=strike.kind,
            names=list(strike.names),
            begins=True,
            until=self.start + strike.end,
        )
        if strike.kind in RELAY_FAULTS:
            for relay in self.relays.relays:
                if relay.name in strike.names:
                    nursery.start_soon(self.at_relay, nursery, relay, strike)
        elif strike.kind in PLATFORM_FAULTS:
            await self.at_platform(strike)
        elif strike.kind in ("drain", "leave", "replace"):
            await self.at_directory(strike)

    async def at_relay(self, nursery, relay, strike):
        lasts = strike.end - strike.begin
        if strike.kind == "requests-late":  # the clients do it
            return
        if strike.kind in PROCESS_FAULTS:
            await self.relays.fail_inside(relay, strike)
        elif strike.kind == "wipe":
            nursery.start_soon(self.relays.kill, relay, True)
            await trio.sleep(max(span(self.day.relays.noticed_after), 2 * SORTED_WITHIN) / 1e9)
            for msg in [
                msg
                for msg in self.judge.messages.values()
                if msg.relay == relay.name
                and msg.lost_with_relay
                and msg.accepted_at
                and msg.closed_at is None
            ]:
                self.to_workers({"do": "again", "n": msg.n, "after": 0, "mark": "again"})
        elif strike.kind == "reload":
            self.relays.configure(relay, await self.platform.move(relay.number, nursery))
            self.relays.reread(relay)
        else:
            await {
                "kill": lambda: self.relays.kill(relay),
                "restart": lambda: self.relays.restart(relay),
                "restart-in-use": lambda: self.relays.restart(relay, in_use=True),
                "crowd": lambda: self.relays.crowd(relay, lasts),
                "pause": lambda: self.relays.pause(relay, lasts),
                "disk-full": lambda: self.relays.fill_disk(relay, lasts),
            }[strike.kind]()

    async def at_platform(self, strike):
        platform, lasts = self.platform, (strike.end - strike.begin) / 1e9
        if strike.kind == "watches-silent":
            platform.silence_watches()
        elif strike.kind == "directory-crowded":
            platform.turn_takes = span(strike.fault.by)
            await trio.sleep(lasts)
            platform.turn_takes = 0
        elif strike.kind == "directory-down":
            self.downs += 1
            if self.downs == 1:
                platform.set_down(True)
                self.tell("platform", self.clock(), now="directory-down")
            await trio.sleep(lasts)
            self.downs -= 1
            if not self.downs:  # another one may have begun meanwhile
                platform.set_down(False)
                self.tell("platform", self.clock(), now="directory-up")
        elif strike.kind == "notices-unanswered":
            platform.draw = random.Random(f"{self.day.seed} {strike.begin}")
            platform.unanswered_share = strike.fault.share
            await trio.sleep(lasts)
            platform.unanswered_share = 0.0
        elif strike.kind == "directory-late":
            self.directory.late = span(strike.fault.by)
            await trio.sleep(lasts)
            self.directory.late = 0
        else:
            platform.notices_down = True
            self.tell("platform", self.clock(), now="notices-down")
            await trio.sleep(lasts)
            platform.notices_down = False
            self.tell("platform", self.clock(), now="notices-up")

    async def at_directory(self, strike):
        struck = [(place, host) for place in self.places for host in place.hosts if host.name in strike.names]
        for place, host in struck:
            if strike.kind == "replace":
                self.change(place, host, "left")
                self.change(place, host, "active", f"{host.name}+{int(strike.begin)}", time.time_ns() // MS)
            else:
                self.change(place, host, "leaving")
        if strike.kind == "leave":
            await trio.sleep(LEFT_AFTER)
        elif strike.kind == "drain":
            await trio.sleep((strike.end - strike.begin) / 1e9)
        for place, host in struck:
            if strike.kind != "replace":
                self.change(place, host, "left" if strike.kind == "leave" else "active")

    def change(self, place, host, status, name=None, since=0):
        entry = entry_of(place, host, status, name, since)
        self.tell("changed", self.clock(), host=entry["name"], status=status)
        self.directory.change(entry)

    def write_ledger(self):
        with open(self.folder / "ledger.jsonl", "wb") as file:
            for row in self.rows:
                file.write(orjson.dumps(row) + b"\n")


def free_place(number):
    """An address nobody listens on: each relay has one of its own, the port is drawn."""
    draw = random.SystemRandom()
    while True:
        place = f"127.18.{number}.1", draw.randrange(20000, 32000)  # below the ports that calls out use
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(place)
            return list(place)


async def play(day, folder, command=None, watch=None, keep=True):
    return await Town(day, folder, command, keep).play(watch)
