"""How long the process stood still: a request that it reads then may have lain unread for as long."""

import trio

NOTABLE_NS = 50_000_000  # of lateness in the event loop
READ_WITHIN_NS = 100_000_000  # what came meanwhile is read within this of going on


class Standstills(trio.abc.Instrument):
    """Watches the event loop. Times are nanoseconds of `clock`, which runs on while the process stands."""

    def __init__(self, clock):
        self.clock, self.seen_at = clock, clock()
        self.began = self.ended = None  # of the last one

    def before_io_wait(self, timeout):
        self.look(0.0)

    def after_io_wait(self, timeout):
        self.look(timeout)

    def look(self, expected_s):
        """Called from the loop, `expected_s` seconds after the last time at the most."""
        now = self.clock()
        if now - self.seen_at > expected_s * 1e9 + NOTABLE_NS:
            if not self.is_recent(self.seen_at):
                self.began = self.seen_at
            self.ended = now
        self.seen_at = now

    def is_recent(self, now):
        return self.ended is not None and now - self.ended <= READ_WITHIN_NS

    def unread_for(self):
        """How long a request that is read now may have waited for that, in nanoseconds."""
        now = self.clock()
        return now - self.began if self.is_recent(now) else 0
