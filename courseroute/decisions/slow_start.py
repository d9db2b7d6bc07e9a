"""The pace of sends to a host that returns from an outage, or that an operator gave back.

All relays together stay below the permitted multiple of its rate. Times are whole nanoseconds of the caller's
clock.
"""

from courseroute.decisions.booking import FOREVER
from courseroute.decisions.send_budget import MIN_RATE

S = 1_000_000_000
DEFAULT_TIME, DEFAULT_START = 10 * S, 0.2  # until a host is warm; the share of its rate that it begins with
ROUGH_RATE_FACTOR = 1.5  # a rough listed rate may be too high by at most this factor
# Probes of all relays together are spread over this many times the outage's length, up to a bound.
PROBE_SPACING_FACTOR, MAX_PROBE_SPACING = 4, 4 * S


def slow_start_time(terms):
    """How long a host is cold."""
    return terms.get("cold", DEFAULT_TIME)


def send_interval(now, host, terms, relays):
    """Time between two sends. Ends the slow start of a host that is warm."""
    elapsed, whole_time = now - host.slow_start_since, slow_start_time(terms)
    host_count = max(1, sum(other.listed for other in host.route.hosts))
    if elapsed >= whole_time and not host.probing:
        host.slow_start_since = None
        return 0
    start = terms.get("cold_from", DEFAULT_START)
    share = start if host.probing else start + (1 - start) * elapsed / whole_time
    rate = host_rate(host, relays) / host_count
    rate *= share * max(1.0, terms.get("overload", 1.0)) / (ROUGH_RATE_FACTOR if terms.get("rough") else 1)
    interval = S / rate if rate > 0 else FOREVER  # a slow start may begin at nothing
    least = min(interval / host_count, PROBE_SPACING_FACTOR * MAX_PROBE_SPACING) / PROBE_SPACING_FACTOR
    return int(min(interval, host_count * max(least, PROBE_SPACING_FACTOR * host.outage_length)))


def host_rate(host, relays):
    """One relay's part of what the hosts of a host's route serve when warm, in sends a second."""
    route = host.route
    limit = host.listed_rate or (route.reported_limit if route.limit_confirmed else None)
    return limit / relays if limit else route.learned_rate or route.usual_rate or MIN_RATE / relays
