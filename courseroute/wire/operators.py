"""The second address, for operators alone: HTTP/1.1 with one call to a connection.

Calls are answered from memory, whatever the relay is doing, and their connections have bounds of their own:
clients can't use them up. Callers that never finish a call make room for new ones. Calls that came before the
address is closed are answered yet.
"""

import select

import trio

from courseroute.wire.connection import CONNECTION_ERRORS
from courseroute.wire.http import ProtocolError, ServerConnection
from courseroute.wire.operator_calls import OperatorAnswer, parse_operator_request
from courseroute.wire.server_sockets import MAX_READ_BYTES, accept_connections, finish_sending

ANSWER_WITHIN_S = 0.8  # a caller waits for 1 s
INCOMPLETE_GRACE_S = 0.05  # for the rest of a call, once the address is about to be closed
CLOSE_POLL_S = 0.005
TOO_LATE = OperatorAnswer(408, "the call did not come in time\n")
FAILED = OperatorAnswer(500, "the call failed\n")
NOT_DONE = OperatorAnswer(503, "this could not be done in time\n")
CROWDED = OperatorAnswer(503, "too many calls at once\n")


class Operators:
    """Answers operators' calls. `answer(request)` returns the OperatorAnswer to an OperatorRequest; it may
    wait, and is cancelled where that takes too long."""

    def __init__(self, limits, answer, log_event):
        self.limits, self.answer, self.log_event = limits, answer, log_event
        self.listener = None
        self.unanswered = set()  # sockets of callers
        self.waiting = {}  # socket of each caller whose call is not complete -> the scope of its wait
        self.answering = 0  # callers whose call is complete and not answered yet

    async def serve(self, listener):
        """Serves the connections of a listening socket until it is closed."""
        self.listener = listener
        async with trio.open_nursery() as nursery:
            async for sock in accept_connections(listener, self.log_event):
                self.unanswered.add(sock)
                if len(self.waiting) >= self.limits["max_operators"]:
                    oldest = next(iter(self.waiting))
                    self.waiting.pop(oldest).cancel()
                scope = self.waiting[sock] = trio.CancelScope()
                nursery.start_soon(self.handle_connection, sock, scope)

    async def close(self):
        """Answers the calls that have come, then closes the address. A call of which a part has come has a
        moment to be completed."""
        if self.listener is None:
            return
        incomplete_until = trio.current_time() + INCOMPLETE_GRACE_S
        with trio.move_on_after(ANSWER_WITHIN_S):
            while self.unanswered or has_connections(self.listener):
                if trio.current_time() >= incomplete_until:
                    for scope in self.waiting.values():
                        scope.cancel()
                await trio.sleep(CLOSE_POLL_S)
        self.listener.close()

    async def handle_connection(self, sock, scope):
        """Answers the one call of a connection; 408 where it does not come in time or has to make room."""
        stream = trio.SocketStream(sock)
        http = ServerConnection(self.limits["max_head_bytes"], self.limits["max_head_bytes"])
        answer, grace_s = TOO_LATE, self.limits["closing_grace"] / 1e9
        scope.deadline = trio.current_time() + self.limits["operator_timeout"] / 1e9
        try:
            try:
                with scope:
                    request = await self.receive(stream, http)
                    answer = None
                self.waiting.pop(sock, None)
                answer = answer or await self.answer_in_time(request)
            except ProtocolError as cause:
                answer = OperatorAnswer(cause.status, f"{cause}\n")
            self.waiting.pop(sock, None)
            with trio.move_on_after(grace_s):
                await stream.send_all(http.answer(answer.status, body=answer.text.encode(), close=True))
                self.unanswered.discard(sock)
                await finish_sending(stream, grace_s)
        except CONNECTION_ERRORS:
            pass
        except Exception as cause:  # unexpected input of one caller must not affect others
            self.log_event("connection failed", error=repr(cause)[:300])
        finally:
            self.waiting.pop(sock, None)
            self.unanswered.discard(sock)
            sock.close()
            http.release()

    async def receive(self, stream, http):
        """The OperatorRequest, once it is complete."""
        while (request := http.next()) is None:
            http.feed(await stream.receive_some(MAX_READ_BYTES))
        return parse_operator_request(request)

    async def answer_in_time(self, request):
        """The answer to a complete call, a no where that takes too long."""
        if self.answering >= self.limits["max_operators"]:
            return CROWDED
        self.answering += 1
        answer = NOT_DONE
        try:
            with trio.move_on_after(ANSWER_WITHIN_S):
                answer = await self.answer(request)
        except Exception as cause:  # the caller is owed a no
            self.log_event("fault", at="operator call", error=repr(cause)[:300])
            answer = FAILED
        finally:
            self.answering -= 1
        return answer


def has_connections(listener):
    """Whether connections wait to be accepted."""
    poll = select.poll()
    poll.register(listener.fileno(), select.POLLIN)
    return bool(poll.poll(0))
