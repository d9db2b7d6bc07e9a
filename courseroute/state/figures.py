"""Counts of what the relay did, and the longest delay of its event loop, for one line in its log."""

from collections import Counter


class Figures:
    """Totals since the start of the process, under names such as `closed.no room` or `attempts.timeout`."""

    def __init__(self):
        self.totals = Counter()
        self.reported = Counter()
        self.loop_delay_ms = 0.0

    def count(self, kind, value):
        """One more of a kind with that value, such as ("closed", CloseCause.NO_ROOM)."""
        self.totals[f"{kind}.{value}"] += 1

    def loop_was_late(self, delay_ns):
        """A timer of the event loop fired so many nanoseconds after its time."""
        self.loop_delay_ms = max(self.loop_delay_ms, round(delay_ns / 1e6, 1))

    def take_report(self):
        """The totals where one has changed since the last report, else None; the loop's delay begins anew."""
        if self.totals == self.reported:
            return None
        self.reported = self.totals.copy()
        delay_ms, self.loop_delay_ms = self.loop_delay_ms, 0.0
        return {"loop_delay_ms": delay_ms, **self.totals}
