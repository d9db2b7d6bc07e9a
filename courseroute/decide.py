"""Every decision of courseroute: Schedule, Don't Throttle, and the guards around it.

One Dispatcher(seed, terms) a relay, a method for each thing told, returning plain tuples; `settle` closes a
batch. The interface stands in courseroute/model/interface.py, the reasons in docs/design.md. A message
passes admit -> turn -> book -> release -> pick -> send; what returns comes back through `outcome`.
"""
import random

from courseroute.decisions.endpoint_list import HELD_UP, EndpointListSchedule
from courseroute.model.agenda import Agenda
from courseroute.model.causes import CloseCause, HoldCause
from courseroute.model.histogram import Histogram, Meter, Odds
from courseroute.model.lines import Lines
from courseroute.model.types import Call, Destination, Host, Lane, Leg, Message, Route, Turn, parts, set_parts

MS = 1_000_000
S = 1000 * MS
FOREVER = 1 << 63
HEADROOM, MOST, GROWTH, CUT, FORGET = 0.8, 1.0, 0.1, 0.7, 60 * S   # the budget, as the design page has it
LEAST, PART = 1.0, 0.1                                      # a second: cuts leave all relays, each one's part
EDGES = [int(10 * MS * 1.5 ** i) for i in range(20)]        # call times, 10 ms to 22 s
MEMORY, USUAL = 64, 100 * MS    # values before a histogram is halved; a call's time while none is known
NEVER_RAN, UNHEARD = ("full", "unreachable", "broken", "unsent"), ("timeout", "reset", "stale", "cancelled")
EVIDENCE = {"delivered": -0.7, "error": 1.1, "timeout": 1.6, "reset": 1.1, "broken": 1.1, "unreachable": 4.5,
            "full": 4.5}        # for the sequential test; stale: a kept connection tells nothing of its host
BOUND, BRIEF = 4.5, 3 * S       # evidence that sets a host aside; a shorter silence is no outage
ASIDE, SPREAD = 1 * S, 4        # set aside so long, and up to half more; tries spread over so many outages
RENEW, LEVEL = 1 * S, 2         # ranks are renewed so often; calls before the next in rank gets one
PATIENCE, LEAST_PATIENCE, MOST_PATIENCE = 6, 1500 * MS, 3 * S   # time-out: so many slow calls, within bounds
SHARE_SPAN = 6 * S                                          # of its share that a customer may send at once
LOSSY, LAG, HASTE = 0.1, 0.05, 2        # so many calls lost: connections are not kept, time-outs are halved
SMOOTH, ROUGH = 0.1, 1.5        # weight of a new reported limit; a rough rate is at most so many times high
LAST_SEND, LEAVE = 2400 * MS, 3000 * MS     # from the word to stop on
OF_ROUTE = "headroom", "learned", "reported", "refused", "grown", "cut", "strict", "wait", "usual"
OF_HOST = "evidence", "ill", "out", "aside", "rest", "trial", "climb"       # these outlast a restart
ENDPOINT_LIST = ""      # in `memory`: a name that no host has, so that earlier versions pass over it
USUAL_SPAN = 4 * S              # the pace before an outage is counted over two such spans, the last one begun
HOUSE = {       # the relay's: shares of its descriptors, memory and disk, then sizes, then times
    "client_connections": 0.5, "refusing": 0.06, "host_connections": 0.3, "half_read": 0.1, "held": 0.25,
    "kept_list": 0.05, "learned": 0.02, "head": 16 << 10, "body": 64 << 10, "list": 4 << 20, "name": 256,
    "ends": 1024, "legs": 8, "backlog": 512, "idle": 5 * S, "idle_share": 0.8, "between_slices": S // 250,
    "read_within": 2 * S, "write_within": 2 * S, "list_within": 10 * S, "notice_within": 2 * S,
    "notice_pause": S // 20, "drain_answer": S // 2, "last_words": S // 5, "sweep": S // 2,
    "learned_for": FORGET}


