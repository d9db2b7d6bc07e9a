"""When discovery is called for the list of endpoints, and how long that list may be used unconfirmed.

The platform counts a change of the list as told `told_within` after it was made, whether or not the relay
heard of it; `drain_grace` later nothing more may go to an endpoint that drains or is gone. So the list that a
relay has is good for the sum of both since discovery confirmed it last, and calls are planned so that several
fit into that time. Where the settings name no such times, as in the simulator, the list is good for ever.

Times are whole nanoseconds of the caller's clock.
"""

MS = 1_000_000
S = 1000 * MS

HELD_UP = 150 * MS  # a process may be held up so long between reading its clock and writing
CALLS_IN_ASK_WITHIN = 4
LONGEST_WAIT = 2500 * MS  # of a call that discovery answers when there is news
LATE_AFTER = 1 * S  # an answer that comes so long behind the end of its call's wait is late
SPREAD = 250 * MS  # watches of many relays that fell silent together are not called anew together
RETRY_AFTER = 1 * S  # at the latest, while the list is good
RETRIES_KEPT = 2  # so many must still fit in when a call that waits for news turns out to be silent
RESTART_TAKES = 4500 * MS  # from the last answer to one life until the next one starts, at the most


class EndpointListSchedule:
    """Plans calls for the list from what became of earlier ones."""

    def __init__(self, terms, draw):
        """`terms`: told_within, drain_grace and ask_within are read; `draw(low, high)`: a random number."""
        self.draw = draw
        self.ask_within = terms.get("ask_within", 10 * S)
        self.is_polled = (
            "told_within" in terms
        )  # each answer ends a call; else one watch stands until it fails
        self.usable_for = None
        if self.is_polled and "drain_grace" in terms:
            self.usable_for = terms["told_within"] + terms["drain_grace"] - HELD_UP
        self.usable_until = None  # None where nothing limits it
        self.failures = 0  # calls in a row that brought no answer in time

    def restored(self, now):
        """The list is the one that the last life had."""
        self.confirmed(now - RESTART_TAKES)

    def confirmed(self, as_of):
        """Discovery answered: the list was its own at `as_of`."""
        self.failures = 0
        if self.usable_for is not None:
            self.usable_until = max(self.usable_until or 0, as_of + self.usable_for)

    def failed(self):
        """A call was turned away, broke, or is late."""
        self.failures += 1

    def call_wait(self, now):
        """How long the next call may wait for news; a silent one has to leave time for retries."""
        longest = self.ask_within // CALLS_IN_ASK_WITHIN
        if self.usable_until is None:
            return longest
        spare = self.usable_until - now - LATE_AFTER - RETRIES_KEPT * RETRY_AFTER
        return max(0, min(longest, LONGEST_WAIT, spare))

    def late_after(self, wait):
        """When a call that waits so long counts as failed if nothing came, from now."""
        if self.is_polled:
            return wait + LATE_AFTER + int(self.draw(0, SPREAD))
        return int(self.draw(0.5, 1.0) * self.ask_within / 3)

    def retry_after(self, now):
        """When to call again behind a failure, from now; calls of many relays must not fall together."""
        longest = min(S << self.failures, self.ask_within // 3)
        if self.usable_until is not None and now < self.usable_until:
            return int(self.draw(0.75, 1.0) * min(longest, RETRY_AFTER))
        return int(self.draw(0.5, 1.0) * longest)
