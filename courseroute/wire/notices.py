"""Sends notices, the final states of messages, to the platform in batches until it accepts them.

A call may get no answer, or its connection may take long to be established. The notices of a call that has
been out for too long are sent again on another connection while the first call goes on: a notice that is
accepted twice does no harm, while one that waits for a lost call misses its deadline.
"""

import math

import orjson
import trio

from courseroute.wire.connection import CONNECTION_ERRORS, PersistentConnection
from courseroute.wire.http import ProtocolError
from courseroute.wire.protocol import UNITS

MAX_CONNECTIONS = 8
# The first calls with a notice follow each other at the short interval, the later ones at the long interval.
SHORT_RETRY_INTERVAL_S, SHORT_INTERVAL_CALLS = 0.1, 4
LONG_RETRY_INTERVAL_S = 0.4
ANSWER_CHECK_S = 0.2  # time to find out whether an answer is a duplicate of another call's
# While all connections are in use, the oldest call that has been out for so long is cancelled for others. A
# call that is still connecting gets more time: the kernel repeats a lost first packet after a second.
SENT_REPLACEABLE_AFTER_S, CONNECTING_REPLACEABLE_AFTER_S = 0.3, 1.2


class PendingNotice:
    """A notice that is not accepted yet, and when it may be sent next: trio's time, in seconds."""

    __slots__ = ("line", "due", "calls")

    def __init__(self, line, due):
        self.line, self.due, self.calls = line, due, 0  # line: the notice as a line of JSON

    def count_call(self, now):
        """Counts a call made because the notice was due, and sets when it is due again."""
        self.calls += 1
        self.due = now + (
            SHORT_RETRY_INTERVAL_S if self.calls < SHORT_INTERVAL_CALLS else LONG_RETRY_INTERVAL_S
        )


class NoticeCall:
    """A call under way; `started_at` is trio's time, in seconds."""

    __slots__ = ("connection", "names", "body", "started_at", "scope")

    def __init__(self, connection, names, body, started_at):
        self.connection, self.names, self.body, self.started_at = connection, names, body, started_at
        self.scope = trio.CancelScope()

    def replaceable_at(self):
        """When the call may be cancelled to free its connection."""
        is_connecting = self.connection.open_connection is None
        return self.started_at + (
            CONNECTING_REPLACEABLE_AFTER_S if is_connecting else SENT_REPLACEABLE_AFTER_S
        )


