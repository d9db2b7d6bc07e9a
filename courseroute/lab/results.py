"""Tables of a run: medians by treatment, hypotheses, comparisons of pairs. No I/O, no drawing."""
import statistics

from courseroute.lab import measures
from courseroute.lab.compare import compare


def label(levels):
    return ", ".join(f"{name}={value}" for name, value in levels) or "as it is"


def by_treatment(table):
    """{levels: [(cell, figures)]} in the design's order."""
    found = {}
    for cell, told in table.items():
        found.setdefault(cell.levels, []).append((cell, told))
    return found


def broken(table):
    """[(cell, rule, times)]: what comes first in every table. A void town says nothing of the relays."""
    return [(cell, rule, times) for cell, told in table.items() if not told["void"]
            for rule, times in told["rules"].items() if times]


def void(table):
    return [cell for cell, told in table.items() if told["void"]]


def spread(values):
    """(lowest, median, highest) of what has a value; three None where nothing has."""
    values = [value for value in values if value is not None]
    return (min(values), statistics.median(values), max(values)) if values else (None, None, None)


def rows(run, table):
    """[(levels, plays, {measure: (low, median, high)})] of a run."""
    def values(plays, name):
        return [measures.value(told, name) for _, told in plays if not told["void"]]
    return [(levels, len(plays), {name: spread(values(plays, name)) for name in run.study.measures})
            for levels, plays in by_treatment(table).items()]


def hypotheses(run, table):
    """[(text, where, held, plays)] of each hypothesis: in how many of its cells it held."""
    found = []
    for one in run.study.hypotheses:
        plays = [told for cell, told in table.items() if not told["void"] and all(
            dict(cell.levels).get(name) == value for name, value in one.where.items())]
        found.append((one.says, label(one.where.items()) if one.where else "everywhere",
                      sum(measures.holds(told, one.says) for told in plays), len(plays)))
    return found


def pairs(plays, name):
    return {cell.seed: measures.value(told, name) for cell, told in plays if not told["void"]}


def differences(run, table):
    """[(levels before, levels after, measure, Difference)]: each treatment against the first one."""
    treatments = by_treatment(table)
    if len(treatments) < 2:
        return []
    first = next(iter(treatments))
    return [(first, levels, name, compare(pairs(treatments[first], name), pairs(plays, name)))
            for levels, plays in treatments.items() if levels != first for name in run.study.measures]


def between(one, two):
    """[(levels, measure, Difference)] of two runs: cells of the same levels and seed are pairs."""
    before, after = by_treatment(one.table()), by_treatment(two.table())
    names = [name for name in one.study.measures if name in two.study.measures]
    return [(levels, name, compare(pairs(before[levels], name), pairs(after[levels], name)))
            for levels in before if levels in after for name in names]
