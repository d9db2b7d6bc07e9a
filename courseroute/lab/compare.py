"""Whether two sets of paired figures differ: the median difference, its interval, a plain word. No I/O.

Pairs are cells of the same seed. The interval is a percentile bootstrap of the median of the differences
(scipy); a difference is told only where the interval leaves out nought and a sign test over the pairs
agrees. With few pairs no difference can be told, and that is said.
"""
from typing import NamedTuple

import numpy as np
from scipy import stats

RESAMPLES = 4000
LEVEL = 0.95
LEAST_PAIRS = 6         # with fewer even the same sign everywhere is not rare by chance


class Difference(NamedTuple):
    pairs: int
    before: float           # medians
    after: float
    median: float           # of the differences
    low: float
    high: float
    word: str               # "higher", "lower", "no difference seen", "too few pairs"

    @property
    def share(self):
        """The median difference as a share of what was before."""
        return self.median / self.before if self.before else None


def compare(before, after, seed=1):
    """`before` and `after`: {pair: value}; pairs that one side lacks, or that have no value, are left out."""
    names = [name for name in before if before[name] is not None and after.get(name) is not None]
    one, two = (np.array([side[name] for name in names], float) for side in (before, after))
    if len(names) < 2:
        median = float(np.median(two - one)) if len(names) else 0.0
        return Difference(len(names), *(float(np.median(side)) if len(names) else 0.0 for side in (one, two)),
                          median, median, median, "too few pairs")
    apart = two - one
    low, high = interval(apart, seed)
    signs = int((apart > 0).sum()), int((apart < 0).sum())
    chance = stats.binomtest(max(signs), sum(signs)).pvalue if sum(signs) else 1.0
    if len(names) < LEAST_PAIRS:
        word = "too few pairs" if apart.any() else "no difference seen"
    elif low <= 0 <= high or chance > 1 - LEVEL:
        word = "no difference seen"
    else:
        word = "higher" if low > 0 else "lower"
    return Difference(len(names), float(np.median(one)), float(np.median(two)), float(np.median(apart)), low,
                      high, word)


def interval(values, seed=1):
    """(low, high) of the median by the bootstrap."""
    if np.ptp(values) == 0:
        return float(values[0]), float(values[0])
    found = stats.bootstrap((values,), np.median, n_resamples=RESAMPLES, confidence_level=LEVEL,
                            method="percentile", rng=np.random.default_rng(seed))
    return float(found.confidence_interval.low), float(found.confidence_interval.high)
