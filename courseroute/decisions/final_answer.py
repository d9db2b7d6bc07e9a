"""By when the relay has to begin a message's final answer, so that the answer arrives in its time.

The relay does not see all of a message's time. A client waits for a moment before it gives a request up, and
the request may have spent that moment on its way: its true deadline is nearer than the one that the relay
reads. The final answer takes time as well: the process may be held up, and a call to the platform may get no
answer and has to be made again. So an end that could wait for the deadline comes ahead of it by a reserve.

Times are whole nanoseconds of the caller's clock.
"""

MS = 1_000_000
RESERVE = 500 * MS
LARGEST_SHARE = 4  # the reserve is at most one in so many parts of a message's time


def answer_by(taken_at, deadline):
    """When the final answer to a message that was taken on at that time has to be begun at the latest."""
    return deadline - min(RESERVE, max(0, deadline - taken_at) // LARGEST_SHARE)
