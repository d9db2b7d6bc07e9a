"""Serves the clients' connections: reads requests, passes them to the tracker, writes its answers."""

import os
import select
import socket

import trio

from courseroute.decisions.crowding import Waiting, eviction_order
from courseroute.wire.http import ProtocolError, ServerConnection
from courseroute.wire.server_sockets import MAX_READ_BYTES, accept_connections, finish_sending
from courseroute.wire.socket_probe import ns_since_last_byte

CLOSE_POLL_S = 0.005
PIPELINES_WITHIN_S = 1.0
# Parts of a request, such as chunks, that are parsed at once, and those in a later turn; usually there are 3.
MAX_EVENTS_AT_ONCE, MAX_EVENTS_PER_TURN = 20, 32


class ClientConnection:
    """A client's connection and its state."""

    __slots__ = (
        "sock",
        "stream",
        "http",
        "read_scope",
        "request_started",
        "partial_bytes",
        "has_sent_request",
        "is_closing",
        "accepted_at",
        "waiting_since",
        "has_progressed",
        "write_scope",
    )

    def __init__(self, sock, http):
        self.sock, self.stream, self.http = sock, trio.SocketStream(sock), http
        self.read_scope = trio.CancelScope()  # of the read under way
        self.has_progressed = False  # further parts of its current request have come
        self.is_closing = False  # closed once the requests that were read already are answered
        # When the current request started, the first one with the connection; None between requests.
        self.request_started = self.accepted_at = self.waiting_since = trio.current_time()
        self.write_scope = None  # of the write under way
        self.partial_bytes, self.has_sent_request = 0, False  # of an incomplete request; a complete one came


