"""structlog's side of the log, loaded only where an installation's own command starts the relay."""

import datetime
import sys

import orjson
import structlog
from structlog.dev import ConsoleRenderer


def renderer(form):
    """Renders one event's plain map to a line's bytes through structlog's processors."""
    if form == "console":
        chain = [stamp, ConsoleRenderer(colors=sys.stdout.isatty(), sort_keys=False, pad_event_to=30)]
    else:

        def dumps(line, **_):
            return orjson.dumps(line, default=str)

        chain = [structlog.processors.JSONRenderer(serializer=dumps)]

    def render(line):
        for processor in chain:
            line = processor(None, line.get("level", "info"), line)
        return (line.encode() if isinstance(line, str) else line) + b"\n"

    return render


def stamp(_, __, line):
    """The time of day for people, in place of milliseconds."""
    at = datetime.datetime.fromtimestamp(line.pop("at") / 1000)
    return {"timestamp": at.strftime("%H:%M:%S.%f")[:-3], **line}
