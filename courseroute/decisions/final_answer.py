"""When the relay has to start a message's final answer so that it arrives before the deadline.

The deadline that the relay reads is later than the client's real one: a client waits for a moment before it
gives a request up, and the request may have spent that moment in transit. The final answer takes time as
well: the process may be delayed, and a call to the platform may go unanswered and has to be repeated. An end
that could wait for the deadline therefore comes ahead of it by a reserve. A message that arrives with less
time than the minimum reserve can't be answered in time and is not accepted.

A process that was stopped for long is likely to be again: the reserve then covers the longest recent stall,
up to a part of the message's time. One that was stopped several times is expected to be again: then the
reserve covers the second longest of these stalls in full, if that is longer than the usual reserve, and a
message with less time is not accepted.

Times are whole nanoseconds of the caller's clock.
"""

from collections import deque
from typing import NamedTuple

MS = 1_000_000
RESERVE = 500 * MS
STALL_MARGIN = 300 * MS  # by which the reserve is longer than the longest recent stall
STALLS_KEPT_FOR = 30_000 * MS
MAX_STALLS = 64
MAX_RESERVE_DIVISOR = 4  # the reserve is at most this fraction of a message's time, but not below the minimum
MIN_RESERVE = 350 * MS
MIN_RESERVE_LANE_DIVISOR = 8  # the minimum is at most this fraction of the time that its class allows


class Stall(NamedTuple):
    """A stall of the process: when it was found, and its length in nanoseconds."""

    found_at: int
    length: int


class ExpectedStalls(NamedTuple):
    """Lengths in nanoseconds of the longest stall lately, and of one that came more than once; 0 for none."""

    longest: int = 0
    repeated: int = 0

    def exceeds(self, other):
        """Whether either is longer than that of `other`."""
        return self.longest > other.longest or self.repeated > other.repeated


NO_STALLS = ExpectedStalls()


class RecentStalls:
    """The stalls of the last STALLS_KEPT_FOR, at most MAX_STALLS."""

    def __init__(self):
        self.stalls = deque(maxlen=MAX_STALLS)

    def add(self, now, length):
        self.stalls.append(Stall(now, length))

    def to_expect(self, now):
        """The ExpectedStalls."""
        while self.stalls and now - self.stalls[0].found_at > STALLS_KEPT_FOR:
            self.stalls.popleft()
        longest, second = sorted((0, 0, *(stall.length for stall in self.stalls)))[:-3:-1]
        return ExpectedStalls(longest, second if second > RESERVE else 0)


def final_answer_due(accepted_at, deadline, lane_time=None, stalls=NO_STALLS):
    """The latest time to start the final answer to a message that was accepted at `accepted_at`.
    `lane_time`: the time that the settings allow a message of its class from submission to its deadline, None
    if they don't limit it. `stalls`: the ExpectedStalls."""
    least = MIN_RESERVE if lane_time is None else min(MIN_RESERVE, lane_time // MIN_RESERVE_LANE_DIVISOR)
    part = max(0, deadline - accepted_at) // MAX_RESERVE_DIVISOR
    reserve = min(max(RESERVE, stalls.longest + STALL_MARGIN), max(least, part))
    return deadline - max(reserve, stalls.repeated + STALL_MARGIN if stalls.repeated else 0)
