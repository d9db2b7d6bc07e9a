"""The messages held, and the one place where the module is told and what it answers is done.

A message is written to the log before its 202, a call before it leaves, an end as soon as it is known.
What the module decides for a message not promised yet becomes the answer to its client; later a notice.
"""

import traceback
from collections import OrderedDict, deque

from courseroute.decisions.final_answer import answer_by
from courseroute.journal import frames as records
from courseroute.journal.frames import record
from courseroute.journal.replay import Replay
from courseroute.journal.store import DAMAGE, Full
from courseroute.model.causes import CloseCause
from courseroute.state.figures import Figures
from courseroute.wire import words

MS = 1_000_000
LEG, NOTICE, END = 160, 80, 40  # bytes of such a record in the log, beside the message's name


class Held:
    __slots__ = (
        "name",
        "dst",
        "lane",
        "deadline",
        "body",
        "mark",
        "key",
        "customer",
        "again",
        "at",
        "promised",
        "legs",
        "ending",
        "size",
        "unread",
        "answer_by",
    )

    def __init__(self, name, dst, lane, deadline, body, mark, key, customer, again, at=0):
        self.name, self.dst, self.lane, self.deadline, self.body = name, dst, lane, deadline, body
        self.mark, self.key, self.customer, self.again = mark, key, customer, again
        self.at = at  # taken on: the order among those of one key
        self.promised, self.legs, self.ending = False, [], None  # legs: [host, sent at, ending or None]
        self.size = 0  # in the log, with room for all its legs
        self.answer_by = deadline  # when its final answer has to be begun, to arrive before the deadline
        self.unread = 0  # how long its request had lain unread, in nanoseconds; not kept in the log

    def record(self):
        return record(
            records.TAKEN,
            [
                self.name,
                self.dst,
                self.lane,
                self.deadline,
                self.mark,
                self.key,
                self.customer,
                self.again,
                self.at,
            ],
            self.body,
        )

    def records(self):
        return [
            self.record(),
            *(
                record(records.CALL, [self.name, n, host, at, ending])
                for n, (host, at, ending) in enumerate(self.legs)
            ),
        ]


