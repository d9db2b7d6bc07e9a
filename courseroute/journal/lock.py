"""The lock that ensures that only one relay uses a folder. Called by `run.relay` and the tools."""

import fcntl
import os
import time


class Held(Exception):
    """Another process has locked the folder."""


def lock(folder, within=0.0):
    """Locks a folder and returns the handle, which must stay open. Waits up to `within` seconds, then raises
    Held."""
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
