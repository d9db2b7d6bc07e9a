"""How far a host's figures for its limit are believed: those of its load reports and of discovery's list.

A report may be absurd while the host is well. A figure outside the believable range is ignored. One inside it
that is far from what earlier reports said waits for a second report that agrees with it, so that one odd
report moves nothing, and a limit that did change is known by the second report.

Limits are sends a second, of all relays together.
"""

# The least is one send in the time after which an unrefused limit is dropped anyway; the most is far above
# what any destination takes.
MIN_LIMIT, MAX_LIMIT = 1 / 60, 1e6
MAX_RATIO = 10  # between two figures that agree
SMOOTHING = 0.1  # weight of a new report, as reports are noisy


def is_believable(limit):
    """Whether a figure can be a limit. 0 can: the destination takes nothing now."""
    return limit == 0 or MIN_LIMIT <= limit <= MAX_LIMIT


def believe_report(route, reported, served):
    """Updates a route's limit by a report. `served`: deliveries in a recent second, which the limit of a
    first report can't be far below. A report of 0 and the one after it apply at once."""
    if not is_believable(reported):
        return
    known = route.reported_limit or None
    if reported == 0 or known is None and not is_far_below(reported, served):
        set_limit(route, reported, confirmed=False)
    elif known is not None and agree(known, reported):
        set_limit(route, known + (reported - known) * SMOOTHING, confirmed=True)
    elif route.deviating_limit is not None and agree(route.deviating_limit, reported):
        set_limit(route, reported, confirmed=True)
    else:
        route.deviating_limit = reported


def set_limit(route, limit, confirmed):
    """Sets a route's limit; a deviating report before it no longer counts."""
    route.reported_limit, route.limit_confirmed, route.deviating_limit = limit, confirmed, None


def agree(one, other):
    """Whether two limits above 0 differ by noise at most."""
    return max(one, other) <= MAX_RATIO * min(one, other)


def is_far_below(limit, served):
    """Whether a limit of all relays is contradicted by what this one alone was just served."""
    return served > MAX_RATIO * limit