class Desk:
    def __init__(self, dispatcher, terms, house, log, memory, clock, say):
        self.dispatcher, self.terms, self.house, self.log = dispatcher, terms, house, log
        self.clock, self.say, self.memory = clock, say, int(memory * house["held"])
        self.held, self.owed = {}, {}
        self.ends = OrderedDict()  # name -> delivered, returned, failed or over
        self.hosts = self.notices = self.discovery = self.alarm = self.leave = self.see_off = None
        self.waiting, self.telling, self.ready = deque(), False, False
        self.unread_for = lambda: 0  # how long a request may have waited until it was read
        self.syncer = None
        self.learned = None  # the file of what the module knows of the hosts
        self.bytes = 0
        self.deadlines = {}  # of messages whose notices are owed, those of this life
        self.withheld = {}  # ends not told yet, as they are not written: name -> answer_by
        self.unwritten = {}  # name -> kind of the end's record that is still to be written
        self.full = None
        self.figures = Figures()
        log.refresh, log.remembered = self.live_records, self.ends.__contains__

    # Clients.

    def answer(self, request, gone, unread=0):
        """(status, headers, body), the answer to a request whose last byte came `unread` nanoseconds ago."""
        if request.target in ("/ready", "/health"):
            return (200 if self.ready or request.target == "/health" else 503), (), b""
        try:
            told = words.notice_of(request, self.terms["lanes"], self.house["name"])
        except words.Refused as cause:
            return cause.status, (), f"{cause}\n".encode()
        status, after = self.take(told, gone, unread)
        return status, ([("Retry-After", f"{after / 1e9:.3f}")] if after else ()), b""

    def take(self, told, gone, unread=0):
        name = told["name"]
        if name in self.held:  # handed in once more, as its answer may have been lost
            return 202, 0
        if name in self.ends:
            return {"delivered": 200, "returned": 503}.get(self.ends[name], 500), 0
        now = self.clock()
        unread = max(unread, self.unread_for())  # the system may not tell the first
        deadline = now + told["left"] - unread
        msg = Held(
            name,
            told["dst"],
            told["lane"],
            deadline,
            bytes(told["body"]),
            told["mark"],
            told["key"] or None,
            told["customer"],
            told["again"],
            now,
        )
        msg.unread, msg.answer_by = unread, self.answer_by(msg)
        self.figures.longest("request_unread_ms", unread)
        if cause := self.why_refused(msg, gone):
            self.figures.count("closed", cause)
            return 503, 0
        self.held[name] = msg
        self.count(msg.size)
        self.tell("take", name, msg.dst, msg.lane, msg.answer_by, msg.key, msg.customer, msg.again)
        if msg.ending is None:
            try:
                self.promise(msg)
            except Full as cause:
                self.fault(cause)
                self.forget(msg, None)
                self.figures.count("closed", CloseCause.NOT_WRITTEN)
                self.tell("withdraw", name)
                return 503, 0
            self.figures.count("messages", "taken on")
            return 202, 0
        state, after = msg.ending
        return {"delivered": 202, "returned": 503}.get(state, 500), after

    def answer_by(self, msg):
        return answer_by(msg.at, msg.deadline, self.terms["lanes"].get(msg.lane, {}).get("deadline"))

    def why_refused(self, msg, gone):
        """The CloseCause that turns a message away before the decisions are asked, else None."""
        if gone:
            return CloseCause.CLIENT_GONE
        if not self.ready:
            return CloseCause.NOT_READY
        return None if self.room(self.measure(msg)) else CloseCause.NO_ROOM

    def room(self, size):
        fits = self.log.room(size) and self.bytes + size <= self.memory
        if fits != (self.full is None):
            self.full = None if fits else self.clock()
            self.say("room again" if fits else "full", held=len(self.held), bytes=self.bytes)
        return fits

    def measure(self, msg):
        msg.size = len(msg.record()) + self.terms.get("legs", self.house["legs"]) * (LEG + len(msg.name))
        return msg.size

    def count(self, size):
        self.bytes += size
        self.log.live += size

    def promise(self, msg, *calls):
        """Writes that it is taken on, where that is not written yet, and a call about to leave, in one go."""
        fresh, msg.promised = not msg.promised, True
        try:
            self.log.write(*([msg.record()] if fresh else ()), *calls)
        except Full:
            msg.promised = not fresh
            raise

    def fault(self, cause):
        self.say("journal cannot be written", error=str(cause)[:200], size=self.log.size, live=self.log.live)

    async def settled(self):
        """What was written is as safe as the settings ask."""
        if self.syncer is not None:
            await self.syncer.settled()

    # Hosts.

    def returned(self, name, n, host, ending, wait, over, took, report, idle=None):
        msg = self.held.get(name)
        if msg is not None:
            msg.legs[n][2] = ending
            if over:
                self.finish(msg, "delivered" if ending == "delivered" else "over")
            else:
                self.note(record(records.BACK, [name, n, ending]))
        self.tell("outcome", name, n, host, ending, took, wait, report, over or msg is None, idle)

    def fresh_for(self):
        return self.dispatcher.fresh_for(self.clock())

    def why_held(self, name, n):
        return self.dispatcher.why_held(self.clock(), name, n)

    def send_by(self, name, n):
        return self.dispatcher.send_by(name, n)

    def first_may_have_run(self, name, n):
        return self.dispatcher.first_may_have_run(name, n)

    def note(self, *parts):
        """A record that the next life goes by; one that can't be written is told, an end is tried again."""
        try:
            self.log.write(*parts)
            return True
        except Full as cause:
            self.unwritten.update((part.told[0], part.kind) for part in parts if part.kind != records.BACK)
            self.fault(cause)
            return False

    def is_last_call(self, answer_by):
        """Whether an end that is not written is told all the same: it is due, and a next life, which does not
        know it, would send the message no more."""
        return self.clock() >= answer_by - self.house["sweep"]

    def write_late(self):
        """Ends that could not be written when they came: without them a next life would send once more."""
        for name, due in list(self.withheld.items()):
            if self.is_last_call(due):
                self.tell_platform(name)
        for name, kind in list(self.unwritten.items()):
            parts = (
                self.live_records(name)
                if kind == records.OWED
                else [self.log.over(name, self.ends.get(name, "over"))]
            )
            try:
                self.log.write(*parts)
                del self.unwritten[name]
                self.tell_platform(name)
            except Full:
                return

    # The module.

    def tell(self, what, *told):
        """One thing told is one batch. Told while another is carried out, it waits for its turn."""
        self.waiting.append((what, told))
        if self.telling:
            return
        self.telling = True
        try:
            while self.waiting:
                what, told = self.waiting.popleft()
                for act in self.decide(self.clock(), what, told):
                    self.guarded(self.carry_out, act)
        finally:
            self.telling = False

    def decide(self, now, what, told):
        acts = []
        for method, args in ((what, told), ("settle", ())):
            more = self.guarded(getattr(self.dispatcher, method), now, *args)
            acts += [("wake", self.house["sweep"])] if more is None else more
        return acts

    def guarded(self, what, *told):
        """A fault in one decision must not end the relay with all it holds; a wake-up soon goes on."""
        try:
            return what(*told)
        except Exception:
            self.say("fault", at=what.__name__, trace=traceback.format_exc()[-1500:])
            return None

    def carry_out(self, act):
        getattr(self, "do_" + act[0].replace(" ", "_"))(*act[1:])

    def do_send(self, name, host, until):
        msg, now = self.held[name], self.clock()
        n = len(msg.legs)
        msg.legs.append([host, now, None])
        try:
            self.promise(msg, record(records.CALL, [name, n, host, now, None]))
        except Full as cause:  # what can't be written must not leave
            self.fault(cause)
            self.hosts.unsent(msg, n, host)
            return
        self.hosts.call(msg, n, host, until)

    def do_cancel(self, name, n):
        self.hosts.cancel(name, n)

    def do_push_back(self, name, stay_away, cause):
        self.end(name, "returned", stay_away, cause)

    def do_fail(self, name, cause):
        self.end(name, "failed", 0, cause)

    def do_close(self, host):
        self.hosts.close(host)

    def do_wake(self, delay):
        self.alarm(delay)

    def do_watch(self, wait):
        self.discovery.ask(wait)

    def do_log(self, text):
        self.say(text)

    def do_see_off(self):
        self.see_off()

    def do_exit(self):
        self.leave()

    # Ends.

    def end(self, name, state, after, cause):
        msg = self.held.get(name)
        if msg is None:
            return
        msg.ending = state, after
        self.figures.count("closed", cause)
        if not msg.promised:  # its client still waits: the answer tells it
            self.forget(msg, state)
            return
        self.say(
            "message closed",
            id=name,
            state=state,
            cause=cause,
            lane=msg.lane,
            attempts=len(msg.legs),
            held_ms=(self.clock() - msg.at) // MS,
            left_ms=(msg.deadline - self.clock()) // MS,
            unread_ms=msg.unread // MS,
        )
        self.owed[name] = state, after
        self.deadlines[name] = msg.deadline
        self.count(NOTICE + len(name))
        self.forget(msg, state)  # first: the note may compact the log, and must not bring it back
        self.withheld[name] = msg.answer_by
        if self.note(record(records.OWED, [name, state, after])) or self.is_last_call(msg.answer_by):
            self.tell_platform(name)

    def tell_platform(self, name):
        """Once its end is written: a life that knows nothing of it would send a message that is over."""
        if self.withheld.pop(name, None) is not None:
            self.notices.owe(name, *self.owed[name])

    def told_of(self, names):
        """Notices that the platform has."""
        for name in names:
            self.note_told(name, self.deadlines.pop(name, None))
        self.count(-sum(NOTICE + len(name) for name in names))
        self.note(*(self.log.over(name, self.owed.pop(name)[0]) for name in names))

    def note_told(self, name, deadline):
        """Counts a notice by whether it was told before its deadline; logs one that was not."""
        if deadline is None:  # owed since an earlier life
            self.figures.count("notices", "of an earlier life")
            return
        late = self.clock() - deadline
        self.figures.count("notices", "in time" if late <= 0 else "behind the deadline")
        self.figures.longest("notice_behind_deadline_ms", late)
        if late > 0:
            self.say("notice behind its deadline", id=name, late_ms=late // MS)

    def finish(self, msg, state):
        msg.ending = state, 0
        self.figures.count("messages", state)
        self.forget(msg, state)
        if msg.promised:
            self.note(self.log.over(msg.name, state))

    def forget(self, msg, state):
        del self.held[msg.name]
        self.count(-msg.size)
        if state:
            self.remember(msg.name, state)

    def remember(self, name, state):
        """Recent ends answer a message that is handed in once more."""
        if name not in self.ends:
            self.count(END + len(name))
        self.ends[name] = state
        while len(self.ends) > self.house["ends"]:
            old, _ = self.ends.popitem(last=False)
            self.count(-END - len(old))

    # The log.

    def keep_lessons(self):
        """Writes what the module's next life is to know, where it changed."""
        told = self.guarded(self.dispatcher.memory, self.clock())
        if told is not None and self.learned is not None:
            try:
                self.learned.keep(told, self.clock())
            except OSError as cause:
                self.fault(cause)

    def live_records(self, name):
        """What the journal must keep of a message: all of it while it is held, its end while that is owed."""
        if name in self.owed:
            state, after = self.owed[name]
            return [record(records.OWED, [name, state, after])]
        if msg := self.held.get(name):
            return msg.records() if msg.promised else []
        return [self.log.over(name, self.ends[name])] if name in self.ends else []

    def recover(self, same_clock=True):
        """Reads the log back: what is owed its end is told to the module, which decides on each. Without the
        clock of the earlier lives nobody knows how long ago an attempt was: its window counts as over, and
        what was learned is used only where it seems fresh."""
        replay = Replay(self.house["ends"])
        for kind, told, body in self.log.read():
            if kind == DAMAGE:
                self.say("journal damaged", segment=told.segment, at=told.at, bytes=told.size)
                replay.damage()
            else:
                replay.feed(kind, told, body)
        replay.finish()
        self.owed = replay.owed
        for name, state in replay.ends.items():
            self.remember(name, state)
        for name, kept in replay.held.items():
            msg = self.held[name] = Held(name, *kept.told[1:4], kept.body, *kept.told[4:])
            msg.promised, msg.legs, msg.answer_by = True, kept.legs, self.answer_by(msg)
            if not same_clock:
                msg.legs = [[host, 0, ending] for host, _, ending in msg.legs]
            self.count(self.measure(msg))
        self.count(sum(NOTICE + len(name) for name in self.owed))
        for name, (state, after) in self.owed.items():
            self.notices.owe(name, state, after)
        if self.learned is not None:
            told, at = self.learned.read()
            if told and (same_clock or 0 <= self.clock() - at <= self.house["learned_for"]):
                self.tell("recall", told, at)
        for msg in sorted(self.held.values(), key=lambda msg: msg.at):  # copies stand behind younger ones
            self.tell(
                "take",
                msg.name,
                msg.dst,
                msg.lane,
                msg.answer_by,
                msg.key,
                msg.customer,
                msg.again,
                [tuple(leg) for leg in msg.legs],
            )
