"""The second address, for operators alone: HTTP/1.1 with one call to a connection.

Calls are answered from memory, whatever the relay is doing, and their connections have bounds of their own:
clients can't use them up. Callers that never finish a call make room for new ones.
"""

import enum

import trio

from courseroute.wire.connection import CONNECTION_ERRORS
from courseroute.wire.http import ProtocolError, ServerConnection
from courseroute.wire.server_sockets import MAX_READ_BYTES, accept_connections, finish_sending


class OperatorCall(enum.Enum):
    """The calls: method and path."""

    READINESS = ("GET", "/ops/readiness")


def parse_operator_call(request):
    """The OperatorCall that a request makes. Raises ProtocolError with 404 or 405 where there is none."""
    path = request.target.partition("?")[0]
    for call in OperatorCall:
        method, call_path = call.value
        if path == call_path:
            if request.method != method:
                raise ProtocolError(405, f"this is called by {method}")
            return call
    raise ProtocolError(404, "no such call")


class Operators:
    """Answers operators' calls. `answer(call)` returns (status, body) for an OperatorCall."""

    def __init__(self, limits, answer, log_event):
        self.limits, self.answer, self.log_event = limits, answer, log_event
        self.waiting = {}  # socket of each caller whose call is not complete -> the scope of its wait

    async def serve(self, listener):
        """Serves the connections of a listening socket until cancelled."""
        async with trio.open_nursery() as nursery:
            async for sock in accept_connections(listener, self.log_event):
                if len(self.waiting) >= self.limits["max_operators"]:
                    oldest = next(iter(self.waiting))
                    self.waiting.pop(oldest).cancel()
                scope = self.waiting[sock] = trio.CancelScope()
                nursery.start_soon(self.handle_connection, sock, scope)

    async def handle_connection(self, sock, scope):
        """Answers the one call of a connection; 408 where it does not come in time or has to make room."""
        stream = trio.SocketStream(sock)
        http = ServerConnection(self.limits["max_head_bytes"], self.limits["max_head_bytes"])
        status, body = 408, b"the call did not come in time\n"
        scope.deadline = trio.current_time() + self.limits["operator_timeout"] / 1e9
        grace_s = self.limits["closing_grace"] / 1e9
        try:
            with scope:
                status, body = await self.receive_and_answer(stream, http)
            self.waiting.pop(sock, None)
            with trio.move_on_after(grace_s):
                await stream.send_all(http.answer(status, body=body, close=True))
                await finish_sending(stream, grace_s)
        except CONNECTION_ERRORS:
            pass
        except Exception as cause:  # unexpected input of one caller must not affect others
            self.log_event("connection failed", error=repr(cause)[:300])
        finally:
            self.waiting.pop(sock, None)
            sock.close()
            http.release()

    async def receive_and_answer(self, stream, http):
        """(status, body) for the call once it is complete."""
        try:
            while (request := http.next()) is None:
                http.feed(await stream.receive_some(MAX_READ_BYTES))
            return self.answer(parse_operator_call(request))
        except ProtocolError as cause:
            return cause.status, f"{cause}\n".encode()
