"""The relay's event log: one line per event on standard output, as JSON or as coloured text.

Each line has the relay's name and a level, which follows from the event. A reader that stops reading must not
block the relay: lines are then dropped, and the next line written reports how many. `courseroute serve`
renders with structlog; under the platform it is not loaded, as it takes 1.9 MB of the available 32 MB
(docs/town.md), and lines are rendered with orjson directly.
"""

import os
import select
import threading
import time

import orjson

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
WARNINGS = (
    "full",
    "journal cannot",
    "journal damaged",
    "learned state not",
    "notices fail",
    "notices not",
    "discovery failed",
    "no descriptors",
    "saved list not",
    "configuration not",
    "connection failed",
    "call failed",
    "bytes behind",
    "load report",
    "folder not",
    "start failed",
    "successor lost",
    "overrides not",
    "drain not",
    "address not free",
    "inherited socket not usable",
)
ERRORS = ("fault",)
POLL = select.poll()
POLL.register(1, select.POLLOUT)


class Logbook:
    """The log of this process: its level, its format and the fields that every line has."""

    def __init__(self):
        self.min_level, self.context, self.dropped, self.render = LEVELS["info"], {}, 0, render_json
        self.structured = False  # whether structlog renders both forms
        self.writing = threading.Lock()  # the relay and its operators' address are different threads

    def set(self, level="info", form="json", **context):
        """Sets the lowest level written and the format; adds `context` to the fields of every line."""
        self.min_level = LEVELS[level]
        self.context |= context
        if form == "console" or self.structured:
            from courseroute.run.console import renderer

            self.render = renderer(form)
        else:
            self.render = render_json

    def log_event(self, event, **fields):
        """Writes one event with its fields, or counts it as dropped if standard output is not writable."""
        level = level_of(event)
        if LEVELS[level] < self.min_level:
            return
        line = {"at": time.time_ns() // 1_000_000, "event": event, "level": level, **self.context, **fields}
        with self.writing:
            self.write(line)

    def write(self, line):
        if self.dropped:
            line["dropped_before"] = self.dropped
        if POLL.poll(0):
            try:
                os.write(1, self.render(line))
                self.dropped = 0
                return
            except OSError:
                pass
        self.dropped += 1


def level_of(event):
    """The level of an event, which follows from its text."""
    if event.startswith(ERRORS):
        return "error"
    return "warning" if event.startswith(WARNINGS) else "info"


def render_json(line):
    """One line of JSON as bytes."""
    return orjson.dumps(line, default=str) + b"\n"


BOOK = Logbook()
log_event, set_log = BOOK.log_event, BOOK.set
