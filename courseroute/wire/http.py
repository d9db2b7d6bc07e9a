"""HTTP/1.1 as state machines that are fed bytes and know no socket; h11 parses."""

import re
import zlib
from typing import NamedTuple

import h11

FIRST_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
REASONS = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class Refused(Exception):
    """The peer's bytes are no request (or answer) we take; `status` is the plain answer to it."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class Request:
    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method, target, headers):
        self.method, self.target, self.headers, self.body = method, target, headers, b""


class Door:
    """The side that serves: bytes in, requests out, answers to bytes."""

    def __init__(self, head_limit, body_limit):
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=head_limit)
        self.head_limit, self.body_limit = head_limit, body_limit
        self.chunk = b""
        self.request, self.parts, self.size, self.whole = None, [], 0, False

    @property
    def begun(self):
        """Whether part of a request is in hand."""
        return self.request is not None or bool(self.h11.trailing_data[0])

    def feed(self, data):
        """`data` is the buffer that was read into; b"" says that the peer ended its sending."""
        self.chunk, self.whole = data, False
        try:
            self.h11.receive_data(data)
        except RuntimeError:  # bytes after the end of sending
            raise Refused(400, "bytes after the end") from None

    def next(self):
        """The next whole request, None if more bytes are needed; raises EOFError once the peer is done."""
        while True:
            try:
                event = self.h11.next_event()
            except (h11.RemoteProtocolError, ValueError) as cause:  # a length too long to be read
                raise Refused(getattr(cause, "error_status_hint", 400), str(cause)) from None
            if event is h11.NEED_DATA:
                return None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise EOFError
            if isinstance(event, h11.Request):
                self.begin(event)
            elif isinstance(event, h11.Data):
                self.size += len(event.data)
                if self.size > self.body_limit:
                    raise Refused(413, "body too large")
                self.parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self.finish()

    def begin(self, event):
        headers = {}
        if sum(len(name) + len(value) for name, value in event.headers) + len(event.target) > self.head_limit:
            raise Refused(431, "head too large")  # h11 bounds only heads that come in pieces
        for name, value in event.headers:
            headers.setdefault(name.decode("latin-1"), value.decode("latin-1"))
        if "content-length" in headers and "transfer-encoding" in headers:
            raise Refused(400, "two lengths")  # a reader of the other one finds a request in the body
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.body_limit:
            raise Refused(413, "body too large")
        self.request = Request(event.method.decode("latin-1"), event.target.decode("latin-1"), headers)
        self.parts, self.size, self.whole = [], 0, "transfer-encoding" not in headers

    def finish(self):
        request, self.request = self.request, None
        if self.whole:  # head and body came in one read: the body is a slice of that buffer
            end = len(self.chunk) - len(self.h11.trailing_data[0])
            request.body = memoryview(self.chunk)[end - self.size : end]
        else:
            request.body = b"".join(self.parts)
        self.parts = []
        return request

    def wants_go_ahead(self):
        if not self.h11.they_are_waiting_for_100_continue:
            return b""
        return self.h11.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue"))

    def answer(self, status, headers=(), body=b"", close=False):
        """The bytes of an answer; afterwards the machine stands ready for the next request, or `over`."""
        headers = [("Content-Length", str(len(body))), *headers]
        if close:
            headers.append(("Connection", "close"))
        try:
            reason = REASONS.get(status, b"Error")
            said = self.h11.send(h11.Response(status_code=status, headers=headers, reason=reason))
            said += self.h11.send(h11.Data(data=body)) + self.h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return b""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
        return said

    @property
    def over(self):
        return self.h11.our_state in (h11.CLOSED, h11.MUST_CLOSE, h11.ERROR)


class Answer(NamedTuple):
    """A whole answer as far as it is needed to tell two apart; the body by its length and CRC-32."""

    status: int
    headers: dict
    size: int
    checksum: int


class Call:
    """The side that calls: one connection, one call at a time."""

    def __init__(self, head_limit, body_limit, keeps=True):
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_limit)
        self.head_limit = head_limit
        self.body_limit, self.keeps = body_limit, keeps  # a longer body is an error
        self.answer_before = None  # the Answer to the call before on this connection
        self.start()

    def start(self):
        self.status, self.headers, self.parts, self.size, self.done = None, {}, [], 0, False
        self.checksum = 0
        self.first = None  # the status by the first line, which may be whole in a head that is not

    def begin(self, method, target, headers, body=b""):
        """The head's bytes; the body goes out behind them as it is."""
        if self.done:
            self.answer_before = self.answer()
        self.start()
        headers = [*headers, ("Content-Length", str(len(body)))]
        try:
            head = self.h11.send(h11.Request(method=method, target=target, headers=headers))
            if body:
                self.h11.send_with_data_passthrough(h11.Data(data=body))
            self.h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as cause:
            raise Refused(400, str(cause)) from None
        return head

    def feed(self, data):
        """Takes what came, b"" for the end; `status` is set once the head is there, `done` at the end."""
        try:
            self.h11.receive_data(data)
            while True:
                if self.status is None:
                    self.read_first_line()
                event = self.h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    raise EOFError
                if isinstance(event, h11.Response):
                    self.status = self.first = event.status_code
                    self.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
                    if int(self.headers.get("content-length", 0)) > self.body_limit:
                        raise Refused(413, "answer too large")
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > self.body_limit:
                        raise Refused(413, "answer too large")
                    self.checksum = zlib.crc32(event.data, self.checksum)
                    if self.keeps:
                        self.parts.append(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.done = True
                    return
        except (h11.RemoteProtocolError, RuntimeError, ValueError) as cause:  # a length too long to be read
            raise Refused(400, str(cause)) from None

    def read_first_line(self):
        """What is noise is known by its first bytes; h11 would wait for the end of a head."""
        head = self.h11.trailing_data[0]
        found = FIRST_LINE.match(head)
        if not found and (b"\n" in head or not head.startswith(b"HTTP/1."[: len(head)])):
            raise Refused(400, "no answer's first line")
        self.first = int(found[1]) if found else None

    @property
    def begun(self):
        """An answer is on its way; what came ahead of it is no part of it."""
        return self.status is not None or bool(self.h11.trailing_data[0])

    @property
    def settled(self):
        """The head says all of a delivery; any other answer counts once it is whole."""
        return self.status == 200 or self.done

    def body(self):
        return b"".join(self.parts)

    def answer(self):
        return Answer(self.status, self.headers, self.size, self.checksum)

    def repeats_head_before(self):
        """Whether the head equals that of the answer before on the connection."""
        before = self.answer_before
        return before is not None and (before.status, before.headers) == (self.status, self.headers)

    def repeats_answer_before(self):
        """Whether this whole answer, which has a body, equals the one before on the connection."""
        return self.done and self.size > 0 and self.answer() == self.answer_before

    def disregard(self):
        """What was read is no answer to the call that is out: reads on with what came behind it."""
        behind = self.superfluous()
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.head_limit)
        self.h11.send(h11.Request(method="POST", target="/", headers=[("Host", "-")]))
        self.h11.send(h11.EndOfMessage())
        self.start()
        if behind:
            self.feed(behind)

    def superfluous(self):
        """Bytes that came behind a whole answer, which no call has asked for."""
        return bytes(self.h11.trailing_data[0]) if self.done else b""

    def reusable(self):
        """Ready for the next call, unless one side wants the connection closed."""
        if not self.done or self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        if self.superfluous():
            return False
        self.h11.start_next_cycle()
        return True
