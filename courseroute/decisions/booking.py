"""Where the booking cursor of a route finds room: arithmetic on seconds and sends, without loops.

A budget may be any float, down to the smallest and up to the largest: its figures come from outside (a host's
report, discovery's list, a stored state). So no step here counts by them, and every result is finite.

Times are whole nanoseconds of the caller's clock; budgets are sends a second.
"""

import math

S = 1_000_000_000
FOREVER = 1 << 63  # later than any message's time


def carry_over(booked, budget, elapsed):
    """The sends of `booked` that are still above the budget after `elapsed` nanoseconds, at least 0."""
    return max(0.0, booked - budget * (elapsed / S))


def used_up_by(budget, elapsed):
    """The sends that count as booked in the current second because their slots have passed, `elapsed`
    nanoseconds after its start: unused slots are not made up for in a burst. At most one less than the
    budget, as the last slot of a second has not passed before its end."""
    return min(budget * (elapsed / S) - 1, budget - 1)


def first_second_with_room(second, booked, budget):
    """(start of the first second from `second` on that has room, sends booked in it before). Fractions of a
    send are carried over from one second to the next; the first send always fits."""
    most_booked = max(0.0, budget - 1)
    if booked <= most_booked:
        return second, booked
    seconds = (booked - most_booked) / budget if budget > 0 else math.inf
    if second + seconds * S >= FOREVER:
        return FOREVER, most_booked
    seconds = math.ceil(seconds)
    return second + seconds * S, min(most_booked, booked - seconds * budget)


def slot_in_second(booked, budget, phase):
    """Nanoseconds from the start of a second to the slot of the send that makes `booked` in it. Slots are
    evenly spaced; `phase`, a share of one slot's length, sets those of one relay apart from those of the
    others."""
    return int(S * ((max(0.0, booked - 1) + phase) / max(1.0, budget)))
