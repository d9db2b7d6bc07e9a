"""Thin driver for the clients' connections: reads, feeds the machine, writes what it answers."""

import errno
import os
import select
import socket

import trio

from courseroute.wire.http import Door, Refused
from courseroute.wire.unread import since_last_byte

NO_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
ACCEPT_AGAIN_AFTER_S = 0.05


class Guest:
    """One connection, and where it stands."""

    __slots__ = ("sock", "stream", "door", "scope", "since", "half", "asked", "last")

    def __init__(self, sock, door):
        self.sock, self.stream, self.door = sock, trio.SocketStream(sock), door
        self.scope = trio.CancelScope()  # of the read it waits in
        self.last = False  # it was given up: what was read of it is still answered, then it ends
        self.since = trio.current_time()  # when its request began, a first one with the connection
        self.half, self.asked = 0, False  # bytes of a half-read request; whether a whole one came yet


class Clients:
    """Bounded: so many connections, so many bytes of half-read requests; a full house answers 503."""

    def __init__(self, desk, house, listener, most, refusing, half_read, log):
        self.desk, self.house, self.listener, self.log = desk, house, listener, log
        self.most, self.refusing = most, refusing  # connections served, and those that hear a 503
        self.left = half_read
        self.within = house["read_within"] / 1e9, house["idle"] / 1e9
        self.open = set()
        self.silent, self.idle = {}, {}  # guests who never asked, those between requests
        self.closing = False
        self.full = self.lacks_resources = False

    async def serve(self):
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, _ = await self.listener.accept()
                except OSError as cause:
                    if cause.errno in NO_RESOURCES:
                        await self.wait_for_resources(cause)
                    continue
                except trio.ClosedResourceError:
                    return
                self.lacks_resources = False
                nursery.start_soon(self.connection, sock)

    async def wait_for_resources(self, cause):
        if not self.lacks_resources:
            self.lacks_resources = True
            self.log("no descriptors for a client", error=str(cause))
        await trio.sleep(ACCEPT_AGAIN_AFTER_S)

    async def connection(self, sock):
        guest = Guest(sock, Door(self.house["head"], self.house["body"]))
        try:
            await self.receive(guest)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as cause:  # a peer's odd bytes must cost its own connection only
            self.log("connection failed", error=repr(cause)[:300])
        finally:
            self.hold(guest, 0)
            self.forget(guest)
            sock.close()

    async def receive(self, guest):
        """A connection beyond the bound gets a plain 503: for its request, or at once where far beyond it."""
        extra = len(self.open) >= self.most and not self.give_up_waiting()
        if extra and not self.full:
            self.full = True
            self.log("full of connections", open=len(self.open))
        elif len(self.open) < self.most - self.refusing:
            self.full = False
        if len(self.open) >= self.most + self.refusing:
            os.write(guest.sock.fileno(), guest.door.answer(503, close=True))  # sockets never block here
            guest.sock.shutdown(socket.SHUT_WR)
        else:
            self.open.add(guest)
            await self.talk(guest, extra)

    def forget(self, guest):
        self.silent.pop(guest, None)
        self.idle.pop(guest, None)
        self.open.discard(guest)

    def give_up_waiting(self):
        """Who waits longest without a word makes room, lest a silent crowd cost those who come to ask."""
        return any(self.give_up(guest) for waiting in (self.silent, self.idle) for guest in list(waiting))

    def give_up(self, guest):
        """Ends a connection with nothing to be read; its client may ask again on another. Only the wait is
        cancelled: bytes may be read already that its task has not come to look at."""
        if seen(guest.sock, select.POLLIN):
            return False
        self.forget(guest)
        guest.last = True
        guest.scope.cancel()
        return True

    def hold(self, guest, size):
        """Counts the bytes of half-read requests; False when there is no room for them."""
        self.left += guest.half - size
        guest.half = size
        return self.left >= 0

    async def talk(self, guest, extra):
        stream, door = guest.stream, guest.door
        try:
            while True:
                request = door.next()
                if request is None:
                    await self.read(guest)
                    continue
                self.hold(guest, 0)
                guest.since, guest.asked = None, True
                if extra:
                    raise Refused(503, "no room for more connections")
                unread = since_last_byte(guest.sock)
                status, headers, body = self.desk.answer(request, gone(guest.sock), unread)
                if status == 202:
                    await self.desk.settled()
                await self.write(stream, door.answer(status, headers, body, close=self.closing or guest.last))
                if door.over:
                    return
        except Refused as cause:
            await self.write(stream, door.answer(cause.status, body=f"{cause}\n".encode(), close=True))
            with trio.move_on_after(self.house["last_words"] / 1e9):  # closing on unread bytes would reset
                await stream.send_eof()
                while await stream.receive_some(self.house["body"]):
                    pass
        except EOFError:
            pass

    async def read(self, guest):
        """Reads once; a silent peer is closed, sooner while a request is awaited: one that drips, or never
        says a word, must not hold a place for ever."""
        door, data, now = guest.door, None, trio.current_time()
        if guest.last:
            raise EOFError
        if guest.since is None and door.begun:  # its first bytes came behind the last request
            guest.since = now
        due = (now if guest.since is None else guest.since) + self.within[guest.since is None]
        waiting = self.idle if guest.asked else self.silent
        if not (guest.asked and door.begun):
            waiting[guest] = True
        with trio.move_on_at(due) as guest.scope:
            data = await guest.stream.receive_some(self.house["body"])
        waiting.pop(guest, None)
        if data is None:
            if door.begun and not guest.last:
                raise Refused(408, "the request did not come in time")
            raise EOFError
        if guest.since is None:
            guest.since = trio.current_time()
        door.feed(data)
        if not self.hold(guest, guest.half + len(data)):
            raise Refused(503, "no room for more half-read requests")
        if go := door.wants_go_ahead():
            await self.write(guest.stream, go)

    async def write(self, stream, data):
        with trio.move_on_after(self.house["write_within"] / 1e9) as scope:
            await stream.send_all(data)
        if scope.cancelled_caught:
            raise EOFError

    def close_idle(self, silent_too=False):
        """On the way out: idle connections are closed, the others at their next answer."""
        self.closing = True
        for guest in [*self.idle, *(self.silent if silent_too else ())]:
            self.give_up(guest)


def gone(sock):
    """Whether the peer ended its sending, or reset: the message is then its client's again."""
    return seen(sock, select.POLLRDHUP)


def seen(sock, what):
    poll = select.poll()
    poll.register(sock.fileno(), what)
    return bool(poll.poll(0))