class Notices:
    """The pending notices. Each accepted one is reported in one `tracker.notices_accepted`; at most
    MAX_CONNECTIONS calls are out at once."""

    def __init__(self, tracker, limits, address, log):
        self.tracker, self.limits, self.log = tracker, limits, log
        # Connections without a call, the most recently used at the end.
        self.free = [
            PersistentConnection(address, limits["max_head_bytes"], limits["max_body_bytes"])
            for _ in range(MAX_CONNECTIONS)
        ]
        self.connections = tuple(self.free)
        self.calls = []  # under way, the oldest first
        self.pending = {}  # message's name -> PendingNotice, the oldest first
        self.changed = trio.Event()  # wakes `serve`; replaced before each wait
        self.failing = False

    def add(self, name, state, after):
        """Queues a notice. `after`: nanoseconds that the client shall wait before it tries again, 0 for
        none."""
        fields = {"id": name, "state": state}
        if after:
            fields["after_ms"] = -(-after // UNITS["m"])
        self.pending[name] = PendingNotice(orjson.dumps(fields) + b"\n", due=0.0)
        self.changed.set()

    def set_address(self, address):
        """Sets the platform's address."""
        for connection in self.connections:
            connection.address = address

    async def serve(self):
        """Sends notices whenever some are due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                names = self.next_batch(now)
                if names and self.free:
                    nursery.start_soon(self.make_call, self.start_call(names, now))
                    continue
                if names:
                    self.cancel_replaceable_call(now)
                await self.wait(some_are_due=bool(names))

    def start_call(self, names, now):
        """Registers a call with these notices; `make_call` makes it."""
        body = b"".join(self.pending[name].line for name in names)
        call = NoticeCall(self.take_connection(names), names, body, now)
        self.calls.append(call)
        for notice in (self.pending[name] for name in names):
            if notice.due <= now:
                notice.count_call(now)
        return call

    def cancel_replaceable_call(self, now):
        """Cancels the oldest call that may be, so that notices that are due get its connection."""
        for call in self.calls:
            if call.replaceable_at() <= now:
                call.scope.cancel()
                return

    def next_batch(self, now):
        """The names for the next call, none while no notice is due: those that are due, then the others,
        whose calls may get no answer; as many as fit into a body."""
        ordered = sorted(self.pending.items(), key=lambda item: item[1].due > now)
        if not ordered or ordered[0][1].due > now:
            return []
        names, size = [], 0
        for name, notice in ordered:
            size += len(notice.line)
            if size > self.limits["max_body_bytes"]:
                break
            names.append(name)
        return names

    def take_connection(self, names):
        """A connection for a call: an open one whose quiet period is over for a first call, else one that is
        not open. A notice that is sent again gets a new connection, as the first may have failed because its
        connection had been idle."""
        repeats = self.pending[names[0]].calls > 0
        open_ones = [connection for connection in self.free if connection.is_usable()]
        closed_ones = [connection for connection in self.free if connection.open_connection is None]
        connection = open_ones[-1] if open_ones and not repeats else (closed_ones or self.free)[0]
        self.free.remove(connection)
        if repeats:
            connection.close()
        return connection

    async def wait(self, some_are_due):
        """Waits until something changes, or the next notice is due; where some are due, until a call may be
        cancelled for them."""
        self.changed = trio.Event()
        if some_are_due:
            times = [call.replaceable_at() for call in self.calls if not call.scope.cancel_called]
        else:
            times = [notice.due for notice in self.pending.values()]
        with trio.move_on_at(min(times, default=math.inf)):
            await self.changed.wait()

    async def make_call(self, call):
        """Makes a call. Its notices are removed if the platform accepted them, else scheduled again."""
        connection, names, status = call.connection, call.names, None
        with call.scope:
            status = await self.post(connection, names, call.body)
        if call.scope.cancelled_caught:
            connection.close()
            self.record_failed_call(call.started_at, len(names), "given up for others")
        self.calls.remove(call)
        self.free.append(connection)
        pending = [name for name in names if name in self.pending]
        if status in (204, 400):  # a notice that was not understood would not be the next time either
            for name in pending:
                del self.pending[name]
            self.tracker.notices_accepted(pending)
        else:
            self.retry_within(pending, at_most=self.limits["short_retry_delay"] / 1e9)
        if status not in (None, 204):
            self.log("notices not taken", status=status, count=len(names))
        self.changed.set()

    def retry_within(self, names, at_most):
        """Makes notices due in `at_most` seconds, unless they are due earlier."""
        due = trio.current_time() + at_most
        for name in names:
            self.pending[name].due = min(self.pending[name].due, due)

    async def post(self, connection, names, body):
        """The answer's status; None where no answer came, or it may be that to another call."""
        started_at, status = trio.current_time(), None
        try:
            answered, _ = await connection.exchange(
                self.limits["notice_timeout"], "POST", "/v1/notices", [("Host", "platform")], body
            )
            self.defer(names)
            if await connection.is_answer_certain():
                status = answered
            else:  # sent again on a new connection; a second delivery does no harm
                self.log("notices told again", count=len(names), status=answered)
        except (*CONNECTION_ERRORS, ProtocolError) as error:
            self.record_failed_call(started_at, len(names), str(error)[:200] or type(error).__name__)
        self.set_failing(status is None)
        return status

    def defer(self, names):
        """Keeps notices from being sent again while the answer to their call is checked."""
        due = trio.current_time() + ANSWER_CHECK_S
        for name in names:
            if name in self.pending:
                self.pending[name].due = max(self.pending[name].due, due)

    def record_failed_call(self, started_at, count, error):
        """Counts a call without an answer; logs it unless the previous call failed too."""
        self.tracker.metrics.count("notice calls", "failed")
        if not self.failing:
            call_ms = round((trio.current_time() - started_at) * 1000)
            self.log("notice call failed", error=error, call_ms=call_ms, notices=count)

    def set_failing(self, failing):
        """Logs when calls begin to fail, and when they succeed again."""
        if failing != self.failing:
            self.failing = failing
            self.log("notices fail" if failing else "notices are taken again", owed=len(self.pending))
