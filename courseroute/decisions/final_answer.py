"""By when the relay has to begin a message's final answer, so that the answer arrives in its time.

The relay does not see all of a message's time. A client waits for a moment before it gives a request up, and
the request may have spent that moment on its way: its true deadline is nearer than the one that the relay
reads. The final answer takes time as well: the process may be held up, and a call to the platform may get no
answer and has to be made again. So an end that could wait for the deadline comes ahead of it by a reserve. A
message that comes with less time than the least reserve can't be answered in time and is not taken on.

Times are whole nanoseconds of the caller's clock.
"""

MS = 1_000_000
RESERVE = 500 * MS
SHARE_OF_TIME = 4  # the reserve is at most one in so many parts of a message's time, but not under the least
LEAST_RESERVE = 350 * MS
LEAST_SHARE_OF_LANE = 8  # the least is at most one in so many parts of the time that its lane gives a message


def answer_by(taken_at, deadline, lane_time=None):
    """When the final answer to a message that was taken on at that time has to be begun at the latest.
    `lane_time`: what the settings give a message of its lane from hand-in to deadline, None where nothing."""
    least = LEAST_RESERVE if lane_time is None else min(LEAST_RESERVE, lane_time // LEAST_SHARE_OF_LANE)
    part = max(0, deadline - taken_at) // SHARE_OF_TIME
    return deadline - min(RESERVE, max(least, part))
