"""Detects stalls of the process: a request read after a stall may have waited unread for as long."""

import trio

MIN_STALL_NS = 50_000_000  # delay of the event loop that counts as a stall
READ_WITHIN_NS = 100_000_000  # requests that arrived during a stall are read within this time after it


class Standstills(trio.abc.Instrument):
    """Observes the event loop. Times are nanoseconds of `clock`, which also advances during a stall."""

    def __init__(self, clock):
        self.clock, self.seen_at = clock, clock()
        self.began = self.ended = None  # of the last stall
        self.longest = 0  # since `take_longest` was called
        self.is_unheeded, self.heeded_at = (
            False,
            self.seen_at,
        )  # whether one ended, and when `heed` was called

    def before_io_wait(self, timeout):
        self.look(0.0)

    def after_io_wait(self, timeout):
        self.look(timeout)

    def look(self, expected_s):
        """Called from the loop, at most `expected_s` seconds after the previous call unless stalled."""
        now = self.clock()
        late = now - self.seen_at - int(expected_s * 1e9)
        if late > MIN_STALL_NS:
            self.longest, self.is_unheeded = max(self.longest, late), True
            if not self.is_recent(self.seen_at):
                self.began = self.seen_at
            self.ended = now
        self.seen_at = now

    def take_longest(self):
        """The length of the longest stall since the last call in nanoseconds, 0 if there was none."""
        longest, self.longest = self.longest, 0
        return longest

    def heed(self):
        """Whether the process has stood still since the last call, also within a task that still runs."""
        now = self.clock()
        is_late = now - max(self.seen_at, self.heeded_at) > MIN_STALL_NS
        has_stalled, self.is_unheeded, self.heeded_at = self.is_unheeded or is_late, False, now
        return has_stalled

    def is_recent(self, now):
        """Whether requests that arrived during the last stall may still be unread at `now`."""
        return self.ended is not None and now - self.ended <= READ_WITHIN_NS

    def unread_for(self):
        """How long a request read now may have waited unread, in nanoseconds."""
        now = self.clock()
        return now - self.began if self.is_recent(now) else 0
