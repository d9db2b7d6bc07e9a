"""One attempt at a host: connects, sends the request and receives the answer."""

import contextlib
import math
from typing import NamedTuple

import trio

from courseroute.model.causes import ConnectionCloseCause, HoldCause
from courseroute.state.pool import DELIVERED
from courseroute.wire import protocol
from courseroute.wire.connection import CONNECTION_ERRORS, Connection, Exchange
from courseroute.wire.http import ProtocolError


class AnswerHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: dict


class EqualAnswer(NamedTuple):
    """An answer that equals the one before it on its connection. `came_ns`: when it came, as in Attempt."""

    status: int
    headers: dict
    came_ns: int


class Attempt:
    """One attempt at one host. Fields ending in `_ns` are nanoseconds since its dispatch, except `idle_ns`;
    they are None for what did not happen."""

    def __init__(self, hosts, msg, n, host, until):
        self.hosts, self.msg, self.n, self.host, self.until = hosts, msg, n, host, until
        self.started_at = hosts.clock()
        self.repeated = hosts.tracker.earlier_attempt(msg.name, n)
        self.connection = None
        self.connected_ns = self.sent_ns = self.answered_ns = None
        self.hold_cause = None  # a HoldCause: why it was not sent
        self.connection_broke = False
        self.idle_ns = None  # how long its connection had been idle, None for a new one
        self.previous_exchange = None  # the last Exchange on a reused connection
        self.is_malformed = False  # an answer that came in a stall can't be read
        self.equal_answers = []  # EqualAnswers; the last one counts as this call's if no other one follows

    def elapsed(self):
        """Nanoseconds since the dispatch."""
        return self.hosts.clock() - self.started_at

    async def run(self):
        """Connects, sends the request and receives the answer, or sets `hold_cause`."""
        hosts = self.hosts
        await hosts.tracker.wait_synced()
        if hosts.tracker.keeps_connections(self.host):
            behind_delivery = not hosts.tracker.may_follow_refusal(self.msg.lane)
            self.connection, self.idle_ns = hosts.pool.take_idle(self.host, behind_delivery)
        self.previous_exchange = self.connection and self.connection.last_exchange
        self.connection = self.connection or await self.connect()
        if self.connection is None:
            self.hold_cause = HoldCause.NO_CONNECTION
            return
        self.connected_ns = self.elapsed()
        # Asked after all waits, and nothing is awaited between this and the write: the answer must be
        # current.
        self.hold_cause = hosts.tracker.hold_cause(self.msg.name, self.n)
        if self.hold_cause is None and not hosts.is_current(self.host, self.connection):
            self.hold_cause = HoldCause.ADDRESS_CHANGED
        if self.hold_cause:
            return
        await self.send()
        if self.sent_ns is None:
            return
        with trio.move_on_after(self.seconds_to_send()):
            return await self.receive_answer()
        if self.connection.unacknowledged():  # those bytes would reach the host when it is too late
            raise trio.BrokenResourceError
        await self.receive_answer()

    async def send(self):
        """Writes the request. When the time to do so is over the request stays incomplete and `hold_cause` is
        set."""
        fields = protocol.call_headers(self.msg, self.until - self.hosts.clock())
        with trio.move_on_after(self.seconds_to_send()):
            await self.connection.send("POST", "/hook", fields, self.msg.body)
            self.sent_ns = self.elapsed()
            self.hosts.tracker.figures.attempt_written()
        if self.sent_ns is None:
            self.hold_cause = HoldCause.WINDOW_CLOSED

    def seconds_to_send(self):
        """Seconds within which the last byte must be written."""
        send_by = self.hosts.tracker.send_by(self.msg.name, self.n)
        return math.inf if send_by is None else max(0, send_by - self.hosts.clock()) / 1e9

    async def receive_answer(self):
        """Receives the answer until it is conclusive. One that is likely to be a copy of the answer before it
        is kept, and counts as this call's only if no other one follows (`decisions.answer_matching`)."""
        await self.receive_conclusive()
        while await self.is_likely_copy():
            self.set_aside_answer()
            await self.receive_conclusive()
            self.answered_ns = self.elapsed()

    def read_arrived(self):
        """Reads what has arrived, without waiting, until the answer is known, or is malformed."""
        try:
            while self.sent_ns is not None and not self.is_answered():
                if self.is_suspect() and self.connection.call.repeats_previous_answer():
                    self.set_aside_answer()
                elif not self.connection.receive_arrived():
                    return
                elif self.answered_ns is None or self.connection.call.conclusive:
                    self.answered_ns = self.elapsed()
        except (ProtocolError, EOFError):
            self.is_malformed = True

    def is_answered(self):
        """Whether the call's own answer is known."""
        call = self.connection and self.connection.call
        if self.sent_ns is None or not call.conclusive:
            return False
        return not self.is_suspect() or call.done and not call.repeats_previous_answer()

    def set_aside_answer(self):
        """Keeps an answer that may be a copy, and goes on to what is behind it."""
        call = self.connection.call
        self.equal_answers.append(EqualAnswer(call.status, call.headers, self.answered_ns))
        call.discard_answer()

    def answer(self):
        """The AnswerHead or EqualAnswer that this call got, None without one. A delivery's status line is
        conclusive, whatever follows it."""
        if self.sent_ns is None:
            return None
        call = self.connection.call
        if call.conclusive or call.first_line_status == DELIVERED:
            return AnswerHead(call.first_line_status, call.headers)
        return self.equal_answers[-1] if self.equal_answers else None

    async def receive_conclusive(self):
        call, hosts = self.connection.call, self.hosts
        while not call.conclusive:  # an answer that started and then stalls raises TooSlowError
            with trio.fail_after(hosts.limits["answer_drain_timeout"] / 1e9 if call.begun else math.inf):
                await self.connection.receive()
            if self.answered_ns is None:
                self.answered_ns = self.elapsed()

    async def is_likely_copy(self):
        """Whether the answer is a delivery that equals the answer before it on this connection, of a host
        whose deliveries have differed so far."""
        if not self.is_suspect():
            return False
        with (
            contextlib.suppress(*CONNECTION_ERRORS, ProtocolError),
            trio.move_on_after(self.hosts.limits["answer_drain_timeout"] / 1e9),
        ):
            await self.connection.receive_all()
        return self.connection.call.repeats_previous_answer()

    def is_suspect(self):
        """The same by the answer's head."""
        call = self.connection.call
        if call.status != DELIVERED or not call.repeats_previous_head():
            return False
        return self.hosts.tracker.expects_different_bodies(self.host)

    async def connect(self):
        """A new connection; None where the host left the list or the pool is full. Raises TimeoutError where
        none is established in time."""
        hosts, established = self.hosts, False
        address = hosts.addresses.get(self.host)
        if address is None or not hosts.pool.reserve():
            return None
        try:
            with trio.fail_after(hosts.connect_within / 1e9):
                connection = Connection(
                    hosts.limits["max_head_bytes"], hosts.limits["max_body_bytes"], keep_body=False
                )
                await connection.connect(address)
                established = True
        except trio.TooSlowError:
            raise TimeoutError from None
        finally:
            if not established:
                hosts.pool.release()
        return connection

    async def read_rest(self):
        """Reads the answer to its end, within limits of time and size, and returns the connection to the pool
        if it can be reused."""
        call, now = self.connection.call, self.hosts.clock()
        self.connection.last_exchange = Exchange(self.host, self.msg.name, call.status, now)
        with trio.move_on_after(self.hosts.limits["answer_drain_timeout"] / 1e9):
            await self.connection.receive_all()
        self.record_body(call)
        is_current = self.hosts.is_current(self.host, self.connection)
        if call.reusable() and is_current and not self.equal_answers:
            rest = self.hosts.tracker.connection_rest(self.host, call.status == DELIVERED)
            self.hosts.pool.add_idle(self.host, self.connection, rest)
            self.connection = None

    def record_body(self, call):
        """Records the body of a delivery, unless it may be a copy of the answer before it."""
        body = call.body_checksum()
        if call.status == DELIVERED and body is not None and not call.repeats_previous_answer():
            self.hosts.tracker.record_delivery_body(self.host, body)

    def close(self):
        """Closes the connection unless the pool has it."""
        if self.connection is not None:
            call = self.connection.call
            self.hosts.pool.discard(self.connection, self.close_cause(call), call.unexpected_bytes())
            self.connection = None

    def close_cause(self, call):
        """The ConnectionCloseCause of a connection that is not reused."""
        if self.sent_ns is None:
            return ConnectionCloseCause.ATTEMPT_HELD
        if self.equal_answers:
            return ConnectionCloseCause.EQUAL_ANSWER
        if not call.done:
            return ConnectionCloseCause.INCOMPLETE_ANSWER
        if not self.hosts.is_current(self.host, self.connection):
            return ConnectionCloseCause.ADDRESS_CHANGED
        return (
            ConnectionCloseCause.UNEXPECTED_BYTES
            if call.unexpected_bytes()
            else ConnectionCloseCause.ANSWER_ASKS_CLOSE
        )
