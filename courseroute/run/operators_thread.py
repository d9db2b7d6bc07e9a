"""Serves the operators' address on an event loop and a thread of its own.

The relay's event loop stands still while a write of the journal does, and operators wait for 1 s. Their calls
are executed on the relay's loop; where that does not answer in time, they are answered from here as far as
that is possible (`Operations.answer_in_stall`), and an unfinished change is abandoned.
"""

import contextlib
import threading
import time

import trio

from courseroute.decisions.limits import RELAY_LIMITS
from courseroute.run.listeners import ADDRESS_NOT_FREE, open_socket, start_listening
from courseroute.run.logbook import log_event
from courseroute.run.retry import RETRY_INTERVAL_S
from courseroute.state.overrides import Abandonment
from courseroute.wire.operators import FAILED, Operators

ANSWERED_BY_RELAY_WITHIN_S = 0.65
JOIN_WITHIN_S = 1.0


class ForwardedCall:
    """One call, which is executed on the relay's loop; `answer` is set before `is_answered`."""

    def __init__(self, operations, request, token):
        self.operations, self.request, self.token = operations, request, token
        self.abandonment, self.scope = Abandonment(), trio.CancelScope()
        self.answer, self.is_answered = FAILED, trio.Event()

    def begin(self, nursery):
        """Called on the relay's loop."""
        if not self.abandonment.is_set:
            with contextlib.suppress(RuntimeError):  # the nursery has just been closed
                nursery.start_soon(self.execute)

    async def execute(self):
        with self.scope:
            try:
                self.answer = await self.operations.answer(self.request, self.abandonment)
            except Exception as error:  # the caller is owed a no
                log_event("fault", at="operator call", error=repr(error)[:300])
        with contextlib.suppress(trio.RunFinishedError):
            self.token.run_sync_soon(self.is_answered.set)


class OperatorsThread:
    """The operators' address; `operations`: the Operations that execute the calls."""

    def __init__(self, operations, address):
        self.operations, self.address = operations, address
        self.operators = Operators(RELAY_LIMITS, self.answer, log_event)
        self.has_ended = threading.Event()
        self.was_opened = threading.Event()  # or that was tried
        self.thread = self.token = self.scope = self.relay_token = self.nursery = None

    async def start(self, nursery):
        """Begins to serve; calls are executed in this nursery of the relay's loop. Returns once the address
        is open, or could not be opened at first."""
        self.nursery, self.relay_token = nursery, trio.lowlevel.current_trio_token()
        self.thread = threading.Thread(target=self.run, name="operators", daemon=True)
        self.thread.start()
        await trio.to_thread.run_sync(self.was_opened.wait)

    def run(self):
        """Runs the event loop, again where descriptors for it lack."""
        while not self.has_ended.is_set():
            try:
                return trio.run(self.serve)
            except (OSError, ExceptionGroup) as error:
                if not self.was_opened.is_set():
                    self.log_failure(ADDRESS_NOT_FREE, error=str(error)[:200])
                self.has_ended.wait(RETRY_INTERVAL_S)

    async def serve(self):
        """Serves the address once it is free."""
        self.token, self.scope = trio.lowlevel.current_trio_token(), trio.CancelScope()
        with self.scope:
            listener = await open_socket(self.address, self.log_failure)
            with listener:
                await start_listening(listener, RELAY_LIMITS["backlog"], self.log_failure)
                self.was_opened.set()
                await self.operators.serve(listener)

    def log_failure(self, event, **fields):
        """Logs that the address could not be opened."""
        log_event(event, **fields)
        self.was_opened.set()

    async def answer(self, request):
        """The answer to a call: that of the relay's loop, or another one where that stands still."""
        started, phase = time.monotonic(), self.operations.relay.phase
        call = ForwardedCall(self.operations, request, self.token)
        with contextlib.suppress(trio.RunFinishedError):
            self.relay_token.run_sync_soon(call.begin, self.nursery)
            with trio.move_on_after(ANSWERED_BY_RELAY_WITHIN_S):
                await call.is_answered.wait()
                return call.answer
            call.abandonment.is_set = True
            self.relay_token.run_sync_soon(call.scope.cancel)
        answer = self.operations.answer_in_stall(request)
        self.operations.log_call(request, answer.status, phase, started)
        with contextlib.suppress(trio.RunFinishedError):
            self.relay_token.run_sync_soon(self.operations.apply_drain)
        return answer

    async def close(self):
        """Answers the calls that have come, then closes the address. Called on the relay's loop."""
        if self.token is not None:
            with contextlib.suppress(trio.RunFinishedError):
                await trio.to_thread.run_sync(
                    lambda: trio.from_thread.run(self.operators.close, trio_token=self.token)
                )

    def end(self):
        """Ends the thread; calls that are not answered yet get no answer."""
        self.has_ended.set()
        if self.token is not None:
            with contextlib.suppress(trio.RunFinishedError):
                self.token.run_sync_soon(self.scope.cancel)
        if self.thread is not None:
            self.thread.join(JOIN_WITHIN_S)
