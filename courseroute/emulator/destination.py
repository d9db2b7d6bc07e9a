"""Model of a destination: rate limits, queues, idempotency keys, recovery after outages, faults.

One DestinationModel per destination. It uses neither sockets nor a clock: the caller passes `now`
(nanoseconds) and gets a CallOutcome. `emulator.hosts` performs it on sockets; a model in simulated time can
use it as well.
"""

import heapq
from collections import deque
from typing import NamedTuple

from courseroute.checked import span
from courseroute.emulator.scenario import OUTAGES

S = 1_000_000_000
BUDGET_DEVIATIONS = 2.0  # tolerance above the budget for random arrivals, in square roots of the budget


class CallOutcome(NamedTuple):
    """How a host handles one call.

    `status`: HTTP status, 0 for no response. `after`: nanoseconds until the response is sent. `ran`: whether
    the message takes effect. `wait`: nanoseconds that the response asks the caller to wait.
    """

    status: int
    after: int = 0
    ran: bool = False
    wait: int = 0
    failure: str = ""  # reset, spoilt or silent; empty for a valid response
    cause: str = ""


class HostState:
    """Runtime state of one host of a destination."""

    def __init__(self, spec):
        self.spec, self.name = spec, spec.name
        self.completions = []  # heap of the times (ns) at which its calls in service complete
        self.leaving = self.gone = False
        self.current_name = spec.name  # changes when the host is replaced


