"""Counts of what the relay did, and its longest delays, for one line in its log."""

from collections import Counter

LOOP_DELAY = "loop_delay_ms"  # a timer of the event loop fired so long after its time


class Figures:
    """Totals since the start of the process, under names such as `closed.no room` or `attempts.timeout`."""

    def __init__(self):
        self.totals = Counter()
        self.reported = Counter()
        self.longest_ms = {LOOP_DELAY: 0.0}  # since the last report

    def count(self, kind, value):
        """One more of a kind with that value, such as ("closed", CloseCause.NO_ROOM)."""
        self.totals[f"{kind}.{value}"] += 1

    def longest(self, name, span_ns):
        """Keeps the longest span under a name since the last report, in milliseconds; 0 and less is none."""
        if span_ns > 0:
            self.longest_ms[name] = max(self.longest_ms.get(name, 0.0), round(span_ns / 1e6, 1))

    def take_report(self):
        """The totals where one has changed since the last report, else None; the longest spans begin anew."""
        if self.totals == self.reported:
            return None
        self.reported = self.totals.copy()
        longest_ms, self.longest_ms = self.longest_ms, {LOOP_DELAY: 0.0}
        return {**longest_ms, **self.totals}
