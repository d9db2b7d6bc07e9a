"""How much of the traffic a tenant may send: a token bucket of each. Times are whole nanoseconds."""

S = 1_000_000_000
BURST_SPAN = 6 * S  # a tenant may send this many seconds' worth of its quota at once


class TenantQuotas:
    """`quotas`: tenant -> messages a second at all relays together; missing: no quota."""

    def __init__(self, quotas, relays):
        self.quotas, self.relays = quotas, relays
        self.buckets = {}  # tenant -> (when it was last filled, tokens)

    def is_over(self, now, tenant):
        """Takes a message from the tenant's quota; whether it is beyond it."""
        quota = self.quotas.get(tenant, 0) / self.relays
        if not quota:
            return False
        filled_at, tokens = self.buckets.get(tenant, (now, 1 << 30))
        tokens = min(max(1.0, quota * BURST_SPAN / S), tokens + quota * (now - filled_at) / S)
        is_over = tokens < 1
        self.buckets[tenant] = now, tokens - (not is_over)
        return is_over
