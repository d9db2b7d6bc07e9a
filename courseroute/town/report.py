"""The figures of a day that was played: plain maps for tables, JSON and comparisons. No socket, no clock."""

import math
from collections import Counter, defaultdict

import numpy as np

from courseroute.checked import span
from courseroute.town.judge import RULES
from courseroute.town.script import destinations

MS = 1_000_000


def by_message(judge):
    """{n: (first id, its delivery or None, its last word)} over all ids a message had; ids that were dropped
    count for nothing, but that an effect took place."""
    found = {}
    for msg in judge.messages.values():
        first, delivered, word = found.get(msg.n, (msg, None, "unanswered"))
        if msg.delivered_at is not None:
            delivered = min(msg.delivered_at, delivered or msg.delivered_at)
        if msg.submitted_at < first.submitted_at:
            first = msg
        word = last_word(msg) if last_word(msg) != "unanswered" else word
        found[msg.n] = first, delivered, "delivered" if delivered else word
    return found


def last_word(msg):
    if msg.final_answers:
        return msg.final_answers[0][0]
    if msg.rejected_at and not msg.abandoned:
        return "pushed back"
    return "open" if msg.accepted_at and not msg.abandoned else "unanswered"


def figures(result):
    """What a day came to, as plain values; times in milliseconds."""
    judge, day = result.judge, result.day
    messages, names = by_message(judge), {place.number: place.name for place in destinations(day)}
    calls, refused, waits = Counter(), Counter(), defaultdict(list)
    for msg in judge.messages.values():
        calls[msg.destination] += len(msg.calls)
        refused[msg.destination] += sum(call.status in (429, 503) for call in msg.calls)
    words, lanes = defaultdict(Counter), defaultdict(Counter)
    value, most = 0.0, 0.0
    for first, delivered, word in messages.values():
        words[first.destination][word] += 1
        lanes[first.lane][word] += 1
        lane = day.lanes[first.lane]
        most += lane.value or 1.0
        if delivered:
            took = delivered - first.submitted_at
            waits[first.destination].append(took)
            waits[first.lane].append(took)
            waits[None].append(took)
            target = span(lane.target)
            in_time = target is None or took <= target
            value += (lane.value or 1.0) * (1.0 if in_time else lane.late_value or 0.0)

    def row(counts, key, n_calls=None, n_refused=None):
        total = sum(counts.values())
        return {
            "messages": total,
            **{
                word: counts[word]
                for word in ("delivered", "pushed back", "returned", "failed", "unanswered", "open")
            },
            "calls_per_message": None if n_calls is None else round(n_calls / max(1, total), 3),
            "refused": n_refused,
            **quantiles(waits[key]),
        }

    whole = Counter()
    for counts in words.values():
        whole.update(counts)
    broken = Counter(one.rule for one in judge.broken)
    return {
        "about": day.about,
        "seed": day.seed,
        "relays": day.relays.count,
        "took_s": round(result.duration_s, 1),
        "void": judge.void,
        "late_ms": judge.max_delay // MS,
        "service": round(value / most, 4) if most else None,
        "all": row(whole, None, sum(calls.values()), sum(refused.values())),
        "destinations": {names[dst]: row(words[dst], dst, calls[dst], refused[dst]) for dst in sorted(words)},
        "lanes": {name: row(lanes[name], name) for name in sorted(lanes)},
        "rules": {rule: broken[rule] for rule in RULES},
        "broken": [
            {"rule": one.rule, "at_ms": (one.at - result.start) // MS, "text": one.text}
            for one in judge.broken
        ],
        "relays_used": {
            relay.name: relay.peak_usage | {"cpu_s": round(relay.cpu, 2), "lives": relay.start_count}
            for relay in result.relays
        },
        "counts": dict(sorted(judge.counts.items())),
    }


def quantiles(times):
    if not times:
        return {"p50_ms": None, "p99_ms": None}
    half, most = np.quantile(np.array(times), (0.5, 0.99))
    return {"p50_ms": math.ceil(half / MS), "p99_ms": math.ceil(most / MS)}
