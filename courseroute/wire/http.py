"""HTTP/1.1 as state machines on bytes, without any I/O; h11 does the parsing."""

import itertools
import re
import zlib
from typing import NamedTuple

import h11

MAX_HEADER_FIELDS = 100
# Chunks of a body beyond the first number have to be of the second size on average, in bytes.
MAX_SMALL_CHUNKS, MIN_CHUNK_BYTES = 16, 16
BLANK_LINE = re.compile(rb"\n\r?\n")
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


class ProtocolError(Exception):
    """The peer's bytes are no acceptable request or answer; `status` is the status that answers a request."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def protocol_error_of(cause, status):
    """A ProtocolError with the text of another error. That one loses its traceback: an error of h11 refers to
    itself through it, and would keep the connection's buffers until the next garbage collection."""
    cause.__traceback__ = None
    return ProtocolError(status, str(cause))


class Request:
    """A complete request; header names are in lower case."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(self, method, target, headers):
        self.method, self.target, self.headers, self.body = method, target, headers, b""


class ServerConnection:
    """The server's side of a connection: takes received bytes, gives requests, turns answers into bytes."""

    def __init__(self, head_limit, body_limit):
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=head_limit)
        self.head_limit, self.body_limit = head_limit, body_limit
        self.last_read = b""
        self.line_count = 0  # upper bound of the line ends that are not parsed yet
        # `in_one_read`: the request's head and body came in the last read, without chunked encoding.
        self.request, self.body, self.in_one_read = None, bytearray(), False
        self.is_chunked, self.chunk_count = False, 0
        self.has_more = False  # `next` has stopped at its limit

    @property
    def begun(self):
        """Whether part of a request has been received."""
        return self.request is not None or bool(self.h11.trailing_data[0])

    def feed(self, data):
        """Takes received bytes; b"" means that the peer has shut down its sending side."""
        self.last_read, self.in_one_read = data, False
        self.line_count += data.count(b"\n")
        try:
            self.h11.receive_data(data)
        except RuntimeError:  # bytes after the peer's shutdown
            raise ProtocolError(400, "bytes after the end") from None

    def next(self, max_events=None):
        """The next complete request, None if more bytes are needed; raises EOFError once the peer is done.
        Parses `max_events` parts at most: then it returns None and sets `has_more`."""
        self.has_more = False
        if self.request is None and self.line_count > MAX_HEADER_FIELDS:
            self.check_field_count()
        for _ in itertools.count() if max_events is None else range(max_events):
            try:
                event = self.h11.next_event()
            except (h11.RemoteProtocolError, ValueError) as cause:  # ValueError: too many digits in a length
                raise protocol_error_of(cause, getattr(cause, "error_status_hint", 400)) from None
            if event is h11.NEED_DATA:
                self.last_read = b""  # no longer needed, as the body did not come in one read
                return None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise EOFError
            if isinstance(event, h11.Request):
                self.begin_request(event)
            elif isinstance(event, h11.Data):
                self.add_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return self.finish_request()
        self.has_more = True
        return None

    def check_field_count(self):
        """Rejects a head of too many fields before it is parsed, which would take long."""
        unparsed = self.h11.trailing_data[0]
        end = BLANK_LINE.search(unparsed)
        if unparsed.count(b"\n", 0, end.start() if end else len(unparsed)) > MAX_HEADER_FIELDS:
            raise ProtocolError(431, "too many header fields")
        self.line_count = unparsed.count(b"\n")

    def add_to_body(self, data):
        self.body += data
        self.chunk_count += self.is_chunked
        if len(self.body) > self.body_limit:
            raise ProtocolError(413, "body too large")
        if self.chunk_count > MAX_SMALL_CHUNKS and len(self.body) < self.chunk_count * MIN_CHUNK_BYTES:
            raise ProtocolError(400, "chunks too small")

    def begin_request(self, event):
        headers = {}
        if sum(len(name) + len(value) for name, value in event.headers) + len(event.target) > self.head_limit:
            raise ProtocolError(431, "head too large")  # h11 limits only heads that come in several reads
        for name, value in event.headers:
            headers.setdefault(name.decode("latin-1"), value.decode("latin-1"))
        if "content-length" in headers and "transfer-encoding" in headers:
            # Request smuggling: a reader that uses the other length finds a request in the body.
            raise ProtocolError(400, "two lengths")
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.body_limit:
            raise ProtocolError(413, "body too large")
        self.request = Request(event.method.decode("latin-1"), event.target.decode("latin-1"), headers)
        self.is_chunked = "transfer-encoding" in headers
        self.body, self.chunk_count, self.in_one_read = bytearray(), 0, not self.is_chunked
        if self.is_chunked:
            self.last_read = b""

    def finish_request(self):
        request, self.request = self.request, None
        if self.in_one_read:  # the body is a slice of the buffer that was read into, not a copy
            end = len(self.last_read) - len(self.h11.trailing_data[0])
            request.body = memoryview(self.last_read)[end - len(self.body) : end]
        else:
            request.body = bytes(self.body)
        self.body = bytearray()
        return request

    def release(self):
        """Drops all buffers of a closed connection: an exception may keep it alive until the next garbage
        collection."""
        self.h11 = self.request = None
        self.last_read, self.body = b"", bytearray()

    def continue_response(self):
        """The bytes of "100 Continue" if the client waits for it, else none."""
        if not self.h11.they_are_waiting_for_100_continue:
            return b""
        return self.h11.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue"))

    def answer(self, status, headers=(), body=b"", close=False):
        """The bytes of an answer. Afterwards the machine takes the next request, or `is_closed` is set."""
        headers = [("Content-Length", str(len(body))), *headers]
        if close:
            headers.append(("Connection", "close"))
        try:
            reason = REASONS.get(status, b"Error")
            data = self.h11.send(h11.Response(status_code=status, headers=headers, reason=reason))
            data += self.h11.send(h11.Data(data=body)) + self.h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return b""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
        return data

    @property
    def is_closed(self):
        """Whether the connection cannot be used any more."""
        return self.h11.our_state in (h11.CLOSED, h11.MUST_CLOSE, h11.ERROR)


