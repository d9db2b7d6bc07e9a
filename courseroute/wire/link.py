"""A connection that this relay opened, its machine beside it: shared by the drivers that call out."""

import contextlib
import fcntl
import math
import struct
import sys
import termios
from typing import NamedTuple

import trio

from courseroute.wire.http import Call, Refused
from courseroute.wire.unread import unread

LOST = (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError)  # a connection that broke
STANDS_STILL_S = 0.5  # an answer that began and of which nothing more comes is spoilt
REST_NS = 100_000_000  # behind an answer, before the next call: what comes in it belongs to no call
REST_BEHIND_REFUSAL_NS = 250_000_000  # a copy of one would have the next message sent twice
LINE_REST_NS = 50_000_000  # the same for a Line, whose calls to discovery have to follow each other soon
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Exchange(NamedTuple):
    """A call that was answered on a connection; `answered_at` in nanoseconds of the caller's clock."""

    host: str
    id: str
    status: int
    answered_at: int


class Link:
    def __init__(self, head_limit, body_limit, keeps=True):
        self.call = Call(head_limit, body_limit, keeps)
        self.chunk = head_limit
        self.socket = trio.socket.socket()
        self.stream = None
        self.last_exchange = None  # the last one that was answered, for the log

    async def dial(self, place):
        try:
            await self.socket.connect(place)
        except BaseException:
            self.close()
            raise
        self.stream = trio.SocketStream(self.socket)
        return self

    async def send(self, method, target, headers, body=b""):
        await self.stream.send_all(self.call.begin(method, target, headers, body) + body)

    async def hear(self):
        """Feeds the machine once with what has come."""
        self.call.feed(await self.stream.receive_some(self.chunk))

    async def hear_all(self):
        while not self.call.done:
            await self.hear()

    def unacknowledged(self):
        """Bytes written that the peer's system has not acknowledged; 0 where nobody can tell."""
        try:
            count = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):  # ValueError: it is closed
            return 0
        return int.from_bytes(count, sys.byteorder)

    def close(self):
        """Ends the connection. Bytes that are still on their way are dropped: the system would go on to
        deliver them, and a request that was given up would reach its host later."""
        if self.unacknowledged():
            with contextlib.suppress(OSError):
                self.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)
        self.socket.close()


class Line:
    """One kept link to one place, opened anew when it broke or the place moved; one exchange at a time."""

    def __init__(self, place, head_limit, body_limit):
        self.place, self.limits, self.link, self.dialled = place, (head_limit, body_limit), None, None
        self.heard_at = None  # trio's time of the last answer's first byte, None before it
        self.answered_at = None  # trio's time of the last answer's end
        self.was_first = True  # whether that answer was the first one on its connection

    async def exchange(self, within, method, target, headers, body=b""):
        """(status, body) of the answer; raises one of LOST or Refused where none came in time."""
        self.heard_at = None
        await self.rest()
        kept = self.link is not None
        try:
            with trio.move_on_after(within / 1e9):
                if not kept:
                    self.dialled = self.place
                    self.link = await Link(*self.limits).dial(self.place)
                await self.link.send(method, target, headers, body)
                await self.hear_answer()
                told = self.link.call.status, self.link.call.body()
                self.answered_at, self.was_first = trio.current_time(), not kept
                if not self.link.call.reusable():
                    self.drop()
                return told
        except (*LOST, Refused):
            self.drop()
            if kept and self.heard_at is None:  # the other side may have closed it while it stood idle
                return await self.exchange(within, method, target, headers, body)
            raise
        self.drop()
        raise Refused(408, "no answer in time")

    async def rest(self):
        """Waits until LINE_REST_NS behind the last answer are over. Closes the connection where something
        came since, or the place moved, while it stood idle."""
        if self.link is None:
            return
        await trio.sleep(max(0, self.answered_at + LINE_REST_NS / 1e9 - trio.current_time()))
        if self.dialled != self.place or (self.link is not None and unread(self.link.socket) is not None):
            self.drop()

    def is_rested(self):
        """Whether a connection is kept on which a call need not wait."""
        return self.link is not None and trio.current_time() >= self.answered_at + LINE_REST_NS / 1e9

    async def is_sure(self):
        """Whether the last answer was surely that to its call: the first one on a connection is, and one
        behind which nothing came while the connection rested. Another may be a copy of the one before."""
        if self.was_first:
            return True
        await self.rest()
        return self.link is not None

    async def hear_answer(self):
        call = self.link.call
        while not call.done:
            with trio.move_on_after(STANDS_STILL_S if call.begun else math.inf) as scope:
                await self.link.hear()
            if scope.cancelled_caught:
                raise Refused(408, "the answer stands still")
            if self.heard_at is None and call.begun:
                self.heard_at = trio.current_time()

    def drop(self):
        if self.link is not None:
            self.link.close()
            self.link = None
