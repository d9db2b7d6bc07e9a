"""Thin driver for attempts at hosts: one task each, connections kept in the pool between attempts."""

import contextlib
import math

import trio

from courseroute.model.causes import ConnectionEnd, HoldCause
from courseroute.wire import words
from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, REST_BEHIND_REFUSAL_NS, REST_NS, Exchange, Link

# Errors of a connection that was up once.
BROKE = (ConnectionResetError, BrokenPipeError, trio.BrokenResourceError, EOFError)
DELIVERED = 200
BYTES_LOGGED = 40  # of those that came behind an answer
UNREMARKABLE = ("delivered", "full")  # endings of first attempts that are counted, but not logged


class Hosts:
    """Each attempt ends in one `desk.returned`; it may have run once its last byte was written."""

    def __init__(self, nursery, desk, pool, house, terms, clock, log):
        self.nursery, self.desk, self.pool, self.house, self.clock = nursery, desk, pool, house, clock
        self.connect_within = terms.get("connect_within", house["write_within"])
        self.log = log
        self.where, self.scopes = {}, {}
        self.last_delivery = {}  # host -> the Answer to its last delivery that had a body
        self.tells_apart = set()  # hosts whose deliveries differ in the body, so that an equal one is a copy
        pool.closed = self.note_closed

    def call(self, msg, n, host, until):
        scope = self.scopes[(msg.name, n)] = trio.CancelScope()
        self.nursery.start_soon(self.attempt, msg, n, host, until, scope)

    def cancel(self, name, n):
        if (name, n) in self.scopes:
            self.scopes[(name, n)].cancel()

    def close(self, host):
        self.pool.close(host)

    async def attempt(self, msg, n, host, until, scope):
        attempt = Attempt(self, msg, n, host, until)
        scope.deadline = trio.current_time() + (until - attempt.begun) / 1e9
        try:
            with scope:
                await attempt.go()
        except (*LOST, Refused, trio.TooSlowError) as cause:
            attempt.broke = isinstance(cause, BROKE)
        except Exception as cause:  # one attempt's odd answer must not end the relay
            self.log("call failed", host=host, error=repr(cause)[:300])
        del self.scopes[(msg.name, n)]
        if attempt.copies and not attempt.link.call.settled:  # no other answer came: it was none
            self.tells_apart.discard(host)
        told, report = self.outcome_of(attempt, scope)
        self.note(attempt, told[0])
        try:
            took = attempt.elapsed() if attempt.answered is None else attempt.answered
            self.desk.returned(msg.name, n, host, *told, took, report, attempt.idle)
            if attempt.link and attempt.link.call.settled:
                await attempt.drain()
        except (*LOST, Refused):
            pass
        finally:
            attempt.close()

    def outcome_of(self, attempt, scope):
        """((ending, told wait, whether the message is over), load report or None)."""
        over = self.clock() >= attempt.until
        call = attempt.link and attempt.link.call
        if attempt.sent is not None and (call.settled or call.first == 200):
            # The first line of a delivery is true, whatever comes behind it.
            return words.ending_of(call.first, call.headers), words.report_of(call.headers.get("x-load"))
        if attempt.sent is None:  # proved never to have run
            held = attempt.held or scope.cancelled_caught and not over
            return ("unsent" if held else "broken" if attempt.broke else "unreachable", 0, False), None
        if scope.cancelled_caught:
            return ("timeout" if over else "cancelled", 0, False), None
        return ("stale" if attempt.idle is not None and not call.begun else "reset", 0, False), None

    def note(self, attempt, ending):
        """Counts an attempt; logs it with its times unless it was a first one that ended as most do."""
        figures, repeated = self.desk.figures, attempt.repeated
        figures.count("attempts", ending)
        if attempt.held:
            figures.count("held attempts", attempt.held)
        if repeated is None and ending in UNREMARKABLE:
            return
        told = {"id": attempt.msg.name, "attempt": attempt.n, "host": attempt.host, "ending": ending}
        told["connection"] = "new" if attempt.idle is None else "kept"
        told |= {
            "connected_ms": milliseconds(attempt.connected),
            "sent_ms": milliseconds(attempt.sent),
            "ended_ms": milliseconds(attempt.elapsed()),
        }
        if attempt.call_before:
            told["call_before"] = attempt.call_before.id
        if attempt.held:
            told["held"] = attempt.held
        if repeated is not None:
            first, window = repeated
            told |= {"first_ms": milliseconds(first - attempt.begun), "window_ms": milliseconds(window)}
        self.log("attempt ended", **told)

    def note_closed(self, link, cause, waiting=b""):
        """Counts a connection that was closed; logs bytes that no call asked for, with the call before."""
        self.desk.figures.count("host connections closed", cause)
        before = link.last_exchange
        if cause is ConnectionEnd.BYTES_BEHIND_ANSWER and before:
            self.log(
                "bytes behind an answer",
                host=before.host,
                id=before.id,
                status=before.status,
                found_ms=milliseconds(self.clock() - before.answered_at),
                bytes=repr(waiting[:BYTES_LOGGED]),
            )

    def note_copy(self, attempt):
        """Logs an answer that came once more behind the next call, to which it is none."""
        before = attempt.call_before
        self.desk.figures.count("answers", "came twice")
        self.log(
            "answer came twice",
            host=attempt.host,
            id=attempt.msg.name,
            call_before=before and before.id,
            status=attempt.link.call.status,
            sent_ms=milliseconds(attempt.sent),
            came_ms=milliseconds(attempt.answered),
        )

    def learn_answers(self, host, call):
        """Keeps whether a host's answers can be told apart."""
        if call.status != DELIVERED or not (call.done and call.size):
            return
        answer, last = call.answer(), self.last_delivery.get(host)
        self.last_delivery[host] = answer
        if last is not None and last.checksum != answer.checksum:
            self.tells_apart.add(host)
        if len(self.last_delivery) > len(self.where):
            self.forget_unlisted()

    def forget_unlisted(self):
        """What is kept of hosts ends with them: ids are always new."""
        self.tells_apart &= self.where.keys()
        self.last_delivery = {
            host: self.last_delivery[host] for host in self.last_delivery if host in self.where
        }

    def unsent(self, msg, n, host):
        """For a call that must not leave; the module is told a little later, lest it try at once for ever."""
        self.nursery.start_soon(self.say_unsent, msg, n, host)

    async def say_unsent(self, msg, n, host):
        await trio.sleep(self.house["notice_pause"] / 1e9)
        self.desk.returned(msg.name, n, host, "unsent", 0, False, 0, None)


