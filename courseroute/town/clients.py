"""Front and clients: messages handed in at the drawn times, again after a pushback or a dead relay.

Called by `quarter`. Open loop: each arrival is a task of its own, started when it is due, whatever became of
the others. A client waits so long for its answer, then hands in again under a new id.
"""

import enum
import math
import random

import trio

from courseroute.checked import span
from courseroute.town.hosts import body_of
from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Link

MS = 1_000_000
S = 1000 * MS
HEAD, BODY = 16 << 10, 64 << 10
LEAST_PAUSE = 100 * MS  # before a message is handed in again
REPORTED_LATE = 100 * MS


class Reach(enum.StrEnum):
    """How clients reach a relay."""

    ANY = "any connection"
    OPEN = "open connections"  # it is told to end: those that stay open are used, no new ones are made
    NONE = "none"


class Front:
    """Which relay gets a message: any of those it believes to live."""

    def __init__(self, count):
        self.reach = [Reach.ANY] * count

    def pick(self, drawn, tries, idle):
        """`idle`: for each relay its open connections that no message uses."""
        living = [
            i for i, reach in enumerate(self.reach) if reach == Reach.ANY or reach == Reach.OPEN and idle[i]
        ] or list(range(len(self.reach)))
        return living[(int(drawn * len(living)) + tries) % len(living)]


class Clients:
    def __init__(self, day, arrivals, relays, clock, tell):
        self.day, self.arrivals, self.relays = day, arrivals, [tuple(place) for place in relays]
        self.clock, self.tell, self.front = clock, tell, Front(len(relays))
        self.answer_within = span(day.traffic.answer_within)
        self.idle = [[] for _ in relays]  # kept links to each relay
        self.room = [trio.CapacityLimiter(day.traffic.connections) for _ in relays]
        self.tries, self.late, self.start = {}, 0, 0
        self.on_the_way = {}  # relay -> (longest span on the way, share of its requests, generator)
        self.by_n = {arrival.n: arrival for arrival in arrivals}

    async def serve(self, nursery, start):
        self.start, self.nursery = start, nursery
        for arrival in self.arrivals:
            due = start + arrival.at
            if (wait := due - self.clock()) > 0:
                await trio.sleep(wait / 1e9)
            self.note_late(self.clock() - due)
            nursery.start_soon(self.message, arrival)

    async def play(self, number, strike, start):
        """Requests to the relays that are struck are on their way for up to `by`."""
        await trio.sleep(max(0, start + strike.begin - self.clock()) / 1e9)
        draw = random.Random(f"{self.day.seed} {number}")
        late = span(strike.fault.by), strike.fault.share, draw
        relays = [int(name.removeprefix("n")) for name in strike.names]
        self.on_the_way |= dict.fromkeys(relays, late)
        await trio.sleep(max(0, start + strike.end - self.clock()) / 1e9)
        for relay in relays:
            if self.on_the_way.get(relay) is late:  # another one may have begun meanwhile
                del self.on_the_way[relay]

    def time_on_the_way(self, relay):
        """Seconds that a request to that relay takes beside the loopback's own."""
        longest, share, draw = self.on_the_way.get(relay, (0, 0.0, random))
        return draw.uniform(0, longest) / 1e9 if draw.random() < share else 0.0

    def note_late(self, by):
        if by > max(self.late, REPORTED_LATE):
            self.late = by
            self.tell("late", self.clock(), by=by)

    def again(self, n, after, mark):
        """The platform says that a message came back, or that its relay is lost with all it held."""
        if n in self.by_n:
            self.nursery.start_soon(self.message, self.by_n[n], max(after, LEAST_PAUSE), mark)

    async def message(self, arrival, pause=0, mark=""):
        until = self.start + arrival.at + span(self.day.lanes[arrival.lane].deadline)
        while self.tries.get(arrival.n, 0) <= self.day.traffic.again:
            if pause:
                await trio.sleep(pause / 1e9)
            left = until - self.clock()
            if left < 2 * LEAST_PAUSE:
                return
            tries = self.tries[arrival.n] = self.tries.get(arrival.n, 0) + 1
            relay = self.front.pick(arrival.relay, tries - 1, self.idle)
            status, after = await self.hand_in(arrival, f"{arrival.n}-{tries}", relay, left, mark)
            if status is not None and status not in (429, 503):
                return
            mark = "1" if status else "again"
            pause = max(after, LEAST_PAUSE)

    async def hand_in(self, arrival, name, relay, left, mark):
        """(the answer's status, nanoseconds to stay away); None where no answer came. `left`: nanoseconds of
        the message's time, which run from when a connection is free for it."""
        async with self.room[relay]:
            begun = self.clock()
            give_up_at = trio.current_time() + self.answer_within / 1e9
            head = self.head_of(arrival, name, left, mark)
            row = self.row_of(arrival, name, relay, begun + left)
            why = "no answer"
            for _ in range(2):  # a kept connection may be closed just as the request crosses
                link = self.idle[relay].pop() if self.idle[relay] else None
                kept, why = link is not None, "no answer"
                try:
                    with trio.move_on_at(give_up_at):
                        if link is None:
                            link, why = Link(HEAD, BODY), "unreachable"
                            await link.dial(self.relays[relay])
                            why = "no answer"
                        self.tell("hand", begun, **row)
                        await trio.sleep(self.time_on_the_way(relay))
                        await link.send("POST", *head, body_of(row["mark"], arrival.body))
                        await link.hear_all()
                        return self.answered(link, name, relay)
                except (*LOST, Refused):
                    why = "closed" if why == "no answer" else why
                    if kept and not link.call.begun:
                        link.close()
                        continue
                link.close()
                break
        told = {} if why != "unreachable" else {"n": arrival.n}
        self.tell("dropped", self.clock(), id=name, relay=f"n{relay}", why=why, **told)
        return None, 0

    def head_of(self, arrival, name, left, mark):
        """(target, headers) of the request."""
        target = f"/{arrival.lane}" + (f"?subject={arrival.key}" if arrival.key else "")
        headers = [
            ("Host", "origin.svc"),
            ("X-Request-Id", name),
            ("X-Class", arrival.lane),
            ("X-Tenant", arrival.customer),
            ("X-Deadline", f"{left // MS}m"),
            ("Idempotency-Key", self.mark_of(arrival)),
            ("Envelope", f"dest={arrival.dst}"),
        ]
        return target, headers + ([("X-Retry", mark)] if mark else [])

    def row_of(self, arrival, name, relay, until):
        """What the ledger is told of a message handed in."""
        return {
            "id": name,
            "n": arrival.n,
            "relay": f"n{relay}",
            "lane": arrival.lane,
            "mark": self.mark_of(arrival),
            "key": arrival.key,
            "dst": arrival.dst,
            "until": until,
        }

    def mark_of(self, arrival):
        return f"k{self.day.seed}-{arrival.n}"

    def answered(self, link, name, relay):
        status, told = link.call.status, link.call.headers.get("retry-after", "")
        after = int(float(told) * S) if told and math.isfinite(float(told)) else 0
        self.tell("answer", self.clock(), id=name, relay=f"n{relay}", status=status, after=after)
        if link.call.reusable():
            self.idle[relay].append(link)
        else:
            link.close()
        return status, after
