"""Signals that come while the relay starts, before it can heed them. Imported first; imports nothing slow."""

import os
import signal

hangup_came = False


def install():
    """Until the relay listens for signals: SIGTERM and SIGINT end the process in order, SIGHUP is noted."""
    signal.signal(signal.SIGHUP, note_hangup)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_at_once)


def note_hangup(number, frame):
    """The configuration may have been read already: the relay reads it again once it serves."""
    global hangup_came
    hangup_came = True


def end_at_once(number, frame):
    """Nothing was promised yet by this process, and what the folder holds is safe against any end."""
    os._exit(0)
