"""Statistics of a finished day, as plain maps for tables, JSON and comparisons. No socket, no clock."""

import math
from collections import Counter, defaultdict

import numpy as np

from courseroute.checked import span
from courseroute.emulator.judge import RULES
from courseroute.emulator.scenario import destinations

MS = 1_000_000


def outcomes_by_message(judge):
    """{n: (Message of the first id, delivery time or None, outcome)}, over all ids under which a message was
    submitted. Abandoned ids count only if they were delivered.

    `n` numbers the messages of the clients; a retry under a new id has the number of the original."""
    results = {}
    for msg in judge.messages.values():
        first, delivered, outcome = results.get(msg.n, (msg, None, "unanswered"))
        if msg.delivered_at is not None:
            delivered = min(msg.delivered_at, delivered or msg.delivered_at)
        if msg.submitted_at < first.submitted_at:
            first = msg
        outcome = outcome_of(msg) if outcome_of(msg) != "unanswered" else outcome
        results[msg.n] = first, delivered, "delivered" if delivered else outcome
    return results


def outcome_of(msg):
    """The outcome of one id that was not delivered."""
    if msg.final_answers:
        return msg.final_answers[0][0]
    if msg.rejected_at and not msg.abandoned:
        return "pushed back"
    return "open" if msg.accepted_at and not msg.abandoned else "unanswered"


def figures(result):
    """The statistics of a DayResult as plain values: times in milliseconds, except keys that end in `_s`.
    `service` is the value of the delivered messages as a share of the highest possible value."""
    judge, day = result.judge, result.day
    messages, names = outcomes_by_message(judge), {dst.number: dst.name for dst in destinations(day)}
    calls, refused_calls, delivery_times = Counter(), Counter(), defaultdict(list)
    for msg in judge.messages.values():
        calls[msg.destination] += len(msg.calls)
        refused_calls[msg.destination] += sum(call.status in (429, 503) for call in msg.calls)
    outcomes, lanes = defaultdict(Counter), defaultdict(Counter)
    value, max_value = 0.0, 0.0
    for first, delivered, outcome in messages.values():
        outcomes[first.destination][outcome] += 1
        lanes[first.lane][outcome] += 1
        lane = day.lanes[first.lane]
        max_value += lane.value or 1.0
        if delivered:
            delivery_time = delivered - first.submitted_at
            delivery_times[first.destination].append(delivery_time)
            delivery_times[first.lane].append(delivery_time)
            delivery_times[None].append(delivery_time)
            target = span(lane.target)
            in_time = target is None or delivery_time <= target
            value += (lane.value or 1.0) * (1.0 if in_time else lane.late_value or 0.0)

    def statistics(counts, key, call_count=None, refused_count=None):
        total = sum(counts.values())
        return {
            "messages": total,
            **{
                outcome: counts[outcome]
                for outcome in ("delivered", "pushed back", "returned", "failed", "unanswered", "open")
            },
            "calls_per_message": None if call_count is None else round(call_count / max(1, total), 3),
            "refused": refused_count,
            **quantiles(delivery_times[key]),
        }

    total_outcomes = Counter()
    for counts in outcomes.values():
        total_outcomes.update(counts)
    broken_counts = Counter(violation.rule for violation in judge.broken)
    return {
        "about": day.about,
        "seed": day.seed,
        "relays": day.relays.count,
        "took_s": round(result.duration_s, 1),
        "void": judge.void,
        "late_ms": judge.max_delay // MS,
        "service": round(value / max_value, 4) if max_value else None,
        "all": statistics(total_outcomes, None, sum(calls.values()), sum(refused_calls.values())),
        "destinations": {
            names[dst]: statistics(outcomes[dst], dst, calls[dst], refused_calls[dst])
            for dst in sorted(outcomes)
        },
        "lanes": {name: statistics(lanes[name], name) for name in sorted(lanes)},
        "rules": {rule: broken_counts[rule] for rule in RULES},
        "broken": [
            {"rule": violation.rule, "at_ms": (violation.at - result.start) // MS, "text": violation.text}
            for violation in judge.broken
        ],
        "relays_used": {
            relay.name: relay.peak_usage | {"cpu_s": round(relay.cpu, 2), "lives": relay.start_count}
            for relay in result.relays
        },
        "counts": dict(sorted(judge.counts.items())),
    }


def quantiles(times):
    """Median and 99th percentile of times in nanoseconds, in milliseconds, rounded up; None without times."""
    if not times:
        return {"p50_ms": None, "p99_ms": None}
    median, p99 = np.quantile(np.array(times), (0.5, 0.99))
    return {"p50_ms": math.ceil(median / MS), "p99_ms": math.ceil(p99 / MS)}
