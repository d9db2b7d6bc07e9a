"""Histogram mechanics: coarse bins by edges the caller hands in, halved when the caller's cap is reached."""

from bisect import bisect_left


class Histogram:
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


class Odds:
    """How often things went wrong, by size: coarse bins, halved together when the caller's cap is reached."""

    __slots__ = ("edges", "cap", "all", "wrong")

    def __init__(self, edges, cap):
        self.edges, self.cap = edges, cap
        self.all, self.wrong = [0] * (len(edges) + 1), [0] * (len(edges) + 1)

    def add(self, value, wrong):
        at = bisect_left(self.edges, value)
        self.all[at] += 1
        self.wrong[at] += wrong
        if sum(self.all) >= self.cap:
            self.all = [count // 2 for count in self.all]
            self.wrong = [count // 2 for count in self.wrong]

    def sound_below(self, share):
        """The lower edge of the first bin in which that share more went wrong than in the least bin, and one
        more by chance."""
        least = self.wrong[0] / max(1, self.all[0])
        for at in range(1, len(self.all)):
            if self.wrong[at] > (share + least) * self.all[at] + 1:
                return self.edges[at - 1]
        return self.edges[-1]


class Meter:
    """Counts events in spans of a given length; keeps the last full span beside the running one."""

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

    def most(self, now):
        self.roll(now)
        return max(self.count, self.last)