class Attempt:
    """One attempt at one host. Times are nanoseconds since its dispatch; None for what did not happen."""

    def __init__(self, hosts, msg, n, host, until):
        self.hosts, self.msg, self.n, self.host, self.until = hosts, msg, n, host, until
        self.begun = hosts.clock()
        self.repeated = hosts.desk.first_may_have_run(msg.name, n)
        self.link = None
        self.connected = self.sent = self.answered = None
        self.held = None  # a HoldCause: why it was not sent
        self.broke = False
        self.idle = None  # how long its connection had stood idle, None for a new one
        self.call_before = None  # the Exchange before on a kept connection
        self.copies = 0  # of the answer to that one, which were disregarded

    def elapsed(self):
        return self.hosts.clock() - self.begun

    async def go(self):
        hosts = self.hosts
        await hosts.desk.settled()
        self.link, self.idle = hosts.pool.idle(self.host)
        self.call_before = self.link and self.link.last_exchange
        self.link = self.link or await self.connect()
        if self.link is None:
            self.held = HoldCause.NO_CONNECTION
            return
        self.connected = self.elapsed()
        # Asked last, with nothing awaited before the write: all that was waited for took its time.
        self.held = hosts.desk.why_held(self.msg.name, self.n)
        if self.held:
            return
        await self.send()
        if self.sent is None:
            return
        with trio.move_on_after(self.time_to_send()):
            return await self.hear_answer()
        if self.link.unacknowledged():  # they would arrive when their time is over
            raise trio.BrokenResourceError
        await self.hear_answer()

    async def send(self):
        """Writes the request, or leaves it unfinished and the attempt held when the time to do so is over."""
        fields = words.call_head(self.msg, self.until - self.hosts.clock())
        with trio.move_on_after(self.time_to_send()):
            await self.link.send("POST", "/hook", fields, self.msg.body)
            self.sent = self.elapsed()
        if self.sent is None:
            self.held = HoldCause.WINDOW_CLOSED

    def time_to_send(self):
        """Seconds in which the last byte has to be written."""
        send_by = self.hosts.desk.send_by(self.msg.name, self.n)
        return math.inf if send_by is None else max(0, send_by - self.hosts.clock()) / 1e9

    async def hear_answer(self):
        await self.hear_settled()
        while await self.is_copy():
            self.hosts.note_copy(self)
            self.link.call.disregard()
            self.answered, self.copies = None, self.copies + 1
            await self.hear_settled()

    async def hear_settled(self):
        call, hosts = self.link.call, self.hosts
        while not call.settled:  # an answer that began and stands still is spoilt
            with trio.fail_after(hosts.house["drain_answer"] / 1e9 if call.begun else math.inf):
                await self.link.hear()
            if self.answered is None:
                self.answered = self.elapsed()

    async def is_copy(self):
        """Whether the answer is that to the call before on the connection, which came once more."""
        call = self.link.call
        if self.host not in self.hosts.tells_apart or not call.repeats_head_before():
            return False
        with contextlib.suppress(*LOST, Refused), trio.move_on_after(self.hosts.house["drain_answer"] / 1e9):
            await self.link.hear_all()
        return call.repeats_answer_before()

    async def connect(self):
        """None where the host left or there is no room for a connection; TimeoutError where none comes up."""
        hosts, up = self.hosts, False
        place = hosts.where.get(self.host)
        if place is None or not hosts.pool.enter():
            return None
        try:
            with trio.fail_after(hosts.connect_within / 1e9):
                link = Link(hosts.house["head"], hosts.house["body"], keeps=False)
                await link.dial(place)
                up = True
        except trio.TooSlowError:
            raise TimeoutError from None
        finally:
            if not up:
                hosts.pool.leave()
        return link

    async def drain(self):
        """Reads the answer to its end, within bounds, so that the connection can be used again."""
        call, now = self.link.call, self.hosts.clock()
        self.link.last_exchange = Exchange(self.host, self.msg.name, call.status, now)
        with trio.move_on_after(self.hosts.house["drain_answer"] / 1e9):
            await self.link.hear_all()
        self.hosts.learn_answers(self.host, call)
        if call.reusable() and not self.copies:
            rest = REST_NS if call.status == DELIVERED else REST_BEHIND_REFUSAL_NS
            self.hosts.pool.keep(self.host, self.link, rest)
            self.link = None

    def close(self):
        if self.link is not None:
            call = self.link.call
            self.hosts.pool.drop(self.link, self.why_closed(call), call.superfluous())
            self.link = None

    def why_closed(self, call):
        """The ConnectionEnd of a connection that is not kept."""
        if self.sent is None:
            return ConnectionEnd.ATTEMPT_HELD
        if not call.done:
            return ConnectionEnd.NO_WHOLE_ANSWER
        return ConnectionEnd.BYTES_BEHIND_ANSWER if call.superfluous() else ConnectionEnd.ANSWER_SAYS_CLOSE


def milliseconds(span):
    """A span of nanoseconds for the log; None stays None."""
    return None if span is None else round(span / 1e6, 1)
