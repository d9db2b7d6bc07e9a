"""One relay a folder: the lock that tells whether one runs, and the one of a successor that waits for it.

Called by `run.relay` and the tools. Locks end with their process, whichever way it ends.
"""
import fcntl
import os
import time

SUCCESSOR = "successor"     # a file in the folder, locked by the process that waits to take the folder over


class Held(Exception):
    """A relay runs on that folder."""


def taken(path):
    """A handle of the file or folder with the lock on it, to be kept open; None where another keeps it."""
    handle = os.open(path, os.O_RDONLY | (0 if os.path.isdir(path) else os.O_CREAT), 0o600)
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return handle
    except OSError:
        os.close(handle)
        return None


def lock(folder, within=0.0):
    """The folder's handle with the lock on it, to be kept open; Held where another keeps it that long."""
    end = time.monotonic() + within
    while (handle := taken(folder)) is None:
        if time.monotonic() >= end:
            raise Held(f"{folder}: a relay runs on it")
        time.sleep(0.05)
    return handle


def successor_waits(folder):
    """Whether a process stands ready to take the folder over."""
    path = os.path.join(folder, SUCCESSOR)
    if not os.path.exists(path):
        return False
    handle = taken(path)
    if handle is not None:
        os.close(handle)
    return handle is None
