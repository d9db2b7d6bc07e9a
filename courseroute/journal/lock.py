"""One relay a folder: the lock that tells whether one runs. Called by `run.relay` and the tools."""

import fcntl
import os
import time


class Held(Exception):
    """A relay runs on that folder."""


def lock(folder, within=0.0):
    """The folder's handle with the lock on it, to be kept open; Held where another keeps it that long."""
    handle, end = os.open(folder, os.O_RDONLY), time.monotonic() + within
    while True:
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return handle
        except OSError:
            if time.monotonic() >= end:
                os.close(handle)
                raise Held(f"{folder}: a relay runs on it") from None
        time.sleep(0.05)