class Answer(NamedTuple):
    """What is compared of two answers: status, headers, and the body's length and CRC-32."""

    status: int
    headers: dict
    size: int
    checksum: int


class HttpClientState:
    """The client's side of a connection, with one call at a time."""

    def __init__(self, head_limit, body_limit, keep_body=True):
        """`body_limit`: a longer body is an error; `keep_body`: whether `body()` is needed."""
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_limit)
        self.head_limit = head_limit
        self.body_limit, self.keep_body = body_limit, keep_body
        self.previous_answer = None  # the Answer to the previous call on this connection
        self.reset()

    def reset(self):
        self.status, self.headers, self.parts, self.size, self.done = None, {}, [], 0, False
        self.checksum = 0
        self.first_line_status = None  # known once the status line is complete, though the head may not be

    def begin(self, method, target, headers, body=b""):
        """Starts a call: the bytes of the request's head, to be sent ahead of the unchanged body."""
        if self.done:
            self.previous_answer = self.answer()
        self.reset()
        headers = [*headers, ("Content-Length", str(len(body)))]
        try:
            head = self.h11.send(h11.Request(method=method, target=target, headers=headers))
            if body:
                self.h11.send_with_data_passthrough(h11.Data(data=body))
            self.h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError as cause:
            raise ProtocolError(400, str(cause)) from None
        return head

    def feed(self, data):
        """Takes received bytes, b"" for the end of the connection. `status` is set once the head is complete,
        `done` at the end of the answer."""
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
                    self.status = self.first_line_status = event.status_code
                    self.headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
                    if int(self.headers.get("content-length", 0)) > self.body_limit:
                        raise ProtocolError(413, "answer too large")
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > self.body_limit:
                        raise ProtocolError(413, "answer too large")
                    self.checksum = zlib.crc32(event.data, self.checksum)
                    if self.keep_body:
                        self.parts.append(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.done = True
                    return
        except (h11.RemoteProtocolError, RuntimeError, ValueError) as cause:  # as in ServerConnection.next
            raise protocol_error_of(cause, 400) from None

    def read_first_line(self):
        """Rejects bytes that cannot start an answer at once; h11 would wait for the end of a head."""
        head = self.h11.trailing_data[0]
        self.first_line_status = None
        if b"\n" not in head:  # a search at each read would go through all earlier bytes again
            if not head.startswith(b"HTTP/1."[: len(head)]):
                raise ProtocolError(400, "no answer's first line")
            return
        found = FIRST_LINE.match(head)
        if not found:
            raise ProtocolError(400, "no answer's first line")
        self.first_line_status = int(found[1])

    @property
    def begun(self):
        """Whether part of the answer has been received; informational responses are no part of it."""
        return self.status is not None or bool(self.h11.trailing_data[0])

    @property
    def conclusive(self):
        """Whether the outcome is known: a delivery's from its head, any other once the answer is complete."""
        return self.status == 200 or self.done

    def body(self):
        return b"".join(self.parts)

    def answer(self):
        return Answer(self.status, self.headers, self.size, self.checksum)

    def body_checksum(self):
        """A checksum of the body of a complete answer; None where it has no body."""
        return self.size << 32 | self.checksum if self.done and self.size else None

    def repeats_previous_head(self):
        """Whether the head equals that of the previous answer on the connection."""
        previous = self.previous_answer
        return previous is not None and (previous.status, previous.headers) == (self.status, self.headers)

    def repeats_previous_answer(self):
        """Whether this complete answer has a body and equals the previous answer on the connection."""
        return self.done and self.size > 0 and self.answer() == self.previous_answer

    def discard_answer(self):
        """Drops an answer that does not belong to the call under way, and continues with the bytes behind
        it."""
        behind = self.unexpected_bytes()
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.head_limit)
        self.h11.send(h11.Request(method="POST", target="/", headers=[("Host", "-")]))
        self.h11.send(h11.EndOfMessage())
        self.reset()
        if behind:
            self.feed(behind)

    def unexpected_bytes(self):
        """Bytes that were received behind a complete answer; they belong to no call."""
        return bytes(self.h11.trailing_data[0]) if self.done else b""

    def reusable(self):
        """Whether the connection can be used for another call; if so, makes it ready for that."""
        if not self.done or self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        if self.unexpected_bytes():
            return False
        self.h11.start_next_cycle()
        return True
