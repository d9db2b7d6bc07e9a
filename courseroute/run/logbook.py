"""The relay's own log: one line an event on standard output, as JSON or, for people, in colours.

Bound context is the relay's name; a level a line, known by its event. A reader that stands still must not
stop the relay: the line is dropped then, and the next one that fits says how many. structlog renders for
installations of one's own (`courseroute serve`); on the platform's path it is not loaded, as it alone takes
1.9 MB of the 32 MB there are (docs/town.md), and the same chain ends in orjson directly.
"""

import os
import select
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
    "folder not",
)
ERRORS = ("fault",)
POLL = select.poll()
POLL.register(1, select.POLLOUT)


class Logbook:
    def __init__(self):
        self.least, self.context, self.dropped, self.render = LEVELS["info"], {}, 0, render_json
        self.structured = False  # structlog renders, in either form

    def set(self, level="info", form="json", **context):
        self.least = LEVELS[level]
        self.context |= context
        if form == "console" or self.structured:
            from courseroute.run.console import renderer

            self.render = renderer(form)
        else:
            self.render = render_json

    def say(self, event, **figures):
        level = level_of(event)
        if LEVELS[level] < self.least:
            return
        line = {"at": time.time_ns() // 1_000_000, "event": event, "level": level, **self.context, **figures}
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
    if event.startswith(ERRORS):
        return "error"
    return "warning" if event.startswith(WARNINGS) else "info"


def render_json(line):
    return orjson.dumps(line, default=str) + b"\n"


BOOK = Logbook()
say, set_log = BOOK.say, BOOK.set
