"""What the drivers share: connections that this relay opened, their machine beside them, and who connects."""
import errno

import trio

from courseroute.wire.http import Call, Refused

LOST = (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError)      # a connection that broke
SPENT = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)      # no descriptor, or no memory for one


async def accepted(listener, log, pause):
    """Each socket that connects, until the listener is closed; a pause (ns) where no descriptor is left."""
    while True:
        try:
            sock, _ = await listener.accept()
        except OSError as cause:
            if cause.errno in SPENT:
                log("no descriptors for a connection", error=str(cause))
                await trio.sleep(pause / 1e9)
            continue
        except trio.ClosedResourceError:
            return
        yield sock


class Link:
    def __init__(self, head_limit, body_limit, keeps=True):
        self.call = Call(head_limit, body_limit, keeps)
        self.chunk = head_limit
        self.socket = trio.socket.socket()
        self.stream = None

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

    def close(self):
        self.socket.close()


class Line:
    """One kept link to one place, opened anew when it broke or the place moved; one exchange at a time."""

    def __init__(self, place, head_limit, body_limit):
        self.place, self.limits, self.link, self.dialled = place, (head_limit, body_limit), None, None

    async def exchange(self, within, method, target, headers, body=b""):
        """(status, body) of the answer; raises one of LOST or Refused where none came in time."""
        if self.dialled != self.place:      # the place moved while the link stood idle
            self.drop()
        kept = self.link is not None
        try:
            with trio.move_on_after(within / 1e9):
                if not kept:
                    self.dialled = self.place
                    self.link = await Link(*self.limits).dial(self.place)
                await self.link.send(method, target, headers, body)
                await self.link.hear_all()
                told = self.link.call.status, self.link.call.body()
                if not self.link.call.reusable():
                    self.drop()
                return told
        except (*LOST, Refused):
            self.drop()
            if kept:        # the other side may have closed it while it stood idle
                return await self.exchange(within, method, target, headers, body)
            raise
        self.drop()
        raise Refused(408, "no answer in time")

    def drop(self):
        if self.link is not None:
            self.link.close()
            self.link = None
