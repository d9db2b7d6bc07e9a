"""Renders log lines with structlog. Loaded only under `courseroute serve` or for the console format, as
structlog takes memory."""

import datetime
import sys

import orjson
import structlog
from structlog.dev import ConsoleRenderer


def renderer(form):
    """Returns a function that renders an event, given as a plain map, to the bytes of one log line."""
    if form == "console":
        processors = [stamp, ConsoleRenderer(colors=sys.stdout.isatty(), sort_keys=False, pad_event_to=30)]
    else:

        def dumps(line, **_):
            return orjson.dumps(line, default=str)

        processors = [structlog.processors.JSONRenderer(serializer=dumps)]

    def render(line):
        for processor in processors:
            line = processor(None, line.get("level", "info"), line)
        return (line.encode() if isinstance(line, str) else line) + b"\n"

    return render


def stamp(_, __, line):
    """A structlog processor: replaces the Unix time in milliseconds by the local time of day."""
    at = datetime.datetime.fromtimestamp(line.pop("at") / 1000)
    return {"timestamp": at.strftime("%H:%M:%S.%f")[:-3], **line}
