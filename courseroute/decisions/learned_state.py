"""Which state of hosts and routes a restarted relay restores, and which values it takes from the file.

The file may be of an earlier version, or have been changed by hand: values that the dispatcher can't have
written are not restored, as it would calculate with them for as long as the process lives.

Times are whole nanoseconds of the caller's clock; rates and limits are sends a second.
"""

import math

from courseroute.decisions.answer_trust import MAX_TRUST_LOSSES
from courseroute.decisions.reported_limit import MAX_LIMIT, is_believable

MAX_EVIDENCE = 1e9


def is_time(value, now):
    """Whether a value is a time or a duration. Each check takes the current time, though few need it."""
    return type(value) is int and value >= 0


def is_past(value, now):
    """Whether a value is a time that has come, or a duration no longer than the clock's reading."""
    return is_time(value, now) and value <= now


def is_past_or_none(value, now):
    """As `is_past`, or None for what has not happened."""
    return value is None or is_past(value, now)


def is_flag(value, now):
    """Whether a value is true or false, and no number."""
    return type(value) is bool


def is_rate(value, now):
    """Whether a value is a rate. None stands for infinity, which JSON does not have; earlier versions let a
    rate grow to it."""
    return value is None or is_number(value) and value >= 0


def is_evidence(value, now):
    """Whether a value is the sum of the sequential test for outages."""
    return is_number(value) and 0 <= value <= MAX_EVIDENCE


def is_headroom(value, now):
    """Whether a value is a share of a limit."""
    return is_number(value) and 0 <= value <= 1


def is_limit_or_none(value, now):
    """Whether a value may have been reported as a limit, believable or not; None where none was."""
    return value is None or is_number(value) and value >= 0


def is_trust_loss_count(value, now):
    """Whether a value counts how often a host lost trust."""
    return type(value) is int and 0 <= value <= MAX_TRUST_LOSSES


def is_number(value):
    """Whether a value is a finite number, and no flag."""
    return type(value) in (int, float) and math.isfinite(value)


# The stored fields, in the order of their values in the stored record, and the check of each. New fields go
# to the end: records of earlier versions have fewer values, and are read by position.
ROUTE_FIELDS = {
    "headroom": is_headroom,
    "learned_rate": is_rate,
    "reported_limit": is_limit_or_none,
    "refused_at": is_past_or_none,
    "grown_at": is_past,
    "cut_at": is_past,
    "refuses_all": is_flag,
    "wait_until": is_time,
    "usual_rate": is_rate,
    "limit_confirmed": is_flag,
}
HOST_FIELDS = {
    "evidence": is_evidence,
    "failing_since": is_past_or_none,
    "outage_length": is_past,
    "ejected_at": is_past,
    "not_before": is_time,
    "probing": is_flag,
    "slow_start_since": is_past_or_none,
    "unsolicited_at": is_past_or_none,
    "trust_losses": is_trust_loss_count,
}


def values_of(thing, fields):
    """The values of the stored fields of a host or route."""
    return [getattr(thing, name) for name in fields]


def are_valid(values, fields, now):
    """Whether a record can be restored: a list with a possible value for each field, or for the first."""
    return (
        isinstance(values, list)
        and len(values) <= len(fields)
        and all(check(value, now) for value, check in zip(values, fields.values(), strict=False))
    )


def restore(thing, values, fields):
    """Sets the fields of a host or route from a valid record."""
    for name, value in zip(fields, values, strict=False):
        setattr(thing, name, value)


def bounded(rate):
    """A stored rate, at most the highest limit that is believed."""
    return MAX_LIMIT if rate is None else min(rate, MAX_LIMIT)


def restore_route(route, values):
    """Sets a route's fields from a valid record. A limit that no destination has counts as unknown, and rates
    are bounded: earlier versions stored whatever was reported, and rates of any size."""
    restore(route, values, ROUTE_FIELDS)
    route.learned_rate, route.usual_rate = bounded(route.learned_rate), bounded(route.usual_rate)
    if route.reported_limit is not None and not is_believable(route.reported_limit):
        route.reported_limit, route.limit_confirmed = None, False
