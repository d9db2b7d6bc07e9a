"""Measures of a day: a name leads into its figures; conditions on them. No I/O.

`service`, `all.p99_ms`, `lanes.order.failed`, `destinations.insurer-0.refused`, `rules.drains kept`, and the
sums over relays `cpu_s`, `memory_kb`, `descriptors`, `disk_kb` (of memory and descriptors the highest),
`waste` (calls beyond one a message delivered, as a share), `cpu_ms_per_message`, `broken` (rules broken).
"""
import operator
import re

ROW = ("messages", "delivered", "pushed back", "returned", "failed", "unanswered", "open",
       "calls_per_message", "refused", "p50_ms", "p90_ms", "p99_ms", "p999_ms")
USED = {"cpu_s": sum, "disk_kb": max, "memory_kb": max, "descriptors": max, "lives": sum}
MADE = ("service", "waste", "cpu_ms_per_message", "broken", "late_ms", "took_s", *USED)
ALLOWED = ("one of " + ", ".join(MADE) + ", or all.X, lanes.NAME.X, destinations.NAME.X with X of "
           + ", ".join(ROW) + ", or rules.NAME")
TESTS = {"<": operator.lt, "<=": operator.le, ">": operator.gt, ">=": operator.ge, "==": operator.eq}
CONDITION = re.compile(r"\s*(.+?)\s*(<=|>=|<|>|==)\s*(-?\d+(?:\.\d+)?)\s*")
BETTER_HIGH = ("service", "delivered")


def known(name):
    parts = name.split(".")
    return name in MADE or parts[0] == "all" and parts[1:2] != [] and ".".join(parts[1:]) in ROW or (
        parts[0] in ("lanes", "destinations") and len(parts) == 3 and parts[2] in ROW) or (
        parts[0] == "rules" and len(parts) == 2)


def value(figures, name):
    """The measure's value in a day's figures; None where the day has none."""
    if name in USED:
        return USED[name](row[name] for row in figures["relays_used"].values())
    if name == "broken":
        return sum(figures["rules"].values())
    if name == "waste":
        whole = figures["all"]
        calls = whole["calls_per_message"] * whole["messages"]
        return max(0.0, calls - whole["delivered"]) / calls if calls else 0.0
    if name == "cpu_ms_per_message":
        return 1000 * value(figures, "cpu_s") / max(1, figures["all"]["messages"])
    found = figures
    for part in name.split(".") if name not in figures else [name]:
        found = found.get(part) if isinstance(found, dict) else None
    return found


def condition(text):
    """(measure, test, bound) of a condition as "all.p99_ms < 2000"; ValueError where it is none."""
    found = CONDITION.fullmatch(text)
    if not found:
        raise ValueError("a measure, one of < <= > >= ==, and a number")
    if not known(found[1]):
        raise ValueError(ALLOWED)
    return found[1], TESTS[found[2]], float(found[3])


def holds(figures, text):
    """Whether the condition holds; a measure without a value holds none."""
    name, test, bound = condition(text)
    now = value(figures, name)
    return now is not None and test(now, bound)


def better_high(name):
    return name.rpartition(".")[2] in BETTER_HIGH
