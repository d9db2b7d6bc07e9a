"""Sends attempts to hosts: one task for each attempt, on connections that the pool keeps between attempts."""

import contextlib
import math
from typing import NamedTuple

import trio

from courseroute.model.causes import ConnectionCloseCause, HoldCause
from courseroute.state.pool import DELIVERED
from courseroute.wire import protocol
from courseroute.wire.connection import (
    CONNECTION_ERRORS,
    Connection,
    Exchange,
)
from courseroute.wire.http import ProtocolError

# Errors of a connection that had been established.
BROKEN_CONNECTION_ERRORS = (ConnectionResetError, BrokenPipeError, trio.BrokenResourceError, EOFError)
MAX_BYTES_LOGGED = 40  # of unexpected bytes behind an answer, of a load report
ENDINGS_NOT_LOGGED = ("delivered", "full")  # of attempts that repeat none; they are only counted


class Hosts:
    """Runs the attempts. Each ends in one `tracker.attempt_ended`; it may have run on its host once its last
    byte was written."""

    def __init__(self, nursery, tracker, pool, limits, terms, clock, log):
        self.nursery, self.tracker, self.pool, self.limits, self.clock = nursery, tracker, pool, limits, clock
        self.connect_within = terms.get("connect_within", limits["write_timeout"])
        self.log = log
        self.addresses, self.cancel_scopes = {}, {}  # host -> address; (message's name, n) -> scope
        self.running = {}  # (message's name, n) -> Attempt
        self.unreadable_reports = set()  # hosts of which a load report could not be read
        pool.on_closed = self.record_closed_connection
        pool.on_rested = lambda host: tracker.connection_rested(host, is_clean=True)

    def call(self, msg, n, host, until):
        """Starts the n-th attempt of a message; it is abandoned at the time `until`."""
        scope = self.cancel_scopes[(msg.name, n)] = trio.CancelScope()
        self.nursery.start_soon(self.run_attempt, msg, n, host, until, scope)

    def cancel(self, name, n):
        """Abandons an attempt if it is still running."""
        if (name, n) in self.cancel_scopes:
            self.cancel_scopes[(name, n)].cancel()

    def close(self, host):
        """Closes the idle connections to a host."""
        self.pool.close_idle(host)

    def update_addresses(self, addresses, gone, is_whole):
        """Applies the addresses of an endpoint list. Idle connections to a host that left or has another
        address now are closed: its old address may belong to another process."""
        affected = self.addresses if is_whole else (*addresses, *gone)
        before = {host: self.addresses.get(host) for host in affected}
        if is_whole:
            self.addresses.clear()
        self.addresses.update(addresses)
        for host in gone:
            self.addresses.pop(host, None)
        for host, address in before.items():
            if self.addresses.get(host) != address:
                self.pool.close_idle(host, ConnectionCloseCause.ADDRESS_CHANGED)

    def is_current(self, host, connection):
        """Whether a connection leads to the host's present address."""
        return connection.address == self.addresses.get(host)

    async def run_attempt(self, msg, n, host, until, scope):
        """Makes an attempt and reports how it ended. The rest of its answer is read behind the report."""
        attempt = self.running[(msg.name, n)] = Attempt(self, msg, n, host, until)
        scope.deadline = trio.current_time() + (until - attempt.started_at) / 1e9
        try:
            with scope:
                await attempt.run()
        except (*CONNECTION_ERRORS, ProtocolError, trio.TooSlowError) as cause:
            attempt.connection_broke = isinstance(cause, BROKEN_CONNECTION_ERRORS)
        except Exception as cause:  # an unexpected answer must not stop the relay
            self.log("call failed", host=host, error=repr(cause)[:300])
        try:
            self.report(attempt, scope)
            if attempt.connection and attempt.connection.call.conclusive:
                await attempt.read_rest()
        except (*CONNECTION_ERRORS, ProtocolError):
            pass
        finally:
            attempt.close()

    def report(self, attempt, scope):
        """Reports how an attempt ended, unless that was done. An answer that has arrived counts, whatever the
        time."""
        if self.running.pop((attempt.msg.name, attempt.n), None) is None:
            return
        del self.cancel_scopes[(attempt.msg.name, attempt.n)]
        attempt.read_arrived()
        if attempt.equal_answers:
            self.record_equal_answer(attempt)
        outcome, report = self.outcome_of(attempt, scope)
        self.record_attempt(attempt, outcome[0])
        took = attempt.elapsed() if attempt.answered_ns is None else attempt.answered_ns
        name, n, host = attempt.msg.name, attempt.n, attempt.host
        self.tracker.attempt_ended(name, n, host, *outcome, took, report, attempt.idle_ns)

    def report_arrived(self):
        """Reports the attempts whose answers have arrived while the process stood still."""
        for key, attempt in list(self.running.items()):
            attempt.read_arrived()
            if attempt.is_answered():
                scope = self.cancel_scopes[key]
                self.report(attempt, scope)
                scope.cancel()  # its task waits for bytes that were read here

    def outcome_of(self, attempt, scope):
        """((ending, wait, whether no further attempt may follow), load report or None). `wait`: the delay
        that the host asked for, in nanoseconds."""
        expired = self.clock() >= attempt.until
        call = attempt.connection and attempt.connection.call
        if answer := attempt.answer():
            return (
                protocol.classify_answer(answer.status, answer.headers),
                self.read_load_report(attempt.host, answer.headers.get("x-load", "")),
            )
        if attempt.sent_ns is None:  # it surely did not run
            held = attempt.hold_cause or scope.cancelled_caught and not expired
            return (
                "unsent" if held else "broken" if attempt.connection_broke else "unreachable",
                0,
                False,
            ), None
        if scope.cancelled_caught:
            return ("timeout" if expired else "cancelled", 0, False), None
        return ("stale" if attempt.idle_ns is not None and not call.begun else "reset", 0, False), None

    def read_load_report(self, host, text):
        """The values of a load report, None where there is none or it can't be read. All that can't be read
        are counted, the first one of a host is logged."""
        report = protocol.parse_load_report(text)
        if report is None and text:
            self.tracker.metrics.count("load reports", "not read")
            if host not in self.unreadable_reports:
                self.unreadable_reports &= self.addresses.keys()
                self.unreadable_reports.add(host)
                self.log("load report not read", host=host, length=len(text), text=text[:MAX_BYTES_LOGGED])
        return report

    def record_attempt(self, attempt, ending):
        """Counts an attempt by its ending. Logs it with its times, unless it repeats no other and ended as
        most do."""
        metrics, repeated = self.tracker.metrics, attempt.repeated
        metrics.count("attempts", ending)
        if attempt.hold_cause:
            metrics.count("held attempts", attempt.hold_cause)
        if repeated is None and ending in ENDINGS_NOT_LOGGED:
            return
        fields = {"id": attempt.msg.name, "attempt": attempt.n, "host": attempt.host, "ending": ending}
        fields["connection"] = "new" if attempt.idle_ns is None else "kept"
        fields |= {
            "connected_ms": milliseconds(attempt.connected_ns),
            "sent_ms": milliseconds(attempt.sent_ns),
            "ended_ms": milliseconds(attempt.elapsed()),
        }
        if attempt.previous_exchange:
            fields["call_before"] = attempt.previous_exchange.id
        if attempt.hold_cause:
            fields["held"] = attempt.hold_cause
        if repeated is not None:
            first, window = repeated
            fields |= {
                "first_ms": milliseconds(first - attempt.started_at),
                "window_ms": milliseconds(window),
            }
        self.log("attempt ended", **fields)

    def record_closed_connection(self, connection, cause, waiting=b""):
        """Counts a closed connection. Unexpected bytes on it are logged with the call that preceded them, and
        the dispatcher is told."""
        self.tracker.metrics.count("host connections closed", cause)
        previous = connection.last_exchange
        if cause is ConnectionCloseCause.UNEXPECTED_BYTES and previous:
            self.tracker.connection_rested(previous.host, is_clean=False)
            self.log(
                "bytes behind an answer",
                host=previous.host,
                id=previous.id,
                status=previous.status,
                found_ms=milliseconds(self.clock() - previous.answered_at),
                bytes=repr(waiting[:MAX_BYTES_LOGGED]),
            )

    def record_equal_answer(self, attempt):
        """Records what became of an answer that equals the one before it on its connection: another answer
        followed, so it was a copy; or none did, and it was the call's own."""
        equal_answer = attempt.equal_answers[-1]
        is_copy = len(attempt.equal_answers) > 1 or attempt.answer() is not equal_answer
        if is_copy:
            self.tracker.connection_rested(attempt.host, is_clean=False)
        elif self.clock() >= attempt.until:
            self.tracker.record_delivery_body(attempt.host, None)
        previous = attempt.previous_exchange
        self.tracker.metrics.count("answers", "came twice" if is_copy else "equal to the one before")
        self.log(
            "answer came twice" if is_copy else "answer equals the one before",
            host=attempt.host,
            id=attempt.msg.name,
            call_before=previous and previous.id,
            status=equal_answer.status,
            sent_ms=milliseconds(attempt.sent_ns),
            came_ms=milliseconds(equal_answer.came_ns),
            decided_ms=milliseconds(attempt.elapsed()),
        )

    def unsent(self, msg, n, host):
        """Reports an attempt that must not be sent after a short delay; reported at once, the dispatcher
        could retry in an endless loop."""
        self.nursery.start_soon(self.report_unsent, msg, n, host)

    async def report_unsent(self, msg, n, host):
        await trio.sleep(self.limits["short_retry_delay"] / 1e9)
        self.tracker.attempt_ended(msg.name, n, host, "unsent", 0, False, 0, None)


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
        """Reads what has arrived, without waiting, until the answer is known."""
        with contextlib.suppress(ProtocolError, EOFError):
            while self.sent_ns is not None and not self.is_answered():
                if self.is_suspect() and self.connection.call.repeats_previous_answer():
                    self.set_aside_answer()
                elif not self.connection.receive_arrived():
                    return
                elif self.answered_ns is None or self.connection.call.conclusive:
                    self.answered_ns = self.elapsed()

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


def milliseconds(span):
    """Nanoseconds as milliseconds for the log; None stays None."""
    return None if span is None else round(span / 1e6, 1)
