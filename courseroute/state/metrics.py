"""Counters of what the relay did and its longest delays, reported as one log line."""

from collections import Counter

LOOP_DELAY = "loop_delay_ms"  # how late a timer of the event loop fired


class Metrics:
    """Totals since the start of the process, under names such as `closed.no room` or `attempts.timeout`."""

    def __init__(self):
        self.totals = Counter()
        self.reported = Counter()
        self.longest_ms = {LOOP_DELAY: 0.0}  # since the last report

    def count(self, kind, value):
        """Adds one to the total of a kind and value, such as ("closed", CloseCause.CAPACITY_EXCEEDED)."""
        self.totals[f"{kind}.{value}"] += 1

    def record_longest(self, name, span_ns):
        """Keeps the longest duration of that name since the last report, in milliseconds; zero and negative
        ones are ignored."""
        if span_ns > 0:
            self.longest_ms[name] = max(self.longest_ms.get(name, 0.0), round(span_ns / 1e6, 1))

    def snapshot_if_changed(self):
        """The longest durations and the totals if a total has changed since the last report, else None. A
        report resets the longest durations."""
        if self.totals == self.reported:
            return None
        self.reported = self.totals.copy()
        longest_ms, self.longest_ms = self.longest_ms, {LOOP_DELAY: 0.0}
        return {**longest_ms, **self.totals}
