"""The relay's own log: one JSON line an event, on standard output."""
import os
import time

import orjson


def say(event, **figures):
    """A reader that stands still must not stop the relay: the line is dropped then."""
    line = orjson.dumps({"at": time.time_ns() // 1_000_000, "event": event, **figures}, default=str) + b"\n"
    try:
        os.write(1, line)
    except OSError:
        pass
