"""Discovery: calls for the list of endpoints, one at a time; the decisions say when each is made."""

import orjson
import trio

from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Line
from courseroute.wire.words import UNITS, roster_of

NAMES_LOGGED = 16  # endpoints that are draining or gone, named in one line of the log
WORKED_ON = 1_000_000_000  # nanoseconds that discovery spends on a call at the most, beside its wait


class TurnedAway(ValueError):
    """An answer with another status than 200."""


class Watch:
    """What a call asks, and what its answer says; knows no socket."""

    def __init__(self, listed_rates, index):
        self.listed_rates, self.index = listed_rates, index

    def target(self, wait):
        known = f"index={self.index}&" if self.index is not None else ""
        return f"/v1/endpoints?{known}wait={max(1, wait // UNITS['m'])}" if known else "/v1/endpoints"

    def answer(self, status, body):
        """(scope, entries, addresses); ValueError where the answer is none, the whole list is asked then."""
        if status != 200:
            raise TurnedAway(f"status {status}")
        try:
            index, *told = roster_of(orjson.loads(body), self.listed_rates)
        except ValueError:
            self.index = None
            raise
        self.index = index
        return told


class ListCall:
    """One call for the list; times are nanoseconds of the relay's clock."""

    def __init__(self, line, wait, begun, continues):
        self.line, self.wait, self.begun = line, wait, begun
        self.continues = continues  # it follows an answer at once, so that its watch goes on
        self.scope = trio.CancelScope()

    def as_of(self, received):
        """When the list in its answer was discovery's own: one that waited in vain says all up to its end."""
        waited_until = self.begun + self.wait
        if received >= waited_until:
            return waited_until
        return max(self.begun, received - WORKED_ON)


class Discovery:
    def __init__(self, nursery, desk, hosts, house, place, watch, clock, log):
        self.nursery, self.desk, self.hosts, self.house = nursery, desk, hosts, house
        self.place, self.watch, self.clock, self.log = place, watch, clock, log
        self.call = None  # under way
        self.idle_line = None  # that of the last answer, while its watch may go on
        self.keep = None  # told (scope, entries, addresses) too, where the list is kept
        self.answered_at, self.failures = None, 0  # time of the last answer, failed calls since

    def ask(self, wait):
        """Makes a call, which discovery may let wait so long for news; one under way ends, as it is late."""
        if self.call:
            self.log_failure(self.call, "no answer in time")
            self.give_up()
        if self.failures or self.answered_at is None:
            self.log("discovery asked", wait_ms=wait // UNITS["m"], **self.standing())
        line, self.idle_line = self.idle_line, None
        wait = wait if self.watch.index is not None else 0
        self.call = ListCall(line or self.new_line(), wait, self.clock(), continues=line is not None)
        self.nursery.start_soon(self.make, self.call)

    def new_line(self):
        return Line(self.place, self.house["head"], self.house["list"])

    def move(self, place):
        """Discovery is elsewhere from now on: what waits at the old place is asked of the new one at once."""
        self.place, self.watch.index = place, None  # its versions are its own: the whole list first
        if self.call:
            self.give_up()
        if self.idle_line:
            self.idle_line.drop()
            self.idle_line = None
        self.desk.tell("discovery_moved")

    def give_up(self):
        self.call.scope.cancel()
        self.call = None

    def learn(self, scope, entries, where, as_of=None):
        if scope == "full":  # who left is not dialled again: another may have its address
            self.hosts.where.clear()
        self.hosts.where.update(where)
        for name, state, *_ in entries:
            if state == "gone":
                self.hosts.where.pop(name, None)
        self.desk.tell("roster", scope, entries, as_of)
        if self.keep:
            self.keep(scope, entries, where)

    async def make(self, call):
        """Makes a call and tells what came of it, unless it was given up meanwhile."""
        told, cause = None, None
        try:
            with call.scope:
                answer = await call.line.exchange(
                    call.wait + self.house["list_within"],
                    "GET",
                    self.watch.target(call.wait),
                    [("Host", "discovery")],
                )
                if call is self.call:
                    told = self.watch.answer(*answer)
        except (*LOST, Refused, ValueError) as error:
            cause = error
        if call is not self.call:
            call.line.drop()
        elif told is None:
            self.fail(call, cause)
        else:
            self.take(call, told)

    def take(self, call, told):
        self.call, self.idle_line = None, call.line
        self.log_answer(call, *told)
        self.learn(*told, call.as_of(self.clock()))

    def fail(self, call, cause):
        self.call = None
        call.line.drop()
        self.log_failure(call, str(cause)[:200] or type(cause).__name__)
        if call.line.heard_at is not None and not isinstance(cause, TurnedAway):
            since_written = int((trio.current_time() - call.line.heard_at) * 1e9)
            self.desk.tell("roster", "spoilt", [], self.clock() - since_written)
        else:
            self.desk.tell("roster", "ended" if call.continues else "failed", [])

    def standing(self):
        """For the log: what the list is worth. Its age is the time since discovery answered last."""
        age = None if self.answered_at is None else self.elapsed_ms(self.answered_at)
        return {"version": self.watch.index, "list_age_ms": age, "failures": self.failures}

    def log_answer(self, call, scope, entries, _):
        """Logs an answer that brings news, or the first one behind a failure."""
        if entries or self.failures:
            unlisted = [name for name, state, *_ in entries if state != "ready"]
            self.log(
                "endpoints told",
                scope=scope,
                entries=len(entries),
                unlisted=unlisted[:NAMES_LOGGED],
                call_ms=self.elapsed_ms(call.begun),
                **self.standing(),
            )
        self.answered_at, self.failures = self.clock(), 0

    def log_failure(self, call, error):
        self.failures += 1
        self.log("discovery failed", error=error, call_ms=self.elapsed_ms(call.begun), **self.standing())

    def elapsed_ms(self, since):
        return (self.clock() - since) // UNITS["m"]
