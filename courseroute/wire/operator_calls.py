"""The calls of the operators' address as typed requests and answers, apart from sockets."""

import enum
from typing import NamedTuple
from urllib.parse import unquote

from courseroute.wire.http import ProtocolError
from courseroute.wire.protocol import MAX_FIELD_LENGTH


class OperatorCall(enum.Enum):
    """The calls: method and path; a path that ends in a slash is followed by a host's id."""

    READINESS = ("GET", "/ops/readiness")
    STATS = ("GET", "/ops/stats")
    HOST_DOWN = ("POST", "/ops/hosts/down/")
    HOST_UP = ("POST", "/ops/hosts/up/")
    DRAIN_START = ("POST", "/ops/drain/start")
    DRAIN_STOP = ("POST", "/ops/drain/stop")

    @property
    def method(self):
        return self.value[0]

    @property
    def path(self):
        return self.value[1]

    @property
    def changes_nothing(self):
        return self.method == "GET"

    def matches(self, path):
        is_longer = len(path) > len(self.path)
        return path.startswith(self.path) and is_longer == self.path.endswith("/")


class OperatorRequest(NamedTuple):
    """A call; `host` is the id that its path names, if any."""

    call: OperatorCall
    host: str | None = None


class OperatorAnswer(NamedTuple):
    """The answer: 2xx is yes, 4xx or 5xx is no; `text` ends in a line end, or is empty."""

    status: int
    text: str = ""


def parse_operator_request(request):
    """The OperatorRequest in an HTTP request. Raises ProtocolError with 404 or 405 where there is none."""
    path = request.target.partition("?")[0]
    for call in OperatorCall:
        if call.matches(path):
            if request.method != call.method:
                raise ProtocolError(405, f"this is called by {call.method}")
            return OperatorRequest(call, parse_host(path.removeprefix(call.path)))
    raise ProtocolError(404, "no such call")


def parse_host(text):
    """A host's id from a path, None where the path ends before it. Raises ProtocolError for what can't be a
    host's id."""
    try:
        host = unquote(text, errors="strict")
    except UnicodeDecodeError:
        raise ProtocolError(404, "no host has this id") from None
    if len(host) > MAX_FIELD_LENGTH:
        raise ProtocolError(404, "no host has this id")
    return host or None
