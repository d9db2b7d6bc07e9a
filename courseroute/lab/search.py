"""The highest load at which conditions hold: a bisection with repeats that may be played one step at a time.

No I/O: `next` says which load to play, `tell` is told whether the conditions held in a play.
"""
from typing import NamedTuple


class Bound(NamedTuple):
    """`holds`: the highest load at which most plays held; `fails`: the lowest at which most did not."""
    holds: float | None
    fails: float | None
    plays: int


class Search:
    def __init__(self, low, high, repeats=3, within=0.05):
        """Between two loads, each judged by the majority of `repeats` plays, until they are so near."""
        if not 0 < low < high:
            raise ValueError("the lower load must be above nought and under the higher")
        self.low, self.high, self.repeats, self.within = low, high, repeats, within
        self.told = {}          # load -> [whether it held]
        self.holds = self.fails = None

    def next(self):
        """The load to play next, None when the search is over."""
        if self.fails is None:
            load = self.high
        elif self.holds is None:
            load = self.low
        else:
            if self.holds >= self.fails or self.fails - self.holds <= self.within * self.fails:
                return None
            load = round((self.holds + self.fails) / 2, 6)
        return None if self.ended(load) else load

    def ended(self, load):
        """Both ends were judged and say it all: nothing held at the lowest, or all at the highest."""
        return load in self.told and self.verdict(load) is not None

    def verdict(self, load):
        votes = self.told.get(load, [])
        need = self.repeats // 2 + 1
        return True if sum(votes) >= need else False if len(votes) - sum(votes) >= need else None

    def tell(self, load, held):
        self.told.setdefault(load, []).append(bool(held))
        verdict = self.verdict(load)
        if verdict is None:
            return
        if verdict:
            self.holds = max(load, self.holds or load)
            if load == self.high:
                self.fails = self.fails or load
        else:
            self.fails = min(load, self.fails or load)
            if load == self.low:
                self.holds = self.holds or load

    def result(self):
        held = [load for load in self.told if self.verdict(load)]
        failed = [load for load in self.told if self.verdict(load) is False]
        return Bound(max(held, default=None), min(failed, default=None), sum(map(len, self.told.values())))
