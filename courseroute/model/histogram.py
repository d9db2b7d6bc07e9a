"""Histograms and counters that age: bins have the caller's edges and are halved when its cap is reached."""

from bisect import bisect_left


class Histogram:
    """Counts of values by bin; halved at the cap, so that recent values weigh more."""

    __slots__ = ("edges", "counts", "total", "cap")

    def __init__(self, edges, cap):
        self.edges = edges
        self.cap = cap
        self.counts = [0] * (len(edges) + 1)
        self.total = 0

    def add(self, value):
        self.counts[bisect_left(self.edges, value)] += 1
        self.total += 1
        if self.total >= self.cap:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)

    def quantile(self, share):
        """The upper edge of the bin in which that share of the values is reached; None while empty."""
        if not self.total:
            return None
        left = share * self.total
        for edge, count in zip(self.edges, self.counts, strict=False):
            left -= count
            if left <= 0:
                return edge
        return self.edges[-1]


class FailureRates:
    """Failures and totals by bins of a value, halved together when the caller's cap is reached."""

    __slots__ = ("edges", "cap", "totals", "failures")

    def __init__(self, edges, cap):
        self.edges, self.cap = edges, cap
        self.totals, self.failures = [0] * (len(edges) + 1), [0] * (len(edges) + 1)

    def add(self, value, failed):
        at = bisect_left(self.edges, value)
        self.totals[at] += 1
        self.failures[at] += failed
        if sum(self.totals) >= self.cap:
            self.totals = [count // 2 for count in self.totals]
            self.failures = [count // 2 for count in self.failures]

    def reliable_below(self, share):
        """The lower edge of the first bin whose failure rate exceeds that of the lowest bin by more than
        `share`. One failure more is allowed for chance. The last edge if there is no such bin."""
        least = self.failures[0] / max(1, self.totals[0])
        for at in range(1, len(self.totals)):
            if self.failures[at] > (share + least) * self.totals[at] + 1:
                return self.edges[at - 1]
        return self.edges[-1]


class SpanCounter:
    """Counts events in spans of a given length; keeps the last full span and the running one."""

    __slots__ = ("span", "start", "count", "last")

    def __init__(self, span):
        self.span = span
        self.start = 0
        self.count = 0
        self.last = 0

    def roll(self, now):
        if now >= self.start + self.span:
            self.last = self.count if now < self.start + 2 * self.span else 0
            self.start, self.count = now, 0

    def add(self, now):
        self.roll(now)
        self.count += 1

    def peek_highest(self, now):
        """As `highest`, and leaves the spans as they are."""
        if now < self.start + self.span:
            return max(self.count, self.last)
        return self.count if now < self.start + 2 * self.span else 0

    def highest(self, now):
        """The larger count of the last full span and the running one."""
        self.roll(now)
        return max(self.count, self.last)
