"""Runs one day: starts workers, platform and relays, applies the faults and checks the ledger meanwhile.

Called by the command line, the tests and the laboratory: `await run_day(day, folder, command, watch)`.
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
from courseroute.emulator.clients import LATENESS_REPORTED_FROM
from courseroute.emulator.judge import MS, Judge, S
from courseroute.emulator.platform import Directory, Platform, endpoint_entries, endpoint_entry
from courseroute.emulator.relays import Relays, default_command
from courseroute.emulator.scenario import (
    PLATFORM_FAULTS,
    PROCESS_FAULTS,
    RELAY_FAULTS,
    destinations,
    scheduled_faults,
)
from courseroute.emulator.worker import read_lines, write_line

LEDGER_DELAY = 400 * MS  # rows of all workers arrive within this time; older ones are checked in order
CHECK_INTERVAL = 0.1  # seconds
START_DELAY = 200 * MS  # from the start message to the first arrival
LEFT_DELAY = 2.0  # seconds from the status leaving to left


class DayResult(NamedTuple):
    """What is left of a day: its checked ledger and its relays."""

    day: object
    judge: Judge
    relays: list
    rows: list  # the whole ledger, in order of time
    start: int
    duration_s: float


class Emulation:
    """One day on loopback. Files are kept in `folder`, the ledger too if `keep` is set."""

    def __init__(self, day, folder, command=None, keep=True):
        self.day, self.folder, self.command = day, folder, command or default_command()
        self.clock, self.judge = time.monotonic_ns, Judge(day)
        self.pending_rows, self.row_sequence, self.rows, self.keep_rows = [], itertools.count(), [], keep
        self.destinations = destinations(day)
        self.judge.per_host_destinations = {
            destination.number for destination in self.destinations if day.kinds[destination.form.kind].apart
        }
        self.workers, self.worker_queues, self.start, self.interrupted = [], [], 0, False
        self.stopping = False  # the workers have been told to end
        self.directory_faults = 0  # active outages of the directory

    # The ledger.

    def record(self, what, at, **row):
        """Adds a row to the ledger; `at` in nanoseconds."""
        self.add_row({"at": at, "what": what, **row})

    def add_row(self, row):
        heapq.heappush(self.pending_rows, (row["at"], next(self.row_sequence), row))

    def process_rows_until(self, at):
        """Passes the rows up to time `at` to the judge, in order of their time."""
        while self.pending_rows and self.pending_rows[0][0] <= at:
            _, _, row = heapq.heappop(self.pending_rows)
            if self.keep_rows:
                self.rows.append(row)
            self.judge.feed(row)

    # Start and end.

    async def play(self, watch=None):
        """Runs the day and returns its DayResult. `watch` is called with (emulation, seconds since the start)
        at each check."""
        begun = time.monotonic()
        self.folder.mkdir(parents=True, exist_ok=True)
        relay_addresses = [free_address(i) for i in range(self.day.relays.count)]
        try:
            async with trio.open_nursery() as nursery:
                hosts = await self.start_workers(nursery, relay_addresses)
                self.directory = Directory(endpoint_entries(self.destinations))
                self.platform = Platform(self.directory, hosts, self.clock, self.record, self.on_notice)
                self.relays = Relays(
                    self.day,
                    self.folder,
                    relay_addresses,
                    self.command,
                    self.clock,
                    self.record,
                    self.set_reachability,
                )
                self.relays.nursery = nursery
                await self.start_relays(nursery)
                nursery.start_soon(self.relays.watch)
                nursery.start_soon(self.handle_signals, nursery)
                await self.run_day(nursery, watch)
                self.relays.kill_all()
                await self.stop_workers()
                nursery.cancel_scope.cancel()
        finally:
            self.kill_processes()
        if self.interrupted:
            raise KeyboardInterrupt
        self.process_rows_until(1 << 63)
        self.judge.finish()
        if self.keep_rows:
            self.write_ledger()
        duration_s = time.monotonic() - begun
        return DayResult(self.day, self.judge, self.relays.relays, self.rows, self.start, duration_s)

    async def handle_signals(self, nursery):
        """SIGTERM cancels the day, so that everything it started is ended."""
        if threading.current_thread() is threading.main_thread():
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    self.interrupted = True
                    nursery.cancel_scope.cancel()

    async def start_workers(self, nursery, relay_addresses):
        """Starts the workers; returns {host name: [address for each relay]}."""
        hosts, count = {}, self.day.workers
        self.worker_lines = []
        for number in range(count):
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "courseroute.emulator.worker"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
            self.workers.append(process)
            await write_line(
                process.stdin,
                {
                    "day": msgspec.to_builtins(self.day),
                    "number": number,
                    "count": count,
                    "relays": relay_addresses,
                },
            )
        for process in self.workers:
            lines = read_lines(process.stdout)
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
        """Runs until all messages are closed, or 3 s after the last deadline."""
        self.start = self.clock() + START_DELAY
        for process, lines in zip(self.workers, self.worker_lines, strict=True):
            queue, messages = trio.open_memory_channel(math.inf)
            queue.send_nowait({"start": self.start})
            self.worker_queues.append(queue)
            nursery.start_soon(self.send, process, messages)
            nursery.start_soon(self.read_worker, lines)
        for scheduled in scheduled_faults(self.day):
            nursery.start_soon(self.run_fault, nursery, scheduled)
        last = self.start + span(self.day.lasts)
        most = last + max(span(lane.deadline) for lane in self.day.lanes.values()) + 3 * S
        while True:
            await self.wait_for_next_check()
            now = self.clock()
            self.process_rows_until(now - LEDGER_DELAY)
            if watch:
                watch(self, (now - self.start) / S)
            if now > most or now > last + S and not self.judge.open() and not self.any_relay_down():
                return

    async def wait_for_next_check(self):
        """Waits for the next check. Records when this process ran late, since what the relays sent to the
        platform was then read late."""
        due = self.clock() + int(CHECK_INTERVAL * S)
        await trio.sleep(CHECK_INTERVAL)
        if (by := self.clock() - due) > LATENESS_REPORTED_FROM:
            self.record("late", self.clock(), by=by)

    def any_relay_down(self):
        return any(relay.process is None or not relay.expected_running for relay in self.relays.relays)

    async def read_worker(self, lines):
        async for rows in lines:
            for row in rows:
                self.add_row(row)
        if not self.stopping:
            raise RuntimeError("a worker process of the town ended before its day; its trace is above")

    async def stop_workers(self):
        self.stopping = True
        self.send_to_workers({"do": "end"})
        with trio.move_on_after(3):
            for process in self.workers:
                await process.wait()
        await trio.sleep(0.05)

    def kill_processes(self):
        for process in self.workers:
            if process.returncode is None:
                process.kill()
        if hasattr(self, "relays"):
            self.relays.kill_all()

    # Messages between the parts.

    def set_reachability(self, relay, reach):
        self.send_to_workers({"do": "relay", "relay": relay, "reach": reach})

    def send_to_workers(self, message):
        for queue in self.worker_queues:
            queue.send_nowait(message)

    async def send(self, process, messages):
        """Sends queued messages to a worker, in order, until it has ended."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for line in messages:
                await write_line(process.stdin, line)

    def on_notice(self, name, state, after):
        """A notice was accepted: the client of a returned message submits it again."""
        n = name.partition("-")[0]
        msg = self.judge.messages.get(name)
        if state == "returned" and n.isdigit() and not (msg and msg.delivered_at):
            self.send_to_workers({"do": "again", "n": int(n), "after": after, "mark": "1"})

    # Faults of relays and platform, and status changes of hosts.

    async def run_fault(self, nursery, scheduled):
        await trio.sleep(max(0, self.start + scheduled.begin - self.clock()) / 1e9)
        self.record(
            "fault",
            self.clock(),
            kind=scheduled.kind,
            names=list(scheduled.targets),
            begins=True,
            until=self.start + scheduled.end,
        )
        if scheduled.kind in RELAY_FAULTS:
            for relay in self.relays.relays:
                if relay.name in scheduled.targets:
                    nursery.start_soon(self.run_relay_fault, nursery, relay, scheduled)
        elif scheduled.kind in PLATFORM_FAULTS:
            await self.run_platform_fault(scheduled)
        elif scheduled.kind in ("drain", "leave", "replace"):
            await self.run_directory_fault(scheduled)

    async def run_relay_fault(self, nursery, relay, scheduled):
        lasts = scheduled.end - scheduled.begin
        if scheduled.kind == "requests-late":  # caused by the clients
            return
        if scheduled.kind in PROCESS_FAULTS:
            await self.relays.run_process_fault(relay, scheduled)
        elif scheduled.kind == "wipe":
            nursery.start_soon(self.relays.kill, relay, True)
            await trio.sleep(max(span(self.day.relays.noticed_after), 2 * LEDGER_DELAY) / 1e9)
            for msg in [
                msg
                for msg in self.judge.messages.values()
                if msg.relay == relay.name
                and msg.lost_with_relay
                and msg.accepted_at
                and msg.closed_at is None
            ]:
                self.send_to_workers({"do": "again", "n": msg.n, "after": 0, "mark": "again"})
        elif scheduled.kind == "reload":
            self.relays.configure(relay, await self.platform.move(relay.number, nursery))
            self.relays.reload(relay)
        else:
            await {
                "kill": lambda: self.relays.kill(relay),
                "restart": lambda: self.relays.restart(relay),
                "restart-in-use": lambda: self.relays.restart(relay, in_use=True),
                "crowd": lambda: self.relays.open_idle_connections(relay, lasts),
                "pause": lambda: self.relays.pause(relay, lasts),
                "disk-full": lambda: self.relays.block_file_growth(relay, lasts),
            }[scheduled.kind]()

    async def run_platform_fault(self, scheduled):
        platform, lasts = self.platform, (scheduled.end - scheduled.begin) / 1e9
        if scheduled.kind == "watches-silent":
            platform.drop_pending_watches()
        elif scheduled.kind == "directory-crowded":
            platform.service_time_ns = span(scheduled.fault.by)
            await trio.sleep(lasts)
            platform.service_time_ns = 0
        elif scheduled.kind == "directory-down":
            self.directory_faults += 1
            if self.directory_faults == 1:
                platform.set_down(True)
                self.record("platform", self.clock(), now="directory-down")
            await trio.sleep(lasts)
            self.directory_faults -= 1
            if not self.directory_faults:  # another outage may have begun meanwhile
                platform.set_down(False)
                self.record("platform", self.clock(), now="directory-up")
        elif scheduled.kind == "notices-unanswered":
            platform.draw = random.Random(f"{self.day.seed} {scheduled.begin}")
            platform.unanswered_share = scheduled.fault.share
            await trio.sleep(lasts)
            platform.unanswered_share = 0.0
        elif scheduled.kind == "directory-late":
            self.directory.delay_ns = span(scheduled.fault.by)
            await trio.sleep(lasts)
            self.directory.delay_ns = 0
        else:
            platform.notices_down = True
            self.record("platform", self.clock(), now="notices-down")
            await trio.sleep(lasts)
            platform.notices_down = False
            self.record("platform", self.clock(), now="notices-up")

    async def run_directory_fault(self, scheduled):
        """Drains, removes or replaces hosts in the directory."""
        affected = [
            (destination, host)
            for destination in self.destinations
            for host in destination.hosts
            if host.name in scheduled.targets
        ]
        for destination, host in affected:
            if scheduled.kind == "replace":
                self.change_status(destination, host, "left")
                self.change_status(
                    destination, host, "active", f"{host.name}+{int(scheduled.begin)}", time.time_ns() // MS
                )
            else:
                self.change_status(destination, host, "leaving")
        if scheduled.kind == "leave":
            await trio.sleep(LEFT_DELAY)
        elif scheduled.kind == "drain":
            await trio.sleep((scheduled.end - scheduled.begin) / 1e9)
        for destination, host in affected:
            if scheduled.kind != "replace":
                self.change_status(destination, host, "left" if scheduled.kind == "leave" else "active")

    def change_status(self, destination, host, status, name=None, since=0):
        entry = endpoint_entry(destination, host, status, name, since)
        self.record("changed", self.clock(), host=entry["name"], status=status)
        self.directory.change(entry)

    def write_ledger(self):
        with open(self.folder / "ledger.jsonl", "wb") as file:
            for row in self.rows:
                file.write(orjson.dumps(row) + b"\n")


def free_address(number):
    """An unused [address, port]: the address is the relay's own, the port is random."""
    draw = random.SystemRandom()
    while True:
        address = f"127.18.{number}.1", draw.randrange(20000, 32000)  # below the ephemeral ports
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(address)
            return list(address)


async def run_day(day, folder, command=None, watch=None, keep=True):
    """Runs a day in `folder` and returns its DayResult; see Emulation."""
    return await Emulation(day, folder, command, keep).play(watch)
