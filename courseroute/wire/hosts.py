"""Sends attempts to hosts: one task for each attempt, on connections that the pool keeps between attempts."""

import trio

from courseroute.model.causes import ConnectionCloseCause
from courseroute.wire import protocol
from courseroute.wire.attempt import Attempt
from courseroute.wire.connection import CONNECTION_ERRORS
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
            if attempt.is_answered() or attempt.is_malformed:
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


def milliseconds(span):
    """Nanoseconds as milliseconds for the log; None stays None."""
    return None if span is None else round(span / 1e6, 1)