class Dispatcher(Agenda):
    def __init__(self, seed, terms):
        super().__init__()
        self.terms = terms
        self.draw = random.Random(seed).uniform
        self.lanes, self.dsts, self.hosts = {}, {}, {}
        self.open, self.legs, self.turns, self.lines, self.shares = {}, {}, {}, Lines(self.at), {}
        self.measured, self.lost, self.areas, self.joined = {}, {}, {}, 0
        self.idled = Odds(EDGES[::3], 4 * MEMORY)   # lost calls by idle time, of new connections none
        self.list, self.holds_all = EndpointListSchedule(terms, self.draw), False
        self.busy, self.watched, self.list_calls, self.closing = 0, None, 0, 1 << 63
        self.nowhere = Destination(None)    # of all messages whose destination is not listed
        self.slots = terms.get("slots") or 1
        self.relays = max(1, terms.get("relays") or 1)
        self.phase = (terms.get("number") or 0) % self.relays / self.relays
        self.margin = 2 * (terms.get("tick") or 5 * MS)
        for name, told in terms.get("lanes", {}).items():
            self.lanes[name] = Lane(name, **told, calls=Histogram(EDGES, MEMORY))

    def start(self, now):
        if self.terms.get("ask"):
            self.plan_list_call(now, self.call_for_list)
        self.at(now + RENEW, self.rank)
        return self.said()

    def roster(self, now, scope, entries, as_of=None):
        """`as_of`: when the list was discovery's own, as far as is known; None: now. Of a spoilt answer when
        it was written."""
        if scope in ("failed", "ended", "spoilt"):
            self.watched = None
            self.list_call_failed(now, scope, as_of)
            self.plan_list_call(now + self.list.retry_after(), self.call_for_list)
            return self.said()
        if scope == "saved":
            self.list.restored(now)
        else:
            self.watched = now
            self.list.answered(now, now if as_of is None else as_of)
            if self.list.is_polled:
                self.plan_list_call(now, self.call_for_list)
        if scope != "changes":
            for host in self.hosts.values():
                host.listed, host.gone = False, host.gone or now
        for name, state, area, rate, kind, where in entries:
            host = self.hosts.get(name) or self.join(name, kind, where)
            host.listed, host.area, host.rate = state == "ready", area, rate
            host.gone = (host.gone or now) if state == "gone" else None
        for dst in self.dsts.values():
            for rt in dst.routes:
                if rt.held and not any(host.listed for host in rt.hosts):
                    self.rebook(now, rt, True)
            stranded, dst.stranded = dst.stranded, []
            for msg in (msg for msg in stranded if not msg.over):
                self.book(now, msg)
        for host in list(self.hosts.values()):
            if host.gone and now - host.gone > FORGET and not host.legs:
                self.part(now, host)
        return self.said()

    def discovery_moved(self, now):
        self.watched = None
        self.list.moved(now)
        self.plan_list_call(now, self.call_for_list)
        return self.said()

    def part(self, now, host):
        """All that is kept of a host ends with it, a destination with its last one: ids are always new."""
        rt, dst = host.route, host.dst
        del self.hosts[host.name]
        rt.hosts.remove(host)
        if not rt.hosts:
            dst.routes.remove(rt)
        if not dst.routes:
            del self.dsts[dst.where]
            for msg in dst.stranded:
                self.end(now, msg, CloseCause.NO_DESTINATION)

    def memory(self, now):
        """What the next life is told after the list, lest it burst upon hosts that push back or are out."""
        told = [[host.name, parts(host, OF_HOST), parts(host.route, OF_ROUTE)]
                for host in self.hosts.values()
                if host.trial or host.climb or host.route.refused is not None or host.route.wait > now]
        of_list = self.list.memory()
        return [*told, [ENDPOINT_LIST, of_list, []]] if of_list else told

    def recall(self, now, told, at):
        """What was learned ages: a wait holds to its end, a budget relaxes, after a minute nothing binds."""
        age = max(0, now - at) if at else 0
        for name, of_host, of_route in told:
            if name == ENDPOINT_LIST:
                self.list.recall(of_host)
            if host := self.hosts.get(name):
                rt = host.route
                set_parts(rt, OF_ROUTE, of_route)
                rt.headroom += max(0.0, MOST - rt.headroom) * min(1.0, age / FORGET)
                if age < FORGET:
                    set_parts(host, OF_HOST, of_host)
                else:
                    rt.refused, rt.learned, rt.usual = None, 0.0, 0.0
        return self.said()

    def take(self, now, name, where, lane, deadline, key=None, customer=None, again=False, legs=()):
        """`legs` are those of an earlier life: (host, sent at, ending); one still out then may have run."""
        lane = self.lanes.get(lane) or self.lanes.setdefault(lane, Lane(lane, calls=Histogram(EDGES, MEMORY)))
        dst = self.dsts.get(where, self.nowhere) if self.hosts else self.destination(where)
        deadline = min(deadline, now + (lane.deadline or 1 << 62))      # or odd ones would be kept for ever
        msg = self.open[name] = Message(name, dst, lane, deadline, key, customer, again)
        doubtful, msg.sent = [leg for leg in legs if leg[2] not in NEVER_RAN], len(legs)
        if doubtful:
            msg.first, msg.ran, msg.last_host = doubtful[0][1], True, self.hosts.get(doubtful[-1][0])
            if msg.key and msg.lane.ordered:
                self.turns.setdefault(msg.key, Turn()).rest = now + self.terms.get("turn_gap", 0)
        self.at(deadline - self.margin, self.end, msg, CloseCause.DEADLINE)
        self.at(self.late(msg), self.drop_late, msg)
        if self.admit(now, msg) and self.turn(now, msg):
            self.book(now, msg)
        return self.said()

    def withdraw(self, now, name):
        if name in self.open:
            self.finish(now, self.open[name])
        return self.said()

    def why_held(self, now, name, n):
        """Asked when an attempt's connection is up: a HoldCause if it must not be sent any more, else None. A
        wait, or a drain, may have been told since it was dispatched."""
        leg = self.legs.get((name, n))
        if leg is None or leg.msg.over:
            return HoldCause.CLOSED
        if not leg.host.listed:
            return HoldCause.NOT_LISTED
        if self.list.is_unusable(now):
            return HoldCause.LIST_TOO_OLD
        if now < leg.host.route.wait:
            return HoldCause.TOLD_WAIT
        return None if now < self.repeatable_until(leg.msg, leg.first) else HoldCause.WINDOW_CLOSED

    def send_by(self, name, n):
        """The time by which the last byte of that attempt has to be written, None where none is set."""
        leg = self.legs.get((name, n))
        until = self.repeatable_until(leg.msg, leg.first) if leg else FOREVER
        return None if until == FOREVER else until

    def first_may_have_run(self, name, n):
        """(dispatch time of the first attempt that may have run, idempotency window), in nanoseconds, where
        the n-th attempt repeats such a one; else None. The window is 0 for a lane that has none."""
        leg = self.legs.get((name, n))
        return None if leg is None or leg.first is None else (leg.first, leg.msg.lane.window)

    def stop(self, now):
        """What can't be sent before the end is given back to other relays, where that is harmless."""
        self.closing = now + LAST_SEND
        self.at(self.closing, self.give_back)
        self.at(now + LEAVE, lambda now: self.acts.append(("exit",)))
        return self.said()

    def give_back(self, now):
        for msg in [msg for msg in self.open.values() if not msg.out and self.harmless(now, msg)]:
            self.end(now, msg, CloseCause.STOPPING)
        self.acts.append(("see off",))      # not before: the others' parts of the limits don't grow

    def wake(self, now):
        self.armed = None
        return self.said()

    def outcome(self, now, name, n, where, ending, took, wait, report, over, idle=None):
        leg = self.legs.pop((name, n), None)
        if leg is None:
            return self.said()
        msg, host, call, rt = leg.msg, leg.host, leg.call, leg.host.route
        del host.legs[(name, n)]
        msg.out, call.left = msg.out - 1, call.left - 1
        if not call.left:
            self.busy, host.calls, rt.calls = self.busy - 1, host.calls - 1, rt.calls - 1
        if ending in UNHEARD and msg.key and msg.lane.ordered:
            self.turns[msg.key].rest = now + self.terms.get("turn_gap", 0)
        msg.ran = msg.ran or ending not in NEVER_RAN
        if not (msg.ran or msg.out):
            msg.first = None
        if report:
            told = report["limit"]      # noisy: smoothed, but nought and a first figure count at once
            rt.reported = told if not (told and rt.reported) else rt.reported + (told - rt.reported) * SMOOTH
        alone = ending == "full" and self.refusal(now, rt, wait)
        if ending == "delivered":
            host.times.add(took)
            self.areas.setdefault(host.area, Histogram(EDGES, MEMORY)).add(took)
            msg.lane.calls.add(took)
            rt.served.add(now)
            rt.before.add(now)
        self.keep_connection(host, ending, idle)
        self.measured[msg.dst.where] = msg.dst
        self.judge(now, host, ending, leg, alone)
        if over:
            self.finish(now, msg)
            if ending == "unsent":  # its booking is free again, lest the withdrawn hold up the living
                rt.spent = max(0, rt.spent - 1)
                self.rebook(now, rt)
        elif not msg.over and not msg.out:
            msg.seq = 0         # a fresh booking, where the lane still allows one
            self.book(now, msg)
        if msg.over and not msg.out:
            self.pass_turn(now, msg)
        return self.said()

    def settle(self, now):
        self.run_due(now)
        if now < self.closing:
            self.release(now)
        self.arm(now)
        return self.said()

    def plan_list_call(self, when, call):
        """Only the newest call planned is made: no storm on a discovery that fails."""
        self.list_calls += 1
        self.at(when, call, self.list_calls)

    def call_for_list(self, now, number):
        """Calls discovery, and plans the next call in case that one brings no answer in time."""
        if number == self.list_calls:
            self.acts.append(("watch", self.list.call_wait()))
            self.plan_list_call(now + self.list.late_after(), self.call_again)

    def call_again(self, now, number):
        """Behind a call that has not answered; a watch that stands is left alone."""
        if number != self.list_calls or (self.watched is not None and not self.list.is_polled):
            return
        if self.list.is_polled:
            self.list_call_failed(now, "late")
        self.call_for_list(now, number)

    def list_call_failed(self, now, how, written_at=None):
        first = self.list.failing_since is None
        if how == "ended":
            self.list.ended(now)
        elif how == "spoilt":
            self.list.spoilt(now, written_at)
        else:
            self.list.failed(now, is_late=how == "late")
        if first:       # then discovery may count as down, and what is held may go
            self.at(self.list.taken_for_down_at(), int)

    def late(self, msg):
        return msg.deadline - (msg.lane.calls.quantile(0.5) or USUAL) - self.margin

    def destination(self, where):
        return self.dsts.setdefault(where, Destination(where))

    def join(self, name, kind, where):
        dst = self.destination(where)
        told = self.terms.get("kinds", {}).get(kind, {})
        if told.get("apart") or not dst.routes:
            rt = Route(self.joined, dst, told.get("per_call", 1), served=Meter(S), before=Meter(USUAL_SPAN))
            dst.routes.append(rt)
        rt = dst.routes[-1]
        host = self.hosts[name] = Host(name, self.joined, dst, rt, kind, times=Histogram(EDGES, MEMORY))
        rt.hosts.append(host)
        self.joined += 1
        return host

    def rank(self, now):
        """The timer that renews the order of hosts and routes; who was not measured stands by its area."""
        def standing(host):
            near = host.area == self.terms.get("area")
            usual = host.times if near else self.areas.get(host.area, host.times)
            slow = host.times.quantile(0.5) or usual.quantile(0.5) or 0
            return not host.listed, host.evidence >= BOUND / 2, slow, host.index
        for dst in self.measured.values():      # only where something came back since the last time
            for rt in dst.routes:
                rt.hosts.sort(key=standing)
            dst.routes.sort(key=lambda rt: standing(rt.hosts[0]))
        self.measured.clear()
        for rt in {msg.route.index: msg.route for msg in self.open.values() if msg.route}.values():
            if self.budget(now, rt) and rt.booked < rt.headroom:
                self.rebook(now, rt)    # what was booked under a smaller budget would stay late
        self.at(now + RENEW, self.rank)

    def admit(self, now, msg):
        """One destination may hold as much as is still free: its backlog must not shut out the others."""
        quota = self.terms.get("customers", {}).get(msg.customer, 0) / self.relays
        if quota:       # beyond its share a message is worth little: it may wait for its target time only
            at, left = self.shares.get(msg.customer, (now, 1 << 30))
            left = min(max(1.0, quota * SHARE_SPAN / S), left + quota * (now - at) / S)
            msg.over_share = left < 1
            self.shares[msg.customer] = now, left - (not msg.over_share)
        free = self.terms.get("room", 1 << 30) - len(self.open) - sum(len(rt.held) for rt in msg.dst.routes)
        if msg.dst is self.nowhere:
            self.end(now, msg, CloseCause.NO_DESTINATION)
        elif now >= self.late(msg):
            self.end(now, msg, CloseCause.TOO_LATE)
        elif free < 0:
            self.end(now, msg, CloseCause.NO_ROOM)
        return not msg.over

    def turn(self, now, msg):
        """The messages of a key one at a time, in the order taken: who has its turn is booked from there."""
        if not (msg.key and msg.lane.ordered):
            return True
        self.turns.setdefault(msg.key, Turn()).line.append(msg)
        return self.give_turn(now, msg.key)

    def pass_turn(self, now, msg):
        """A message is over and has no leg out: the next of its key may go once the key has rested."""
        turn = self.turns.get(msg.key)
        if self.open.pop(msg.name, None) and turn:
            if msg in turn.line:        # one that was not admitted never stood in it
                turn.line.remove(msg)
            self.at(now, self.give_turn, msg.key)

    def give_turn(self, now, key):
        turn = self.turns.get(key)
        if turn and now < turn.rest:
            self.at(turn.rest, self.give_turn, key)
        elif turn and not turn.line:
            del self.turns[key]
        elif turn:
            first = turn.line[0]
            if not (first.over or first.route or first.out or first in first.dst.stranded):
                self.book(now, first)

    def limit(self, rt):
        """This relay's part of the listed or reported limit, else what was served; one send at the least."""
        told = rt.reported if rt.hosts[0].rate is None else rt.hosts[0].rate
        least = PART if rt.strict or rt.reported is not None else LEAST
        return max(min(least, told), told / self.relays) if told else rt.learned

    def budget(self, now, rt):
        """Sends a second; None while only told waits bind."""
        if rt.refused is not None and now - rt.refused > FORGET:
            rt.refused = None
        if rt.refused is None or rt.reported == 0:
            return None
        if clean := (now - rt.grown) // S:
            rt.grown += clean * S
            clean = min(clean, rt.served.most(now))     # seconds without deliveries prove nothing
            rt.headroom = min(MOST, rt.headroom + GROWTH * clean)
            rt.learned *= (1 + GROWTH) ** clean
        return rt.headroom * self.limit(rt)

    def refusal(self, now, rt, wait):
        """Cuts the budget; tells if nothing was delivered since the last cut: who is shut refuses all."""
        fresh = rt.refused is None or now - rt.cut >= S
        alone = fresh and rt.refused is not None and rt.cut > rt.heard
        if rt.refused is None or rt.reported == 0:
            rt.headroom, rt.learned = HEADROOM, max(LEAST, rt.served.most(now))
            if fresh:
                self.log(f"route {rt.index}: budget begins at {rt.headroom * self.limit(rt):.2f}/s")
        elif fresh:
            rt.headroom = max(rt.headroom * CUT, min(rt.headroom, LEAST / self.relays / self.limit(rt)))
        rt.cut, rt.strict = now if fresh else rt.cut, alone or rt.strict and rt.refused is not None
        rt.refused = rt.grown = now
        rt.spent = min(rt.spent, max(1.0, self.budget(now, rt) or 1.0))
        rt.wait = max(rt.wait, now + wait if wait else 0)
        self.rebook(now, rt, now < rt.wait)
        return alone

    def slot(self, now, rt):
        """The second with room, its bookings; a cursor behind now moves to now, a full second steps on."""
        budget = self.budget(now, rt)
        if budget is None:
            return max(now, rt.wait), 0, 0
        if rt.per_call > 1 and rt.second > now and 0 < rt.riders < rt.per_call:
            return rt.second, rt.used, rt.riders + 1
        begin, second, used = max(now, rt.wait), rt.second, rt.used
        start = begin // S * S
        if second < start:      # what was booked above a small budget is not forgotten
            second, used = start, max(0.0, used - budget * (start - second) / S)
        if second == start:     # places that went by unused are not made up for in a burst
            used = max(used, budget * (begin - start) / S - 1)
        while used > 0 and used + 1 > budget:   # a fraction of a send is carried, and a first one has room
            second, used = second + S, used - budget
        return second, used + 1, 1

    def book(self, now, msg):
        usable = [rt for rt in msg.dst.routes if any(self.allowed(host, msg) for host in rt.hosts)]
        if not usable:
            return msg.dst.stranded.append(msg)

        def soonest(rt):
            back = min(host.rest for host in rt.hosts if host.listed)
            return max(now, self.slot(now, rt)[0], back), rt.calls // LEVEL
        rt = min(usable, key=soonest)
        second, used, riders = self.slot(now, rt)
        due = max(now, second)
        if riders:      # its place inside its second: evenly spaced, and apart from the other relays' places
            apart = S * (max(0.0, used - 1) + self.phase) / max(1.0, self.budget(now, rt))
            due = max(now, rt.wait, second + int(apart))
        last = min(self.late(msg), now + msg.lane.target if msg.over_share else self.late(msg))
        last = min(last, self.closing) if self.harmless(now, msg) else last
        if not self.may_send(due, msg):
            return self.end(now, msg, self.why_no_attempt(msg))
        if due >= last:
            return self.end(now, msg, CloseCause.BOOKED_TOO_LATE)
        rt.second, rt.used, rt.riders = second, used, riders
        self.ticket += 1
        msg.seq = msg.seq or self.ticket
        msg.due, msg.route = due, rt
        rt.held[msg.name] = msg
        self.lines.expect(rt, msg)

    def rebook(self, now, rt, due_too=False):
        """Books anew what a route holds, in its order; what has a slot already keeps it but where told."""
        kept = 0 if due_too else sum(msg.due <= now for msg in rt.held.values())
        moved = [msg for msg in rt.held.values() if due_too or msg.due > now]
        rt.second, rt.used, rt.riders = rt.spent_from, rt.spent + kept, 0
        rt.booked = rt.headroom
        for msg in moved:
            del rt.held[msg.name]
            msg.route = None
        for msg in sorted(moved, key=lambda msg: msg.seq):
            self.book(now, msg)

    # Release: a slot for those whose second has come, in booking order.

    def release(self, now):
        self.note_whether_list_is_unusable(now)
        for rt, msg in self.lines.walk():
            if not self.may_send(now, msg):     # a window may close while a message waits for its slot
                self.end(now, msg, self.why_no_attempt(msg))
            elif not self.holds_all and (host := self.pick(now, rt, msg)):
                self.send(now, msg, rt, host)

    def note_whether_list_is_unusable(self, now):
        holds_all = self.list.is_unusable(now)
        if holds_all != self.holds_all:
            self.holds_all = holds_all
            what = "may be out of date, nothing is sent" if holds_all else "is used again"
            self.log(f"endpoint list {what}, failed calls {self.list.failures}")

    # Pick: hosts in ranked order, each filled up to a level before the next.

    def allowed(self, host, msg):
        bound = msg.first is not None and msg.lane.effect == "keyed" and msg.lane.group == "zone"
        return host.listed and not (bound and host.area != (msg.last_host and msg.last_host.area))

    def pick(self, now, rt, msg):
        free = rt.calls < self.slots - self.busy
        usable = [host for host in rt.hosts if now >= rt.wait and self.allowed(host, msg)
                  and (self.rides(now, host) or free and self.ready(now, host))]
        return min(usable, default=None, key=lambda host: (
            not self.rides(now, host), host is msg.last_host, host.calls // LEVEL))

    def rides(self, now, host):
        call = host.open_call
        return call and call.at == now and call.size < host.route.per_call and call.left

    def ready(self, now, host):
        if now < host.rest:
            self.at(host.rest, int)     # only wakes: the release that closes the batch does the rest
            return False
        first = next(iter(host.legs.values()), None)
        return not first or host.trial or host.heard > first.at or now - first.at < self.patience(host) // 2

    def patience(self, host):
        """A call's time-out; its bound, and its halving where calls get lost, guard slots and target time."""
        haste = HASTE if self.lost.get(host.kind, 0.0) > LOSSY else 1
        slow = host.times.quantile(0.9) or max(lane.calls.quantile(0.9) or 0 for lane in self.lanes.values())
        return min(max(LEAST_PATIENCE, PATIENCE * slow), MOST_PATIENCE) // haste

    def send(self, now, msg, rt, host):
        until = min(now + (LEAST_PATIENCE if host.trial else self.patience(host)), msg.deadline - self.margin)
        if not self.rides(now, host):
            host.open_call = Call(host, now)
            self.busy, host.calls, rt.calls = self.busy + 1, host.calls + 1, rt.calls + 1
            second = now // S * S
            if second > rt.spent_from:
                paid = (self.budget(now, rt) or rt.spent) * (second - rt.spent_from) / S
                rt.spent_from, rt.spent = second, max(0.0, rt.spent - paid)
            rt.spent += 1
            if host.climb is not None:
                host.rest = now + max(self.spacing(now, host), LEAST_PATIENCE * host.trial)
        call, n = host.open_call, msg.sent
        call.size, call.left = call.size + 1, call.left + 1
        del rt.held[msg.name]
        msg.route, msg.last_host = None, host
        self.legs[(msg.name, n)] = host.legs[(msg.name, n)] = Leg(msg, n, host, now, until, call, msg.first)
        msg.first = msg.first if msg.first is not None else now
        msg.sent, msg.out = n + 1, msg.out + 1
        self.acts.append(("send", msg.name, host.name, until))

    def judge(self, now, host, ending, leg, alone):
        """The sequential test; most outages take all hosts of a destination: a failure counts against all."""
        rt, weight = host.route, EVIDENCE.get(ending, 0.0)
        if ending == "delivered":
            host.evidence = max(0.0, host.evidence + weight)
            if host.trial:      # a short failure is no outage, it only lost some calls
                host.trial, host.evidence, host.rest = False, 0.0, now
                host.climb = now if max(host.out, self.spacing(now, host)) > BRIEF else None
                self.log(f"host {host.index}: returned, failures over {host.out // MS} ms")
            host.ill, host.heard, rt.heard = None, now, now
        elif weight and (alone or ending != "full"):
            host.ill = leg.at if host.ill is None else host.ill     # it was ill when that leg left
            for other in rt.hosts:
                if other is host or rt.heard <= host.ill:
                    other.evidence += weight
                    if other.evidence >= BOUND and leg.at >= other.aside:
                        self.set_aside(now, other, ending, host.ill)

    def set_aside(self, now, host, ending, ill):
        """All relays that saw it fail try it again, and their tries can push it over: they are spaced."""
        self.log(f"host {host.index}: set aside on {ending}, evidence {host.evidence:.1f}")
        host.ill = ill if host.ill is None else host.ill
        if host.climb is None:      # what it took before is known to be within its limits, whatever these are
            host.route.usual = (host.route.before.last + host.route.before.count) * S / (2 * USUAL_SPAN)
        host.trial, host.climb, host.aside, host.out = True, now, now, now - host.ill
        host.rest = now + ASIDE + int(self.draw(0, max(ASIDE / 2, 2 * (self.spacing(now, host) - ASIDE))))
        if len(host.dst.routes) > 1:
            self.rebook(now, host.route, True)

    def fresh_for(self, now):
        """So long may a kept connection have stood idle: longer ones are lost more often than new ones."""
        return self.idled.sound_below(LOSSY)

    def keep_connection(self, host, ending, idle):
        """Where calls to a kind get lost none is kept idle: for full tables, and those dropped unseen."""
        lost = ending in ("unreachable", "broken", *UNHEARD)
        self.idled.add(idle or 0, lost)
        share = self.lost.get(host.kind, 0.0)
        self.lost[host.kind] = share = share + (lost - share) * LAG
        if share > LOSSY and not host.calls:
            self.acts.append(("close", host.name))

    def spacing(self, now, host):
        """Between sends to a host that was out: all relays together stay under the rule's multiple."""
        since, cold = now - host.climb, self.terms.get("cold", 10 * S)
        many = max(1, sum(other.listed for other in host.route.hosts))
        if since >= cold and not host.trial:
            host.climb = None
            return 0
        start = self.terms.get("cold_from", 0.2)
        share = start if host.trial else start + (1 - start) * since / cold
        told = host.rate or host.route.reported
        rate = told / self.relays if told else host.route.learned or host.route.usual or LEAST / self.relays
        rate /= many
        rate *= share * max(1.0, self.terms.get("overload", 1.0)) / (ROUGH if self.terms.get("rough") else 1)
        least = min(S / rate / many, SPREAD * SPREAD * ASIDE) / SPREAD
        return int(min(S / rate, many * max(least, SPREAD * host.out)))

    def may_send(self, when, msg):
        if msg.sent >= self.terms.get("legs", 1 << 30):
            return False
        return when < self.repeatable_until(msg, msg.first)

    def repeatable_until(self, msg, first):
        """The time before which an attempt may be written; `first`: when the first one that may have run was
        dispatched, or None. A repeat has to arrive inside the lane's window, whatever holds the relay up."""
        if first is None or msg.lane.effect == "retriable":
            return FOREVER
        return first + msg.lane.window - self.margin - HELD_UP if msg.lane.effect == "keyed" else 0

    def drop_late(self, now, msg):
        """Guards against sending what can no longer be delivered in time."""
        if now < self.late(msg):
            self.at(self.late(msg), self.drop_late, msg)
        elif not msg.out:
            self.end(now, msg, CloseCause.TOO_LATE)

    def why_no_attempt(self, msg):
        """The cause that closes a message for which `may_send` says no."""
        if msg.sent >= self.terms.get("legs", 1 << 30):
            return CloseCause.NO_ATTEMPT_LEFT
        return CloseCause.WINDOW_CLOSED if msg.lane.effect == "keyed" else CloseCause.MAY_HAVE_RUN

    def harmless(self, now, msg):
        lane = msg.lane
        return msg.first is None or lane.effect == "retriable" or (
            lane.effect == "keyed" and lane.group == "all" and self.may_send(now, msg))

    def end(self, now, msg, cause):
        """The one final answer: pushed back where trying again is harmless, failed else."""
        if msg.over:
            return
        if self.harmless(now, msg):
            stay = max((min(rt.second, rt.wait or rt.second) - now for rt in msg.dst.routes), default=S)
            stay = max(0, min(stay, self.terms.get("stay_away", 0)))
            self.acts.append(("push back", msg.name, stay, cause))
        else:
            self.acts.append(("fail", msg.name, cause))
        if msg.out and self.terms.get("cancel"):
            self.acts += [("cancel", msg.name, n) for n in range(msg.sent) if (msg.name, n) in self.legs]
        self.finish(now, msg)

    def finish(self, now, msg):
        msg.over = True
        if msg.route:
            msg.route.held.pop(msg.name, None)
            msg.route = None
        if not msg.out:
            self.pass_turn(now, msg)
