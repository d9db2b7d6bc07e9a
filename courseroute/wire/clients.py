"""Thin driver for the clients' connections: reads, feeds the machine, writes what it answers."""
import errno
import os
import select
import socket

import trio

from courseroute.wire.http import Door, Refused


class Clients:
    """Bounded: so many connections, so many bytes of half-read requests; a full house answers 503."""

    def __init__(self, desk, house, listener, most, refusing, half_read, log):
        self.desk, self.house, self.listener, self.log = desk, house, listener, log
        self.most, self.refusing = most, refusing       # connections served, and those that hear a 503
        self.left = half_read
        self.open, self.idle, self.half = {}, {}, {}    # scopes; idle ones in that order; bytes in hand
        self.since = {}                                 # when a request began
        self.closing = False
        self.full = False

    async def serve(self):
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, _ = await self.listener.accept()
                except OSError as cause:
                    if cause.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                        self.log("no descriptors for a client", error=str(cause))
                        await trio.sleep(self.house["sweep"] / 1e9)
                    continue
                except trio.ClosedResourceError:
                    return
                nursery.start_soon(self.connection, sock)

    async def connection(self, sock):
        """A connection beyond the bound gets a plain 503: for its request, or at once where far beyond it."""
        extra = len(self.open) >= self.most and not self.give_up_idle()
        if extra and not self.full:
            self.full = True
            self.log("full of connections", open=len(self.open))
        elif len(self.open) < self.most - self.refusing:
            self.full = False
        door = Door(self.house["head"], self.house["body"])
        if len(self.open) >= self.most + self.refusing:
            self.say_full(sock, door)
            return
        self.open[sock] = scope = trio.CancelScope()
        try:
            with scope:
                await self.talk(sock, trio.SocketStream(sock), door, extra)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as cause:      # a peer's odd bytes must cost its own connection only
            self.log("connection failed", error=repr(cause)[:300])
        finally:
            self.hold(sock, 0)
            self.open.pop(sock, None)
            self.idle.pop(sock, None)
            self.since.pop(sock, None)
            sock.close()

    def say_full(self, sock, door):
        try:
            os.write(sock.fileno(), door.answer(503, close=True))       # trio's sockets never block
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        sock.close()

    def give_up_idle(self):
        """Between requests a relay may close a connection: the longest idle one makes room."""
        if not self.idle:
            return False
        sock = next(iter(self.idle))
        self.idle.pop(sock)
        self.open.pop(sock).cancel()
        return True

    def hold(self, sock, size):
        """Counts the bytes of half-read requests; False when there is no room for them."""
        self.left += self.half.pop(sock, 0) - size
        if size:
            self.half[sock] = size
        return self.left >= 0

    async def talk(self, sock, stream, door, extra):
        try:
            while True:
                request = door.next()
                if request is None:
                    await self.read(sock, stream, door)
                    continue
                self.hold(sock, 0)
                self.since.pop(sock, None)
                if extra:
                    raise Refused(503, "no room for more connections")
                status, headers, body = self.desk.answer(request, gone(sock))
                await self.write(stream, door.answer(status, headers, body, close=self.closing))
                if door.over:
                    return
        except Refused as cause:
            await self.write(stream, door.answer(cause.status, body=f"{cause}\n".encode(), close=True))
            with trio.move_on_after(self.house["last_words"] / 1e9):    # closing on unread bytes would reset
                await stream.send_eof()
                while await stream.receive_some(self.house["body"]):
                    pass
        except EOFError:
            pass

    async def read(self, sock, stream, door):
        """Reads once; a silent peer is closed, sooner in the middle of a request."""
        begun, data = door.begun, None
        if begun:       # the whole request has its time: one that drips must not hold a place for ever
            within, since = self.house["read_within"], self.since.setdefault(sock, trio.current_time())
        else:
            within, since = self.house["idle"], trio.current_time()
            self.idle[sock] = True
        with trio.move_on_at(since + within / 1e9):
            data = await stream.receive_some(self.house["body"])
        self.idle.pop(sock, None)
        if data is None:
            if begun:
                raise Refused(408, "the request did not come in time")
            raise EOFError
        door.feed(data)
        if not self.hold(sock, self.half.get(sock, 0) + len(data)):
            raise Refused(503, "no room for more half-read requests")
        if go := door.wants_go_ahead():
            await self.write(stream, go)

    async def write(self, stream, data):
        with trio.move_on_after(self.house["write_within"] / 1e9) as scope:
            await stream.send_all(data)
        if scope.cancelled_caught:
            raise EOFError

    def close_idle(self):
        """On the way out: idle connections are closed, the others at their next answer."""
        self.closing = True
        for sock in list(self.idle):
            if not seen(sock, select.POLLIN):
                self.idle.pop(sock)
                self.open.pop(sock).cancel()


def gone(sock):
    """Whether the peer ended its sending, or reset: the message is then its client's again."""
    return seen(sock, select.POLLRDHUP)


def seen(sock, what):
    poll = select.poll()
    poll.register(sock.fileno(), what)
    return bool(poll.poll(0))
