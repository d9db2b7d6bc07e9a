"""Emulated clients and the router before them: they submit messages at the scheduled times, and resubmit them
after a rejection or the loss of a relay.

Called by `worker`. The load is open-loop: each arrival is a task of its own, started when it is due, however
the others fare. A client waits for its answer up to a timeout, then submits the message under a new id.
"""

import enum
import math
import random

import trio

from courseroute.checked import span
from courseroute.emulator.hosts import body_of
from courseroute.wire.connection import CONNECTION_ERRORS, Connection
from courseroute.wire.http import ProtocolError

MS = 1_000_000
S = 1000 * MS
MAX_HEAD_BYTES, MAX_BODY_BYTES = 16 << 10, 64 << 10
MIN_RETRY_DELAY = 100 * MS  # before a message is submitted again
LATENESS_REPORTED_FROM = 100 * MS  # arrivals that start later than that are recorded


class Reachability(enum.StrEnum):
    """How clients can reach a relay."""

    ANY = "any connection"
    OPEN = "open connections"  # it was told to stop: its open connections are used, no new ones are made
    NONE = "none"


class RelayRouter:
    """Chooses the relay for a message among those believed to be up."""

    def __init__(self, count):
        self.reachability = [Reachability.ANY] * count

    def pick(self, draw, tries, idle):
        """Returns the index of a relay.

        `draw`: random number in [0, 1); `tries`: earlier tries of the message, each moves on by one relay;
        `idle`: for each relay its open connections that no message uses. If no relay is reachable, all are
        candidates.
        """
        candidates = [
            i
            for i, reach in enumerate(self.reachability)
            if reach == Reachability.ANY or reach == Reachability.OPEN and idle[i]
        ] or list(range(len(self.reachability)))
        return candidates[(int(draw * len(candidates)) + tries) % len(candidates)]


