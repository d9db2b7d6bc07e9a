"""The relay's own log: one JSON line an event, on standard output."""
import os
import select
import time

import orjson

POLL = select.poll()
POLL.register(1, select.POLLOUT)


def say(event, **figures):
    """A reader that stands still must not stop the relay: the line is dropped then."""
    line = orjson.dumps({"at": time.time_ns() // 1_000_000, "event": event, **figures}, default=str) + b"\n"
    if POLL.poll(0):
        try:
            os.write(1, line)
        except OSError:
            pass
