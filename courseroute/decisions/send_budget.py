"""The send budget of a route: how many sends a second, from the first refusal on.

The budget is a share of the route's limit, the headroom. It is cut at refusals and grows in seconds with
deliveries. See docs/design.md. Times are whole nanoseconds of the caller's clock.
"""

from typing import NamedTuple

from courseroute.decisions.reported_limit import MAX_LIMIT

S = 1_000_000_000
FIRST_HEADROOM, MAX_HEADROOM, HEADROOM_GROWTH, HEADROOM_CUT = 0.8, 1.0, 0.1, 0.7
FORGET_AFTER = 60 * S  # a budget ends so long after the last refusal
# Sends a second: repeated cuts leave the first to all relays together, and the second to each relay.
MIN_RATE, MIN_RELAY_RATE = 1.0, 0.1


class Refusal(NamedTuple):
    """What a refusal means. `first_budget`: sends a second, where a budget begins with it, else None.
    `is_only_refusals`: nothing was delivered since the last cut."""

    first_budget: float | None
    is_only_refusals: bool


def rate_limit(route, relays):
    """One relay's share of the listed or reported limit, else the learned rate, in sends a second. The share
    of a limit is at least one send a second, unless the route refuses everything or reports its limit."""
    limit = route.reported_limit if route.hosts[0].listed_rate is None else route.hosts[0].listed_rate
    min_rate = MIN_RELAY_RATE if route.refuses_all or route.reported_limit is not None else MIN_RATE
    return max(min(min_rate, limit), limit / relays) if limit else route.learned_rate


def budget_of(now, route, relays):
    """Allowed sends a second; None while only waits requested by the host limit the route. The headroom grows
    by the seconds that have passed without a refusal."""
    if route.refused_at is not None and now - route.refused_at > FORGET_AFTER:
        route.refused_at = None
    if route.refused_at is None or route.reported_limit == 0:
        return None
    if clean_seconds := (now - route.grown_at) // S:
        route.grown_at += clean_seconds * S
        # Seconds without deliveries are no evidence of capacity.
        clean_seconds = min(clean_seconds, route.recent_deliveries.highest(now))
        route.headroom = min(MAX_HEADROOM, route.headroom + HEADROOM_GROWTH * clean_seconds)
        route.learned_rate = min(MAX_LIMIT, route.learned_rate * (1 + HEADROOM_GROWTH) ** clean_seconds)
    return route.headroom * rate_limit(route, relays)


def cut(now, route, relays):
    """Cuts the budget after a refusal, once a second at most, or begins it. Returns the Refusal: a
    destination that delivered nothing since the last cut is taken to refuse everything."""
    is_new = route.refused_at is None or now - route.cut_at >= S
    first_budget = None
    is_first = route.refused_at is None or route.reported_limit == 0
    only_refusals = is_new and route.refused_at is not None and route.cut_at > route.last_delivered_at
    if is_first:
        route.headroom = FIRST_HEADROOM
        route.learned_rate = max(MIN_RATE, route.recent_deliveries.highest(now))
        first_budget = route.headroom * rate_limit(route, relays) if is_new else None
    elif is_new:
        least = MIN_RATE / relays / rate_limit(route, relays)
        route.headroom = max(route.headroom * HEADROOM_CUT, min(route.headroom, least))
    route.refuses_all = only_refusals or route.refuses_all and route.refused_at is not None
    route.cut_at = now if is_new else route.cut_at
    route.refused_at = route.grown_at = now
    route.charged_sends = min(route.charged_sends, max(1.0, budget_of(now, route, relays) or 1.0))
    return Refusal(first_budget, only_refusals)
