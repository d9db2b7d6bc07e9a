"""Signal handling during startup. Imported first, so it imports nothing slow."""

import os
import signal

hangup_came = False


def install():
    """Until the relay listens for signals: SIGTERM and SIGINT end the process cleanly, SIGHUP is recorded."""
    signal.signal(signal.SIGHUP, note_hangup)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_at_once)


def note_hangup(number, frame):
    """The configuration may have been read already, so the relay reloads it once it serves."""
    global hangup_came
    hangup_came = True


def end_at_once(number, frame):
    """Safe: this process has accepted nothing yet, and the folder's files survive an exit at any point."""
    os._exit(0)
