"""Outgoing connections with their HTTP state, shared by the drivers that make calls."""

import contextlib
import fcntl
import math
import struct
import sys
import termios
from typing import NamedTuple

import trio

from courseroute.wire.http import HttpClientState, ProtocolError
from courseroute.wire.socket_probe import peek_unread, read_arrived

# Errors of a broken connection.
CONNECTION_ERRORS = (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError)
ANSWER_STALL_S = 0.5  # an answer that started, and of which nothing more comes for so long, has failed
# Quiet period of a PersistentConnection: it is not used for so long after an answer. Bytes that arrive in it
# belong to no call, and it is closed. Short, as calls to discovery must follow each other closely.
PERSISTENT_QUIET_PERIOD_NS = 50_000_000
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, with no time: closing resets the connection


class Exchange(NamedTuple):
    """An answered call on a connection; `answered_at` is nanoseconds of the caller's clock."""

    host: str
    id: str
    status: int
    answered_at: int


class Connection:
    """An outgoing connection. Its methods raise one of CONNECTION_ERRORS where the connection breaks, and
    ProtocolError where the answer is malformed."""

    def __init__(self, head_limit, body_limit, keep_body=True):
        self.call = HttpClientState(head_limit, body_limit, keep_body)
        self.max_read = head_limit
        self.socket = trio.socket.socket()
        self.stream = self.address = None
        self.last_exchange = None  # the last answered call, for the log

    async def connect(self, address):
        """Connects to an address (host, port) and returns itself; a failure closes the socket. An address
        that no socket takes raises OSError too."""
        try:
            await self.socket.connect(address)
        except (ValueError, OverflowError) as cause:
            self.close()
            raise OSError(f"no address: {cause}") from None
        except BaseException:
            self.close()
            raise
        self.stream, self.address = trio.SocketStream(self.socket), address
        return self

    async def send(self, method, target, headers, body=b""):
        """Starts a call and writes its request."""
        await self.stream.send_all(self.call.begin(method, target, headers, body) + body)

    async def receive(self):
        """Reads once and passes the bytes to the HTTP state."""
        self.call.feed(await self.stream.receive_some(self.max_read))

    def receive_arrived(self):
        """Reads what has arrived, without waiting, and passes it to the HTTP state; returns whether there was
        something."""
        if self.stream is None or self.socket.fileno() < 0:
            return False
        data = read_arrived(self.socket, self.max_read)
        if data:
            self.call.feed(data)
        return bool(data)

    async def receive_all(self):
        """Reads until the answer is complete."""
        while not self.call.done:
            await self.receive()

    def unacknowledged(self):
        """Bytes written that the peer's kernel has not acknowledged; 0 where the own kernel does not report
        them."""
        try:
            count = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):  # ValueError: the socket is closed
            return 0
        return int.from_bytes(count, sys.byteorder)

    def close(self):
        """Closes the connection, with a reset if bytes are unacknowledged: the kernel would go on to deliver
        them, and an abandoned request would reach its host later."""
        if self.unacknowledged():
            with contextlib.suppress(OSError):
                self.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER_RESET)
        self.socket.close()


class PersistentConnection:
    """A persistent connection to one address, for one call at a time. It is opened at the first call, and
    again when it broke or the address changed. Times are trio's, in seconds."""

    def __init__(self, address, head_limit, body_limit):
        self.address, self.limits, self.open_connection, self.connected_address = (
            address,
            (head_limit, body_limit),
            None,
            None,
        )
        self.first_byte_at = None  # of the last call's answer, None before it
        self.is_sent = False  # the last call's request is written
        self.answered_at = None  # end of the last answer
        self.was_first = True  # whether that answer was the first one on its connection

    async def exchange(self, within, method, target, headers, body=b""):
        """Makes a call: (status, body) of the answer. `within`: nanoseconds. Raises one of CONNECTION_ERRORS
        or ProtocolError where no answer came in time."""
        self.first_byte_at, self.is_sent = None, False
        await self.wait_quiet_period()
        reused = self.open_connection is not None
        try:
            with trio.move_on_after(within / 1e9):
                if not reused:
                    self.connected_address = self.address
                    self.open_connection = await Connection(*self.limits).connect(self.address)
                await self.open_connection.send(method, target, headers, body)
                self.is_sent = True
                await self.receive_answer()
                answer = self.open_connection.call.status, self.open_connection.call.body()
                self.answered_at, self.was_first = trio.current_time(), not reused
                if not self.open_connection.call.reusable():
                    self.close()
                return answer
        except (*CONNECTION_ERRORS, ProtocolError):
            self.close()
            if reused and self.first_byte_at is None:  # the peer may have closed the idle connection
                return await self.exchange(within, method, target, headers, body)
            raise
        self.close()
        raise ProtocolError(408, "no answer in time")

    def receive_arrived(self):
        """Reads what has arrived of the answer, without waiting: (status, body) if that is all of it, else
        None. Raises ProtocolError where the answer is malformed."""
        connection = self.open_connection
        while not connection.call.done and connection.receive_arrived():
            if self.first_byte_at is None and connection.call.begun:
                self.first_byte_at = trio.current_time()
        return (connection.call.status, connection.call.body()) if connection.call.done else None

    async def wait_quiet_period(self):
        """Waits for the end of the quiet period after the last answer. Closes the connection if bytes arrived
        since, the peer closed it, or the address changed."""
        if self.open_connection is None:
            return
        await trio.sleep(max(0, self.answered_at + PERSISTENT_QUIET_PERIOD_NS / 1e9 - trio.current_time()))
        if self.connected_address != self.address or (
            self.open_connection is not None and peek_unread(self.open_connection.socket) is not None
        ):
            self.close()

    def is_usable(self):
        """Whether there is an open connection whose quiet period is over."""
        return (
            self.open_connection is not None
            and trio.current_time() >= self.answered_at + PERSISTENT_QUIET_PERIOD_NS / 1e9
        )

    async def is_answer_certain(self):
        """Whether the last answer belongs to its call for certain: the first one on a connection does, and
        one behind which nothing arrived in the quiet period. Any other may be a duplicate of the previous
        answer."""
        if self.was_first:
            return True
        await self.wait_quiet_period()
        return self.open_connection is not None

    async def receive_answer(self):
        call = self.open_connection.call
        while not call.done:
            with trio.move_on_after(ANSWER_STALL_S if call.begun else math.inf) as scope:
                await self.open_connection.receive()
            if scope.cancelled_caught:
                raise ProtocolError(408, "the answer stands still")
            if self.first_byte_at is None and call.begun:
                self.first_byte_at = trio.current_time()

    def close(self):
        if self.open_connection is not None:
            self.open_connection.close()
            self.open_connection = None