class Clients:
    """Limits the connections and the bytes of incomplete requests; beyond a limit requests get a 503.

    `max_served` connections are served, `max_refused` more get a 503 for their request, further ones at once.
    """

    def __init__(
        self, tracker, limits, listener, max_served, max_refused, max_partial_bytes, log, count_refused=None
    ):
        """`count_refused(status, target)` is called for each request that is refused before the tracker sees
        it; `target` is None where it has not come."""
        self.count_refused = count_refused or (lambda status, target: None)
        self.tracker, self.limits, self.listener, self.log = tracker, limits, listener, log
        self.max_served, self.max_refused = max_served, max_refused
        self.partial_bytes_left = max_partial_bytes
        # In a request, between two.
        self.read_timeouts = limits["read_timeout"] / 1e9, limits["idle_timeout"] / 1e9
        self.accepted = set()  # sockets, from their accept until they are closed
        self.open_connections = set()
        # Connections that wait, by what for: ordered sets, the one that is longest without a byte first.
        self.waiting = {kind: {} for kind in Waiting}
        self.refused = {}  # those whose request was refused and that only wait for their client's end
        self.closing = False  # each connection ends with an answer
        self.pipelines_end_at = 0.0  # and so do, from then on, those on which further requests have come
        self.at_limit = False
        self.accepting = trio.CancelScope()
        # Taken for input of many parts. It passes in order of arrival, once in each pass of the event loop:
        # the other tasks wait for one turn, however many connections have such input.
        self.turn = trio.Lock()

    async def serve(self):
        """Accepts connections until the listener is closed or `stop_accepting`; returns once all of them
        are closed."""
        async with trio.open_nursery() as nursery:
            with self.accepting:
                async for sock in accept_connections(self.listener, self.log):
                    self.accepted.add(sock)
                    nursery.start_soon(self.handle_connection, sock)

    def stop_accepting(self):
        """Leaves further connections in the listener's queue, for another process that shares it."""
        self.accepting.cancel()

    def resume_accepting(self, nursery):
        """Accepts again after `stop_accepting`, in a task of its own."""
        self.accepting = trio.CancelScope()
        nursery.start_soon(self.serve)

    async def wait_all_closed(self):
        """Returns once no connection is open."""
        while self.accepted:
            await trio.sleep(CLOSE_POLL_S)

    async def handle_connection(self, sock):
        connection = ClientConnection(
            sock, ServerConnection(self.limits["max_head_bytes"], self.limits["max_body_bytes"])
        )
        try:
            await self.admit(connection)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as cause:  # unexpected input of one client must not affect other connections
            self.log("connection failed", error=repr(cause)[:300])
        finally:
            self.count_partial(connection, 0)
            self.forget(connection)
            self.accepted.discard(sock)
            sock.close()
            connection.http.release()

    async def admit(self, connection):
        """Serves a connection. One beyond the limit gets a 503 for its request, one far beyond it at once."""
        is_extra = len(self.open_connections) >= self.max_served and not self.evict_waiting()
        if is_extra and not self.at_limit:
            self.at_limit = True
            self.log("full of connections", open=len(self.open_connections))
        elif len(self.open_connections) < self.max_served - self.max_refused:
            self.at_limit = False
        if len(self.open_connections) >= self.max_served + self.max_refused:
            # Written without trio: the socket does not block.
            os.write(connection.sock.fileno(), connection.http.answer(503, close=True))
            connection.sock.shutdown(socket.SHUT_WR)
        else:
            self.open_connections.add(connection)
            await self.serve_requests(connection, is_extra)

    def forget(self, connection):
        for waiting in self.waiting.values():
            waiting.pop(connection, None)
        self.refused.pop(connection, None)
        self.open_connections.discard(connection)

    def evict_waiting(self):
        """Closes a connection whose request was refused, else one that waits, so that these cannot keep out
        clients with requests. False where there is none."""
        for connection in self.refused:
            self.forget(connection)
            connection.read_scope.cancel()
            return True
        now = trio.current_time()
        longest_waits = {
            kind: max((now - connection.waiting_since for connection in list(waiting)[:1]), default=0.0)
            for kind, waiting in self.waiting.items()
        }
        silent_share = len(self.waiting[Waiting.FIRST_BYTE]) / max(1, len(self.open_connections))
        return any(
            self.close_waiting(connection)
            for kind in eviction_order(longest_waits, silent_share)
            for connection in list(self.waiting[kind])
        )

    def close_waiting(self, connection):
        """Closes a connection unless it has bytes to be read; its client may connect again. Only the pending
        read is cancelled: its task may have read bytes already that it has not processed."""
        if has_unread(connection.sock):
            return False
        self.forget(connection)
        connection.is_closing = True
        connection.read_scope.cancel()
        return True

    def count_partial(self, connection, size):
        """Sets the bytes of a connection's incomplete request; False where the total exceeds its limit."""
        self.partial_bytes_left += connection.partial_bytes - size
        connection.partial_bytes = size
        return self.partial_bytes_left >= 0

    async def serve_requests(self, connection, is_extra):
        stream, http, request = connection.stream, connection.http, None
        try:
            while True:
                request = http.next(MAX_EVENTS_AT_ONCE)
                while http.has_more:
                    async with self.turn:
                        request = http.next(MAX_EVENTS_PER_TURN)
                if request is None:
                    await self.read(connection)
                    continue
                status, headers, body = self.handle_request(connection, request, is_extra)
                if status == 202:
                    await self.tracker.wait_synced()
                closes = self.ends_with_answer(connection)
                await self.write(connection, http.answer(status, headers, body, close=closes))
                request = None
                if http.is_closed:
                    if closes and has_unread(connection.sock):
                        await finish_sending(stream, self.limits["closing_grace"] / 1e9)
                    return
        except ProtocolError as cause:
            known = request or http.request
            self.count_refused(cause.status, known and known.target)
            answer = http.answer(cause.status, body=f"{cause}\n".encode(), close=True)
            http.release()
            self.count_partial(connection, 0)
            await self.write(connection, answer)
            self.refused[connection] = True
            with trio.CancelScope() as connection.read_scope:
                await finish_sending(stream, self.limits["closing_grace"] / 1e9)
        except EOFError:
            pass

    def handle_request(self, connection, request, is_extra):
        """The tracker's answer: (status, headers, body)."""
        self.count_partial(connection, 0)
        connection.request_started, connection.has_sent_request = None, True
        if is_extra:
            raise ProtocolError(503, "no room for more connections")
        unread = ns_since_last_byte(connection.sock)
        return self.tracker.handle_request(request, peer_closed(connection.sock), unread)

    async def read(self, connection):
        """Reads once. Raises EOFError or ProtocolError where nothing came in time; the timeout is shorter
        while a request is awaited, so that a client that sends slowly or nothing does not keep its
        connection."""
        http, data, now = connection.http, None, trio.current_time()
        if connection.is_closing and not (http.begun and connection.has_sent_request):
            raise EOFError
        if connection.request_started is None and http.begun:
            # Its first bytes came with the previous request.
            connection.request_started = now
        due = (now if connection.request_started is None else connection.request_started) + (
            self.read_timeouts[connection.request_started is None]
        )
        waiting = self.waiting_like(connection)
        connection.waiting_since = now
        waiting[connection] = True
        with trio.move_on_at(due) as connection.read_scope:
            data = await connection.stream.receive_some(MAX_READ_BYTES)
        waiting.pop(connection, None)
        if data is None and connection.is_closing and has_unread(connection.sock):
            data = await connection.stream.receive_some(MAX_READ_BYTES)
        if data is None:
            if http.begun and not connection.is_closing:
                raise ProtocolError(408, "the request did not come in time")
            raise EOFError
        if connection.request_started is None:
            connection.request_started = trio.current_time()
        connection.has_progressed = http.begun
        http.feed(data)
        if not self.count_partial(connection, connection.partial_bytes + len(data)):
            raise ProtocolError(503, "no room for more half-read requests")
        if interim := http.continue_response():
            await self.write(connection, interim)

    def waiting_like(self, connection):
        """The set of connections that wait for the same; a second request that is being read stays in none,
        as its client was served before."""
        if connection.has_sent_request:
            return {} if connection.http.begun else self.waiting[Waiting.NEXT_REQUEST]
        if not connection.http.begun:
            return self.waiting[Waiting.FIRST_BYTE]
        return self.waiting[Waiting.FURTHER_PART if connection.has_progressed else Waiting.SECOND_PART]

    async def write(self, connection, data):
        """Writes all bytes; EOFError where the client does not take them in time."""
        with trio.move_on_after(self.limits["write_timeout"] / 1e9) as connection.write_scope:
            await connection.stream.send_all(data)
        if connection.write_scope.cancelled_caught:
            raise EOFError

    def ends_with_answer(self, connection):
        """Whether a connection ends with the answer that is about to be written. One on which further
        requests have come goes on for a while, so that they are answered too."""
        if not (self.closing or connection.is_closing):
            return False
        has_further = connection.http.begun or has_unread(connection.sock)
        return not has_further or trio.current_time() >= self.pipelines_end_at

    def begin_seeing_off(self):
        """From now on each connection ends with its next answer; where clients have sent further requests
        already, those are answered too, within a bound."""
        if not self.closing:
            self.closing = True
            self.pipelines_end_at = trio.current_time() + PIPELINES_WITHIN_S

    def keep_connections(self):
        """Ends what `begin_seeing_off` began."""
        self.closing = False

    def close_unused(self, silent_s):
        """Closes connections that are idle between requests, and those on which nothing has come for the
        first `silent_s` seconds. Returns how many."""
        now = trio.current_time()
        silent = [
            connection
            for connection in self.waiting[Waiting.FIRST_BYTE]
            if now - connection.accepted_at >= silent_s
        ]
        return sum(map(self.close_waiting, [*self.waiting[Waiting.NEXT_REQUEST], *silent]))

    def end_unfinished(self, accepted_before):
        """Ends connections that were accepted before a time (of trio's clock) whatever their clients do: a
        request that isn't complete is refused, an answer that isn't read is given up. Returns how many."""
        unfinished = [one for one in self.open_connections if one.accepted_at < accepted_before]
        for connection in unfinished:
            connection.read_scope.cancel()
            if connection.write_scope is not None:
                connection.write_scope.cancel()
        return len(unfinished)

    def holds_accepted_before(self, time_s):
        """Whether a connection that was accepted before a time (of trio's clock) is open."""
        return any(connection.accepted_at < time_s for connection in self.open_connections)

    def close_idle(self, include_silent=False):
        """Closes idle connections, the others after their next answer; with `include_silent` also those that
        wait for their first request."""
        self.begin_seeing_off()
        kinds = Waiting if include_silent else (Waiting.NEXT_REQUEST,)
        for connection in [connection for kind in kinds for connection in self.waiting[kind]]:
            self.close_waiting(connection)


def peer_closed(sock):
    """Whether the peer has shut down its sending side or reset the connection. A client that did so keeps the
    responsibility for its message."""
    return poll_socket(sock, select.POLLRDHUP)


def has_unread(sock):
    """Whether bytes, or the peer's end, can be read now."""
    return poll_socket(sock, select.POLLIN)


def poll_socket(sock, events):
    """Whether one of the poll events is set now."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))
