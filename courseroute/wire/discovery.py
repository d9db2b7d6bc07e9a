"""Discovery: a watch kept up by one call after another; each failure is told, and the module asks anew."""

import time

import orjson
import trio

from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Line
from courseroute.wire.words import UNITS, roster_of

NAMES_LOGGED = 16  # endpoints that are draining or gone, named in one line of the log


class Watch:
    """What a watch asks next, and what its answers say; knows no socket."""

    def __init__(self, listed_rates, index):
        self.listed_rates, self.index = listed_rates, index

    def target(self, wait):
        known = f"index={self.index}&" if self.index is not None else ""
        return f"/v1/endpoints?{known}wait={wait // UNITS['m']}" if known else "/v1/endpoints"

    def answer(self, status, body):
        """(scope, entries, addresses); ValueError where the answer is none, the whole list is asked then."""
        if status != 200:
            raise ValueError(f"status {status}")
        try:
            index, *told = roster_of(orjson.loads(body), self.listed_rates)
        except ValueError:
            self.index = None
            raise
        self.index = index
        return told


class Discovery:
    def __init__(self, desk, hosts, house, place, watch, log):
        self.desk, self.hosts, self.house, self.watch, self.log = desk, hosts, house, watch, log
        self.line = Line(place, house["head"], house["list"])
        self.wait, self.asked, self.asking = None, trio.Event(), trio.CancelScope()
        self.keep = None  # told (scope, entries, addresses) too, where the list is kept
        self.answered_at, self.failures = None, 0  # monotonic time of the last answer, failed calls since

    def ask(self, wait):
        self.log("discovery asked", wait_ms=wait // UNITS["m"], **self.standing())
        self.wait = wait
        self.asked.set()

    def move(self, place):
        """The directory is elsewhere from now on: what waits at the old one is asked of the new at once."""
        self.line.place, self.watch.index = place, None  # its versions are its own: the whole list first
        self.asking.cancel()
        if self.wait is not None:
            self.asked.set()

    def learn(self, scope, entries, where):
        if scope == "full":  # who left is not dialled again: another may have its address
            self.hosts.where.clear()
        self.hosts.where.update(where)
        for name, state, *_ in entries:
            if state == "gone":
                self.hosts.where.pop(name, None)
        self.desk.tell("roster", scope, entries)
        if self.keep:
            self.keep(scope, entries, where)

    async def serve(self):
        while True:
            await self.asked.wait()
            self.asked = trio.Event()
            try:
                with trio.CancelScope() as self.asking:
                    while True:
                        begun = time.monotonic_ns()
                        told = self.watch.answer(*await self.get())
                        self.log_answer(begun, *told)
                        self.learn(*told)
                self.line.drop()
            except (*LOST, Refused, ValueError) as cause:
                self.failures += 1
                error = str(cause)[:200] or type(cause).__name__
                self.log("discovery failed", error=error, call_ms=elapsed_ms(begun), **self.standing())
                self.line.drop()
                self.asked = trio.Event()  # what was asked meanwhile is answered by this failure
                self.desk.tell("roster", "failed", [])

    def standing(self):
        """For the log: what the list is worth. Its age is the time since discovery answered last."""
        age = None if self.answered_at is None else elapsed_ms(self.answered_at)
        return {"version": self.watch.index, "list_age_ms": age, "failures": self.failures}

    def log_answer(self, begun, scope, entries, _):
        """Logs an answer that brings news, or the first one behind a failure."""
        if entries or self.failures:
            unlisted = [name for name, state, *_ in entries if state != "ready"]
            self.log(
                "endpoints told",
                scope=scope,
                entries=len(entries),
                unlisted=unlisted[:NAMES_LOGGED],
                call_ms=elapsed_ms(begun),
                **self.standing(),
            )
        self.answered_at, self.failures = time.monotonic_ns(), 0

    async def get(self):
        return await self.line.exchange(
            self.wait + self.house["list_within"],
            "GET",
            self.watch.target(self.wait),
            [("Host", "discovery")],
        )


def elapsed_ms(since):
    """Milliseconds since a reading of the monotonic clock in nanoseconds."""
    return (time.monotonic_ns() - since) // UNITS["m"]
