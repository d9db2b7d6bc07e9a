"""Which client connection gives way when a relay is full of connections.

Connections that never sent a byte give way before all others, once that has lasted for a moment or there are
many of them. Next comes the one that has been quiet for longest between two requests, or since the first part
of its first request. Those of which further parts have come give way last: clients that write slowly but
steadily get through beside others that stop.

Times are seconds.
"""

import enum

SILENT_FOR_S = 0.05  # without a first byte; a request comes with its connection or soon behind it
MAX_SILENT_SHARE = 0.25  # of all connections


class Waiting(enum.Enum):
    """What a connection waits for."""

    FIRST_BYTE = "silent"
    SECOND_PART = "started"  # one part of its first request has come
    FURTHER_PART = "progressing"  # several have
    NEXT_REQUEST = "idle"


def eviction_order(longest_waits, silent_share):
    """The kinds of connections that give way, first to last. `longest_waits`: Waiting -> since when the
    connection that is longest without a byte has been so, 0 where there is none; `silent_share`: the share of
    the connections that wait for their first byte."""
    idle, started = longest_waits[Waiting.NEXT_REQUEST], longest_waits[Waiting.SECOND_PART]
    order = [Waiting.NEXT_REQUEST, Waiting.SECOND_PART]
    if idle < min(SILENT_FOR_S, started):
        order.reverse()
    are_many_silent = longest_waits[Waiting.FIRST_BYTE] >= SILENT_FOR_S or silent_share > MAX_SILENT_SHARE
    order.insert(0 if are_many_silent else len(order), Waiting.FIRST_BYTE)
    return [*order, Waiting.FURTHER_PART]