class DestinationModel:
    """State and behaviour of one destination and its hosts."""

    def __init__(self, destination, rules, rng):
        """`rng`: a seeded numpy Generator used by this destination alone."""
        self.destination, self.form, self.rng = destination, destination.form, rng
        self.hosts = {host.name: HostState(host) for host in destination.hosts}
        self.pace, self.window = span(destination.form.pace), span(destination.form.window)
        self.remembers = span(destination.form.remembers)
        self.cold, self.cold_from = span(rules.cold) or 0, rules.cold_from or 1.0
        self.overload, self.fall = rules.overload or 0.0, span(rules.fall) or 0
        self.recent_calls = deque()  # (time, relay) of the calls in the overload window during recovery
        self.counted_calls = deque()  # times of the calls that count towards the rate limit
        self.keys = {}  # idempotency key -> time of its first effect
        self.active = {}  # number -> ScheduledFault, the faults in effect
        self.outage_since = None  # start of the outage of all its hosts, None outside an outage
        self.recovering_since = None  # end of the last outage; None if it has not ended or there was none
        self.overloaded_until, self.stays_down = 0, span(destination.form.stays_down)
        self.aware_relays = set()  # relays that had a call fail in the last outage
        self.report = None

    # Faults.

    def begin(self, now, number, scheduled):
        """Puts a scheduled fault into effect."""
        self.active[number] = scheduled
        if (
            scheduled.kind in OUTAGES
            and self.destination.name in scheduled.targets
            and self.outage_since is None
        ):
            self.outage_since, self.recovering_since, self.aware_relays = now, None, set()

    def finish(self, now, number):
        """Ends a scheduled fault, and the outage if no other fault prolongs it."""
        scheduled = self.active.pop(number)
        if (
            scheduled.kind in OUTAGES
            and self.outage_since is not None
            and not any(
                other.kind in OUTAGES and self.destination.name in other.targets
                for other in self.active.values()
            )
        ):
            self.outage_since, self.recovering_since = None, now

    def active_fault(self, host, *kinds):
        """The first fault of these kinds in effect at the host, or None."""
        return next(
            (
                scheduled
                for scheduled in self.active.values()
                if scheduled.kind in kinds and host.name in scheduled.targets
            ),
            None,
        )

    def draw_fault(self, host, kind):
        """The fault of this kind that affects this call, drawn by the fault's share, or None."""
        scheduled = self.active_fault(host, kind)
        return (
            scheduled
            if scheduled and (scheduled.fault.share >= 1 or self.rng.random() < scheduled.fault.share)
            else None
        )

    # Calls.

    def record_failure(self, relay):
        """Notes that a connection or call of this relay failed, if the destination is in an outage."""
        if self.outage_since is not None:
            self.aware_relays.add(relay)

    def arrive(self, now, host_name, relay, key):
        """Handles one complete call and returns its CallOutcome."""
        host = self.hosts[host_name]
        outcome = self.decide(now, host, relay, key)
        if outcome.status != 200 or outcome.failure:
            self.record_failure(relay)
        if outcome.ran and key and key not in self.keys:
            self.keys[key] = now + outcome.after
        return outcome

    def decide(self, now, host, relay, key):
        if self.draw_fault(host, "silent") or self.draw_fault(host, "hang"):
            return CallOutcome(0, failure="silent", cause="silent")
        if self.draw_fault(host, "reset-before"):
            return CallOutcome(0, failure="reset", cause="reset before it was read")
        if now < self.overloaded_until or self.draw_fault(host, "shut"):
            return CallOutcome(503, cause="fallen over" if now < self.overloaded_until else "shut")
        if host.gone or host.leaving:
            return CallOutcome(503, cause="draining")
        if self.overloads(now, relay):
            return CallOutcome(503, cause="fell over")
        if not self.within_limit(now):
            return CallOutcome(429, wait=span(self.form.wait) or 0, cause="above the limit")
        return self.serve(now, host, key)

    def serve(self, now, host, key):
        while host.completions and host.completions[0] <= now:
            heapq.heappop(host.completions)
        if len(host.completions) >= self.form.concurrency + self.form.queue:
            return CallOutcome(503, cause="queue full")
        repeat = self.is_repeat(now, key)
        service_time = int(self.pace * float(self.rng.lognormal(0, self.form.spread)))
        if slow := self.active_fault(host, "slow"):
            service_time = int(service_time * slow.fault.factor)
        busy = len(host.completions) >= self.form.concurrency
        begin = sorted(host.completions)[-self.form.concurrency] if busy else now
        done = begin + service_time
        heapq.heappush(host.completions, done)
        after = done - now
        ran = not repeat
        if fault := self.draw_fault(host, "errors"):
            return CallOutcome(500, after, ran and self.draw_effect(fault), cause="error")
        if fault := self.draw_fault(host, "reset-after"):
            return CallOutcome(
                0, after, ran and self.draw_effect(fault), failure="reset", cause="reset behind the call"
            )
        if self.draw_fault(host, "answer-lost"):
            return CallOutcome(0, after, ran, failure="silent", cause="answer lost")
        if self.draw_fault(host, "spoilt"):
            return CallOutcome(0, after, ran, failure="spoilt", cause="spoilt answer")
        return CallOutcome(200, after, ran, cause="repeat" if repeat else "")

    def draw_effect(self, scheduled):
        """Whether a call that fails took effect: as the fault says, else with probability 0.5."""
        return scheduled.fault.ran if scheduled.fault.ran is not None else bool(self.rng.random() < 0.5)

    def is_repeat(self, now, key):
        """Whether a call with this key is dropped as a repeat. Keys expire `remembers` after their effect."""
        for old in [old for old, at in self.keys.items() if now >= at + self.remembers]:
            del self.keys[old]
        return key in self.keys

    # Limits.

    def limit(self):
        """The current rate limit in calls per second, or None without a limit."""
        if self.form.limit is None:
            return None
        factor = next(
            (
                scheduled.fault.factor
                for scheduled in self.active.values()
                if scheduled.kind == "limit" and self.destination.name in scheduled.targets
            ),
            1.0,
        )
        return self.form.limit * factor

    def within_limit(self, now):
        """Whether the rate limit admits a call now; counts the call if the limit does so."""
        limit = self.limit()
        if limit is None:
            return True
        since = now // self.window * self.window if self.form.aligned else now - self.window
        since += not self.form.aligned  # a call exactly one window old no longer counts
        while self.counted_calls and self.counted_calls[0] < since:
            self.counted_calls.popleft()
        fits = len(self.counted_calls) < max(1.0, limit * self.window / S)
        if fits or self.form.refused_count:
            self.counted_calls.append(now)
        return fits

    def load_report(self, now):
        """(remaining share, limit) for a response, or None. Paused reports repeat the last values."""
        if not self.form.reports or self.form.limit is None:
            return None
        if self.report and any(
            scheduled.kind == "pause-reports" and self.destination.name in scheduled.targets
            for scheduled in self.active.values()
        ):
            return self.report
        limit = self.limit()
        told = next(
            (
                scheduled.fault.told
                for scheduled in self.active.values()
                if scheduled.kind == "limit"
                and scheduled.fault.told
                and self.destination.name in scheduled.targets
            ),
            1.0,
        )
        left = max(0.0, 1 - len(self.counted_calls) / max(1.0, limit * self.window / S))
        self.report = round(left, 3), round(limit * told, 3)
        return self.report

    # Recovery after an outage.

    def overloads(self, now, relay):
        """Whether this call overloads a destination that is recovering from an outage."""
        if self.recovering_since is None or not self.overload or now >= self.recovering_since + self.cold:
            return False
        while self.recent_calls and self.recent_calls[0][0] <= now - self.fall:
            self.recent_calls.popleft()
        self.recent_calls.append((now, relay))
        since = now - self.recovering_since
        share = self.cold_from + (1 - self.cold_from) * since / max(1, self.cold)
        budget = self.overload * share * self.capacity() * self.fall / S
        if len(self.recent_calls) <= budget + BUDGET_DEVIATIONS * budget**0.5 + 1:
            return False
        self.overloaded_until = now + self.stays_down
        return True

    def record_overload(self):
        """Starts the outage that an overload causes.

        Returns (calls in the overload window, calls among them by relays that saw the previous outage).
        """
        load = len(self.recent_calls)
        known = sum(relay in self.aware_relays for _, relay in self.recent_calls)
        self.recent_calls.clear()
        self.outage_since, self.recovering_since = self.overloaded_until - self.stays_down, None
        return load, known

    def recover(self, now):
        """Ends the outage that an overload caused, unless a fault prolongs it."""
        if self.outage_since is not None and not any(
            scheduled.kind in OUTAGES and self.destination.name in scheduled.targets
            for scheduled in self.active.values()
        ):
            self.outage_since, self.recovering_since = None, now

    def capacity(self):
        """Calls per second that all hosts can serve, capped by the rate limit."""
        own = self.form.concurrency * self.form.hosts * S / max(1, self.pace)
        return min(own, self.limit()) if self.form.limit else own
