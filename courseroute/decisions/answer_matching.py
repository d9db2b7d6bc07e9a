"""Whether an answer belongs to the call that is out on its connection, or is a copy of an earlier answer.

A late copy of a refusal would have the next message on its connection sent again, though its host runs it. So
a call that may not run twice is not sent behind a refusal.
"""


def may_follow_refusal(lane):
    """Whether a call of this class may use a connection whose last answer was no delivery."""
    return lane.effect != "non-retriable"
