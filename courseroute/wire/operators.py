"""The second address, for staff: one call to a connection, answered at once whatever the relay is doing.

Called by `run.relay`; what a call asks is `words.asked`, what it means is said by the relay in `answer`.
"""
import trio

from courseroute.wire import words
from courseroute.wire.http import Door, Refused
from courseroute.wire.link import LOST, accepted


class Operators:
    """Bounded callers: beyond the bound, who has waited longest without a whole call makes room."""

    def __init__(self, house, listener, answer, log):
        """`answer(what, host)`, awaited: (status, body) for a call as `words.asked` reads it."""
        self.house, self.listener, self.answer, self.log = house, listener, answer, log
        self.callers = {}       # callers whose call is not whole yet -> the scope of their wait

    async def serve(self):
        async with trio.open_nursery() as nursery:
            async for sock in accepted(self.listener, self.log, self.house["notice_pause"]):
                if len(self.callers) >= self.house["operators"]:
                    self.callers.pop(next(iter(self.callers))).cancel()
                self.callers[sock] = scope = trio.CancelScope()
                nursery.start_soon(self.call, sock, scope)

    async def call(self, sock, scope):
        stream, door = trio.SocketStream(sock), Door(self.house["head"], self.house["head"])
        status, body = 408, b"the call did not come in time\n"
        scope.deadline = trio.current_time() + self.house["read_within"] / 1e9
        try:
            with scope:
                status, body = await self.heard(stream, door)
            self.callers.pop(sock, None)
            with trio.move_on_after(self.house["last_words"] / 1e9):    # closing on unread bytes would reset
                await stream.send_all(door.answer(status, body=body, close=True))
                await stream.send_eof()
                while await stream.receive_some(self.house["head"]):
                    pass
        except LOST:
            pass
        except Exception as cause:      # one odd call must not cost the others theirs
            self.log("call of an operator failed", error=repr(cause)[:300])
        finally:
            self.callers.pop(sock, None)
            sock.close()

    async def heard(self, stream, door):
        try:
            while (request := door.next()) is None:
                door.feed(await stream.receive_some(self.house["head"]))
            return await self.answer(*words.asked(request))
        except Refused as cause:
            return cause.status, f"{cause}\n".encode()
