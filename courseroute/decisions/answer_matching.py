"""Whether an answer belongs to the call that is out on its connection, or is a copy of an earlier answer.

HTTP/1.1 ties an answer to its call by nothing but the order on the connection. An answer counts as that of
the call that is out unless something proves that it is a copy:

| seen | proves |
| --- | --- |
| it is the first answer on its connection | it belongs to the call |
| it differs from the answer before it | it is no copy of that one |
| it equals the answer before it | nothing: hosts may answer any two calls alike |
| another answer to the same call follows | the first of the two is a copy of the answer before |
| no other answer follows until the call's time is over | it belongs to the call |
| the connection ends behind it | nothing: it counts as the call's |
| bytes come while no call is out | they are a copy or noise (`answer_trust`) |

Whether another answer follows is awaited only where a copy is likely: for a delivery that equals the one
before it, of a host that has never answered two calls alike. Meanwhile the message is neither over nor sent
again. Refusals are mostly alike, and the waits that they state hold from their arrival, so they are believed
at once. A late copy of one would have the next message sent again, so a call that may not run twice is not
sent behind one.
"""

MAX_BODIES = 8  # latest delivery bodies that are kept of a host
# A host that has answered so many calls with different bodies is taken to give each call a body of its own.
MIN_DIFFERENT_BODIES = 2


def record_delivery(host, body):
    """Records the checksum of the body of a delivery that is no copy of the one before it."""
    if host.answers_alike:
        return
    if body in host.delivery_bodies:
        record_alike(host)
    else:
        host.delivery_bodies = (*host.delivery_bodies, body)[-MAX_BODIES:]


def record_alike(host):
    """The host has answered two calls alike, so that equal answers say nothing."""
    host.answers_alike, host.delivery_bodies = True, ()


def expects_different_bodies(host):
    """Whether a delivery that equals the one before it is likely to be a copy of that."""
    return len(host.delivery_bodies) >= MIN_DIFFERENT_BODIES


def may_follow_refusal(lane):
    """Whether a call of this class may use a connection whose last answer was no delivery."""
    return lane.effect != "non-retriable"
