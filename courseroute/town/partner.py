"""What a partner does with a call: limits, queues, repeated keys, cold returns, faults. No socket, no clock.

One Partner a destination. The caller hands in `now` (nanoseconds) and gets a Verdict; the sockets
(`town.quarter`) carry it out, and a model in simulated time can use the same.
"""

import heapq
from collections import deque
from typing import NamedTuple

from courseroute.checked import span
from courseroute.town.script import OUTAGES

S = 1_000_000_000
SLACK = 2.0  # beyond the budget, for chance: so many times its root


class Verdict(NamedTuple):
    """`status` 0: no answer. `after`: nanoseconds until it is written. `ran`: the message takes effect."""

    status: int
    after: int = 0
    ran: bool = False
    wait: int = 0
    how: str = ""  # reset, spoilt, silent, else an answer as it should be
    cause: str = ""


class HostState:
    def __init__(self, place):
        self.place, self.name = place, place.name
        self.ends = []  # when the calls it serves are done, a heap
        self.leaving = self.gone = False
        self.name_now = place.name  # another one after it was replaced


class Partner:
    def __init__(self, place, rules, draw):
        """`draw`: a seeded numpy Generator of this partner's own."""
        self.place, self.form, self.draw = place, place.form, draw
        self.hosts = {host.name: HostState(host) for host in place.hosts}
        self.pace, self.window = span(place.form.pace), span(place.form.window)
        self.remembers = span(place.form.remembers)
        self.cold, self.cold_from = span(rules.cold) or 0, rules.cold_from or 1.0
        self.overload, self.fall = rules.overload or 0.0, span(rules.fall) or 0
        self.recent = deque()  # (time, relay) of the calls in its window while it is cold
        self.counted = deque()  # times that used the limit up
        self.keys = {}  # key -> when it first took effect
        self.active = {}  # number -> Strike, those that hold now
        self.outage = None  # since when all its hosts were out
        self.warm_from = None  # the outage's end
        self.fallen_until, self.stays_down = 0, span(place.form.stays_down)
        self.knowing = set()  # relays that saw a call fail in the last outage
        self.report = None

    # Faults.

    def begin(self, now, number, strike):
        self.active[number] = strike
        if strike.kind in OUTAGES and self.place.name in strike.names and self.outage is None:
            self.outage, self.warm_from, self.knowing = now, None, set()

    def finish(self, now, number):
        strike = self.active.pop(number)
        if (
            strike.kind in OUTAGES
            and self.outage is not None
            and not any(
                other.kind in OUTAGES and self.place.name in other.names for other in self.active.values()
            )
        ):
            self.outage, self.warm_from = None, now

    def struck(self, host, *kinds):
        return next(
            (one for one in self.active.values() if one.kind in kinds and host.name in one.names), None
        )

    def hit(self, host, kind):
        one = self.struck(host, kind)
        return one if one and (one.fault.share >= 1 or self.draw.random() < one.fault.share) else None

    # A call.

    def saw_fail(self, relay):
        """A connection or a call of this relay failed while the destination was out."""
        if self.outage is not None:
            self.knowing.add(relay)

    def arrive(self, now, host_name, relay, key):
        """One whole call; its Verdict."""
        host = self.hosts[host_name]
        verdict = self.decide(now, host, relay, key)
        if verdict.status != 200 or verdict.how:
            self.saw_fail(relay)
        if verdict.ran and key and key not in self.keys:
            self.keys[key] = now + verdict.after
        return verdict

    def decide(self, now, host, relay, key):
        if self.hit(host, "silent") or self.hit(host, "hang"):
            return Verdict(0, how="silent", cause="silent")
        if self.hit(host, "reset-before"):
            return Verdict(0, how="reset", cause="reset before it was read")
        if now < self.fallen_until or self.hit(host, "shut"):
            return Verdict(503, cause="fallen over" if now < self.fallen_until else "shut")
        if host.gone or host.leaving:
            return Verdict(503, cause="draining")
        if self.falls_over(now, relay):
            return Verdict(503, cause="fell over")
        if not self.within_limit(now):
            return Verdict(429, wait=span(self.form.wait) or 0, cause="above the limit")
        return self.serve(now, host, key)

    def serve(self, now, host, key):
        while host.ends and host.ends[0] <= now:
            heapq.heappop(host.ends)
        if len(host.ends) >= self.form.concurrency + self.form.queue:
            return Verdict(503, cause="queue full")
        known = self.known(now, key)
        took = int(self.pace * float(self.draw.lognormal(0, self.form.spread)))
        if slow := self.struck(host, "slow"):
            took = int(took * slow.fault.factor)
        busy = len(host.ends) >= self.form.concurrency
        begin = sorted(host.ends)[-self.form.concurrency] if busy else now
        done = begin + took
        heapq.heappush(host.ends, done)
        after = done - now
        ran = not known
        if fault := self.hit(host, "errors"):
            return Verdict(500, after, ran and self.ran(fault), cause="error")
        if fault := self.hit(host, "reset-after"):
            return Verdict(0, after, ran and self.ran(fault), how="reset", cause="reset behind the call")
        if self.hit(host, "answer-lost"):
            return Verdict(0, after, ran, how="silent", cause="answer lost")
        if self.hit(host, "spoilt"):
            return Verdict(0, after, ran, how="spoilt", cause="spoilt answer")
        return Verdict(200, after, ran, cause="repeat" if known else "")

    def ran(self, strike):
        return strike.fault.ran if strike.fault.ran is not None else bool(self.draw.random() < 0.5)

    def known(self, now, key):
        """Whether a repeat of this key is dropped; forgotten `remembers` after its effect."""
        for old in [old for old, at in self.keys.items() if now >= at + self.remembers]:
            del self.keys[old]
        return key in self.keys

    # Limits.

    def limit(self):
        """Calls a second that are let through now; None where there is no limit."""
        if self.form.limit is None:
            return None
        factor = next(
            (
                one.fault.factor
                for one in self.active.values()
                if one.kind == "limit" and self.place.name in one.names
            ),
            1.0,
        )
        return self.form.limit * factor

    def within_limit(self, now):
        limit = self.limit()
        if limit is None:
            return True
        since = now // self.window * self.window if self.form.aligned else now - self.window
        since += not self.form.aligned  # what is just a window old counts no more
        while self.counted and self.counted[0] < since:
            self.counted.popleft()
        fits = len(self.counted) < max(1.0, limit * self.window / S)
        if fits or self.form.refused_count:
            self.counted.append(now)
        return fits

    def load_report(self, now):
        """(share left, limit) as an answer tells it; a frozen one stays as it was."""
        if not self.form.reports or self.form.limit is None:
            return None
        if self.report and any(
            one.kind == "pause-reports" and self.place.name in one.names for one in self.active.values()
        ):
            return self.report
        limit = self.limit()
        told = next(
            (
                one.fault.told
                for one in self.active.values()
                if one.kind == "limit" and one.fault.told and self.place.name in one.names
            ),
            1.0,
        )
        left = max(0.0, 1 - len(self.counted) / max(1.0, limit * self.window / S))
        self.report = round(left, 3), round(limit * told, 3)
        return self.report

    # Cold returns.

    def falls_over(self, now, relay):
        """Whether this call is one too many for a destination that has just come back."""
        if self.warm_from is None or not self.overload or now >= self.warm_from + self.cold:
            return False
        while self.recent and self.recent[0][0] <= now - self.fall:
            self.recent.popleft()
        self.recent.append((now, relay))
        since = now - self.warm_from
        share = self.cold_from + (1 - self.cold_from) * since / max(1, self.cold)
        budget = self.overload * share * self.capacity() * self.fall / S
        if len(self.recent) <= budget + SLACK * budget**0.5 + 1:
            return False
        self.fallen_until = now + self.stays_down
        return True

    def fell(self):
        """(calls that pushed it over, those by relays that had seen the outage); the fall is one too."""
        load = len(self.recent)
        known = sum(relay in self.knowing for _, relay in self.recent)
        self.recent.clear()
        self.outage, self.warm_from = self.fallen_until - self.stays_down, None
        return load, known

    def stand_up(self, now):
        """The end of a fall."""
        if self.outage is not None and not any(
            one.kind in OUTAGES and self.place.name in one.names for one in self.active.values()
        ):
            self.outage, self.warm_from = None, now

    def capacity(self):
        own = self.form.concurrency * self.form.hosts * S / max(1, self.pace)
        return min(own, self.limit()) if self.form.limit else own