class Clients:
    """The clients of one worker process: submits its arrivals and records what became of each."""

    def __init__(self, day, arrivals, relays, clock, record):
        """`relays`: the address of each relay; `clock`: monotonic time in nanoseconds."""
        self.day, self.arrivals, self.relays = day, arrivals, [tuple(address) for address in relays]
        self.clock, self.record, self.router = clock, record, RelayRouter(len(relays))
        self.answer_within = span(day.traffic.answer_within)
        self.idle = [[] for _ in relays]  # open connections to each relay that no message uses
        self.connection_limits = [trio.CapacityLimiter(day.traffic.connections) for _ in relays]
        self.tries, self.late, self.start = {}, 0, 0
        self.request_delays = {}  # relay -> (longest delay in ns, share of its requests, random generator)
        self.arrivals_by_number = {arrival.n: arrival for arrival in arrivals}

    async def serve(self, nursery, start):
        """Starts a task for each arrival when it is due; `start`: the start of the day on `clock`."""
        self.start, self.nursery = start, nursery
        for arrival in self.arrivals:
            due = start + arrival.at
            if (wait := due - self.clock()) > 0:
                await trio.sleep(wait / 1e9)
            self.record_lateness(self.clock() - due)
            nursery.start_soon(self.message, arrival)

    async def run_fault(self, number, scheduled, start):
        """Runs one scheduled fault: requests to the affected relays are delayed by up to `by`."""
        await trio.sleep(max(0, start + scheduled.begin - self.clock()) / 1e9)
        draw = random.Random(f"{self.day.seed} {number}")
        delay = span(scheduled.fault.by), scheduled.fault.share, draw
        relays = [int(name.removeprefix("n")) for name in scheduled.targets]
        self.request_delays |= dict.fromkeys(relays, delay)
        await trio.sleep(max(0, start + scheduled.end - self.clock()) / 1e9)
        for relay in relays:
            if self.request_delays.get(relay) is delay:  # a later fault may have replaced it
                del self.request_delays[relay]

    def request_delay(self, relay):
        """Returns the delay in seconds to add to a request to that relay."""
        longest, share, draw = self.request_delays.get(relay, (0, 0.0, random))
        return draw.uniform(0, longest) / 1e9 if draw.random() < share else 0.0

    def record_lateness(self, by):
        """Records by how many nanoseconds an arrival started late, if that exceeds all earlier ones."""
        if by > max(self.late, LATENESS_REPORTED_FROM):
            self.late = by
            self.record("late", self.clock(), by=by)

    def resubmit(self, n, after, retry):
        """Submits a message anew: it was returned, or its relay was lost with all that it held.

        `after`: nanoseconds to wait; `retry`: the value of X-Retry.
        """
        if n in self.arrivals_by_number:
            self.nursery.start_soon(
                self.message, self.arrivals_by_number[n], max(after, MIN_RETRY_DELAY), retry
            )

    async def message(self, arrival, pause=0, retry=""):
        """Submits a message until it gets a final answer, its deadline is near or its tries are used up.

        `pause`: nanoseconds before the first try; `retry`: the value of X-Retry ("" for none).
        """
        until = self.start + arrival.at + span(self.day.lanes[arrival.lane].deadline)
        while self.tries.get(arrival.n, 0) <= self.day.traffic.again:
            if pause:
                await trio.sleep(pause / 1e9)
            left = until - self.clock()
            if left < 2 * MIN_RETRY_DELAY:
                return
            tries = self.tries[arrival.n] = self.tries.get(arrival.n, 0) + 1
            relay = self.router.pick(arrival.relay, tries - 1, self.idle)
            status, after = await self.submit(arrival, f"{arrival.n}-{tries}", relay, left, retry)
            if status is not None and status not in (429, 503):
                return
            retry = "1" if status else "again"
            pause = max(after, MIN_RETRY_DELAY)

    async def submit(self, arrival, name, relay, left, retry):
        """Submits a message once, and returns (status, nanoseconds to wait before a retry).

        The status is None without an answer. `left`: nanoseconds until the message's deadline, counted from
        when a connection is free for it.
        """
        async with self.connection_limits[relay]:
            started = self.clock()
            answer_due = trio.current_time() + self.answer_within / 1e9
            head = self.request_head(arrival, name, left, retry)
            row = self.ledger_row(arrival, name, relay, started + left)
            why = "no answer"
            for _ in range(2):  # the relay may close an idle connection while the request is on its way
                connection = self.idle[relay].pop() if self.idle[relay] else None
                reused, why = connection is not None, "no answer"
                try:
                    with trio.move_on_at(answer_due):
                        if connection is None:
                            connection, why = Connection(MAX_HEAD_BYTES, MAX_BODY_BYTES), "unreachable"
                            await connection.connect(self.relays[relay])
                            why = "no answer"
                        self.record("hand", started, **row)
                        await trio.sleep(self.request_delay(relay))
                        await connection.send("POST", *head, body_of(row["mark"], arrival.body))
                        await connection.receive_all()
                        return self.record_answer(connection, name, relay)
                except (*CONNECTION_ERRORS, ProtocolError):
                    why = "closed" if why == "no answer" else why
                    if reused and not connection.call.begun:
                        connection.close()
                        continue
                connection.close()
                break
        number = {} if why != "unreachable" else {"n": arrival.n}
        self.record("dropped", self.clock(), id=name, relay=f"n{relay}", why=why, **number)
        return None, 0

    def request_head(self, arrival, name, left, retry):
        """Returns (target, headers) of the request."""
        target = f"/{arrival.lane}" + (f"?subject={arrival.key}" if arrival.key else "")
        headers = [
            ("Host", "origin.svc"),
            ("X-Request-Id", name),
            ("X-Class", arrival.lane),
            ("X-Tenant", arrival.customer),
            ("X-Deadline", f"{left // MS}m"),
            ("Idempotency-Key", self.idempotency_key(arrival)),
            ("Envelope", f"dest={arrival.dst}"),
        ]
        return target, headers + ([("X-Retry", retry)] if retry else [])

    def ledger_row(self, arrival, name, relay, until):
        """Returns the ledger's row of a submitted message; `until` is its deadline in nanoseconds."""
        return {
            "id": name,
            "n": arrival.n,
            "relay": f"n{relay}",
            "lane": arrival.lane,
            "mark": self.idempotency_key(arrival),
            "key": arrival.key,
            "dst": arrival.dst,
            "until": until,
        }

    def idempotency_key(self, arrival):
        """Returns the message's idempotency key, the same for all its tries."""
        return f"k{self.day.seed}-{arrival.n}"

    def record_answer(self, connection, name, relay):
        """Records an answer and releases its connection; returns (status, nanoseconds to wait)."""
        status, retry_after = connection.call.status, connection.call.headers.get("retry-after", "")
        after = int(float(retry_after) * S) if retry_after and math.isfinite(float(retry_after)) else 0
        self.record("answer", self.clock(), id=name, relay=f"n{relay}", status=status, after=after)
        if connection.call.reusable():
            self.idle[relay].append(connection)
        else:
            connection.close()
        return status, after
