"""The locks on a relay's folder: one for the process that uses it, one for the successor that waits for it.

The kernel ends a lock with its process, whichever way the process ends. Called by `run` and the tools.
"""

import fcntl
import os
import time

SUCCESSOR_FILE = "successor"  # empty; locked by the process that is ready to take the folder over


class Held(Exception):
    """Another process has locked the folder."""


def try_lock(path):
    """Locks a file or folder and returns the handle, which must stay open; None where another process has
    locked it. A file is created if it does not exist. Raises OSError where it can't be opened."""
    handle = os.open(path, os.O_RDONLY | (0 if os.path.isdir(path) else os.O_CREAT), 0o600)
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(handle)
        return None
    except OSError:
        os.close(handle)
        raise
    return handle


def lock(folder, within=0.0):
    """Locks a folder and returns the handle, which must stay open. Waits up to `within` seconds, then raises
    Held."""
    end = time.monotonic() + within
    while (handle := try_lock(folder)) is None:
        if time.monotonic() >= end:
            raise Held(f"{folder}: a relay runs on it")
        time.sleep(0.05)
    return handle


def try_lock_as_successor(folder):
    """Locks the successor's file and returns the handle; None where another successor waits already."""
    return try_lock(os.path.join(folder, SUCCESSOR_FILE))


def has_successor(folder):
    """Whether a process waits to take the folder over. False where that can't be found out."""
    path = os.path.join(folder, SUCCESSOR_FILE)
    try:
        handle = try_lock(path) if os.path.exists(path) else -1
    except OSError:
        return False
    if handle is None:
        return True
    if handle >= 0:
        os.close(handle)
    return False
