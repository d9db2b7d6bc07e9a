"""Notices to the platform: final statuses owed, told in batches until they are taken.

A call may get no answer, or its connection may come up late. The notices of a call that is out for long are
told once more on another connection, without an end to the first call: a notice that is taken twice does no
harm, one that waits for a call that is lost comes behind its time.
"""

import math

import orjson
import trio

from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Line
from courseroute.wire.words import UNITS

CONNECTIONS = 8
CALL_AGAIN_AFTER_S, SOON_CALLS = 0.1, 4  # the first few calls with a notice follow each other so soon,
CALL_AGAIN_LATER_AFTER_S = 0.4  # those behind them like this
ANSWER_IS_CHECKED_S = 0.2  # an answer may still turn out to be another call's
# Where all connections are in use, the oldest call makes room once it is out for so long: one that was sent,
# else one whose connection does not come up (a first packet that is lost is sent again after a second).
SENT_MAKES_ROOM_AFTER_S, DIALLED_MAKES_ROOM_AFTER_S = 0.3, 1.2


class PendingNotice:
    """One notice, and when it may be told (once more): trio's time, in seconds."""

    __slots__ = ("line", "due", "calls")

    def __init__(self, line, due):
        self.line, self.due, self.calls = line, due, 0

    def called(self, now):
        """A call leaves because it is due."""
        self.calls += 1
        self.due = now + (CALL_AGAIN_AFTER_S if self.calls < SOON_CALLS else CALL_AGAIN_LATER_AFTER_S)


class NoticeCall:
    """A call that is out; `begun` is trio's time, in seconds."""

    __slots__ = ("line", "names", "body", "begun", "scope")

    def __init__(self, line, names, body, begun):
        self.line, self.names, self.body, self.begun = line, names, body, begun
        self.scope = trio.CancelScope()

    def makes_room_at(self):
        is_dialling = self.line.link is None
        return self.begun + (DIALLED_MAKES_ROOM_AFTER_S if is_dialling else SENT_MAKES_ROOM_AFTER_S)


class Notices:
    """Each notice ends in one `desk.told_of`. At most CONNECTIONS calls are out at once."""

    def __init__(self, desk, house, place, log):
        self.desk, self.house, self.log = desk, house, log
        # Those that no call uses, the one used last at the end.
        self.free = [Line(place, house["head"], house["body"]) for _ in range(CONNECTIONS)]
        self.lines = tuple(self.free)
        self.calls = []  # out, the oldest first
        self.pending = {}  # message's name -> PendingNotice, the oldest first
        self.news = trio.Event()  # set where there may be something to do
        self.failing = False

    def owe(self, name, state, after):
        told = {"id": name, "state": state}
        if after:
            told["after_ms"] = -(-after // UNITS["m"])
        self.pending[name] = PendingNotice(orjson.dumps(told) + b"\n", due=0.0)
        self.news.set()

    def move(self, place):
        """The platform is elsewhere from now on."""
        for line in self.lines:
            line.place = place

    async def serve(self):
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                names = self.batch(now)
                if names and self.free:
                    nursery.start_soon(self.make, self.begin_call(names, now))
                    continue
                if names:
                    self.make_room(now)
                await self.wait(some_are_due=bool(names))

    def begin_call(self, names, now):
        body = b"".join(self.pending[name].line for name in names)
        call = NoticeCall(self.take_line(names), names, body, now)
        self.calls.append(call)
        for notice in (self.pending[name] for name in names):
            if notice.due <= now:
                notice.called(now)
        return call

    def make_room(self, now):
        """Gives up one call, the oldest of those that may be, for the notices that are due."""
        for call in self.calls:
            if call.makes_room_at() <= now:
                call.scope.cancel()
                return

    def batch(self, now):
        """The names that the next call tells, none while none is due: those that are due, then the others,
        whose calls may get no answer; as many as a body holds."""
        ordered = sorted(self.pending.items(), key=lambda item: item[1].due > now)
        if not ordered or ordered[0][1].due > now:
            return []
        names, size = [], 0
        for name, notice in ordered:
            size += len(notice.line)
            if size > self.house["body"]:
                break
            names.append(name)
        return names

    def take_line(self, names):
        """A connection for a call: one in use and rested for a first call, else one that has to be dialled.
        A notice that a call did not deliver is not trusted to another connection that stood idle."""
        repeats = self.pending[names[0]].calls > 0
        kept = [line for line in self.free if line.is_rested()]
        unused = [line for line in self.free if line.link is None]
        line = kept[-1] if kept and not repeats else (unused or self.free)[0]
        self.free.remove(line)
        if repeats:
            line.drop()
        return line

    async def wait(self, some_are_due):
        """Until something is news or the next notice is due; until a call makes room for some that are."""
        self.news = trio.Event()
        if some_are_due:
            times = [call.makes_room_at() for call in self.calls if not call.scope.cancel_called]
        else:
            times = [notice.due for notice in self.pending.values()]
        with trio.move_on_at(min(times, default=math.inf)):
            await self.news.wait()

    async def make(self, call):
        line, names, status = call.line, call.names, None
        with call.scope:
            status = await self.post(line, names, call.body)
        if call.scope.cancelled_caught:
            line.drop()
            self.note_failed(call.begun, len(names), "given up for others")
        self.calls.remove(call)
        self.free.append(line)
        taken = [name for name in names if name in self.pending]
        if status in (204, 400):  # one that can't be read will not be read the next time
            for name in taken:
                del self.pending[name]
            self.desk.told_of(taken)
        else:
            self.postpone(taken, at_most=self.house["notice_pause"] / 1e9)
        if status not in (None, 204):
            self.log("notices not taken", status=status, count=len(names))
        self.news.set()

    def postpone(self, names, at_most):
        due = trio.current_time() + at_most
        for name in names:
            self.pending[name].due = min(self.pending[name].due, due)

    async def post(self, line, names, body):
        """The answer's status; None where none came, or it was not surely the answer to this call."""
        begun, status = trio.current_time(), None
        try:
            answered, _ = await line.exchange(
                self.house["notice_within"], "POST", "/v1/notices", [("Host", "platform")], body
            )
            self.hold(names)
            if await line.is_sure():
                status = answered
            else:  # told once more on a new connection, which does no harm
                self.log("notices told again", count=len(names), status=answered)
        except (*LOST, Refused) as error:
            self.note_failed(begun, len(names), str(error)[:200] or type(error).__name__)
        self.note_failing(status is None)
        return status

    def hold(self, names):
        """Not told again while the answer that came is looked at."""
        due = trio.current_time() + ANSWER_IS_CHECKED_S
        for name in names:
            if name in self.pending:
                self.pending[name].due = max(self.pending[name].due, due)

    def note_failed(self, begun, count, error):
        """Counts a call without an answer; logs it unless the one before it failed too."""
        self.desk.figures.count("notice calls", "failed")
        if not self.failing:
            call_ms = round((trio.current_time() - begun) * 1000)
            self.log("notice call failed", error=error, call_ms=call_ms, notices=count)

    def note_failing(self, failing):
        if failing != self.failing:
            self.failing = failing
            self.log("notices fail" if failing else "notices are taken again", owed=len(self.pending))
