"""Every decision of courseroute: Schedule, Don't Throttle, and the guards around it.

One Dispatcher(seed, terms) a relay, a method for each thing told, returning plain tuples; `settle` closes a
batch. The interface stands in courseroute/model/interface.py, the reasons in docs/design.md. A message
passes admit -> turn -> book -> release -> pick -> send; what returns comes back through `outcome`.
"""
import random

from courseroute.model.agenda import Agenda
from courseroute.model.histogram import Histogram, Meter, Odds
from courseroute.model.lines import Lines
from courseroute.model.types import Call, Destination, Host, Lane, Leg, Message, Route, Turn, parts, set_parts

MS = 1_000_000
S = 1000 * MS
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
GROWN = 1.05                    # a budget so many times the one booked under: booked anew
PATIENCE, LEAST_PATIENCE, MOST_PATIENCE = 6, 1500 * MS, 3 * S   # time-out: so many slow calls, within bounds
OVERTAKEN, TOO_SLOW = 2, 3      # later calls of a host that came back, and so many slow calls: a call is lost
SHARE_SPAN = 6 * S                                          # of its share that a customer may send at once
LOSSY, LAG, HASTE = 0.1, 0.05, 2        # so many calls lost: connections are not kept, time-outs are halved
SMOOTH, STEP = 0.1, 1.5         # weight of a new reported limit; so many times off it is another limit
ROUGH = 1.5                     # a rough rate is at most so many times high
WATCHES, LAST_SEND, LEAVE = 4, 2400 * MS, 3000 * MS     # watches in ask_within; from the word to stop on
OF_ROUTE = ("headroom", "learned", "reported", "refused", "grown", "cut", "strict", "wait", "usual",
            "spent_from", "spent")
OF_HOST = "evidence", "ill", "out", "aside", "rest", "trial", "climb"       # these outlast a restart
USUAL_SPAN = 4 * S              # the pace before an outage is counted over two such spans, the last one begun
HOUSE = {       # the relay's: shares of its descriptors, memory and disk, then sizes, then times
    "client_connections": 0.5, "refusing": 0.06, "host_connections": 0.3, "half_read": 0.1, "held": 0.25,
    "kept_list": 0.05, "learned": 0.02, "orders": 0.01, "head": 16 << 10, "body": 64 << 10, "list": 4 << 20,
    "name": 256, "ends": 1024, "legs": 8, "backlog": 512, "operators": 16, "baton": 5 * MS,
    "idle": 5 * S, "idle_share": 0.8, "between_slices": S // 250, "drain_takes": S, "home_within": 3 * S,
    "see_off": 25 * MS, "read_within": 2700 * MS, "write_within": 2 * S, "list_within": 2 * S,
    "notice_within": S // 4, "notice_pause": S // 20, "drain_answer": S // 2, "last_words": S // 5,
    "sweep": S // 2}


HUSH, CROWD = 50 * MS, 0.25     # longer without a first byte is silence; so many silent ones are a crowd


def seen_off(waits, crowd):
    """In a full house, the kinds of connections that make room, first to last. `waits`: how long the longest
    silence among them is, by kind: silent (never a byte came), half (of a first request), idle (between
    requests); `crowd`: the silent ones' share of all."""
    later = ("idle", "half") if waits["idle"] >= min(HUSH, waits["half"]) else ("half", "idle")
    return ("silent", *later) if waits["silent"] >= HUSH or crowd > CROWD else (*later, "silent")


class Dispatcher(Agenda):
    def __init__(self, seed, terms):
        super().__init__()
        self.terms = terms
        self.draw = random.Random(seed).uniform
        self.lanes, self.dsts, self.hosts, self.banned = {}, {}, {}, {}
        self.open, self.legs, self.turns, self.lines, self.shares = {}, {}, {}, Lines(self.at), {}
        self.measured, self.lost, self.areas, self.joined = {}, {}, {}, 0
        self.idled = Odds(EDGES[::3], 4 * MEMORY)   # lost calls by idle time, of new connections none
        self.busy, self.watched, self.asks, self.failed = 0, None, 0, 0
        self.closing, self.handing = 1 << 63, False     # when legs end by a stop; whether none may leave
        self.nowhere = Destination(None)    # of all messages whose destination is not listed
        self.slots = terms.get("slots") or 1
        self.relays = max(1, terms.get("relays") or 1)
        self.phase = (terms.get("number") or 0) % self.relays / self.relays
        self.margin = 2 * (terms.get("tick") or 5 * MS)
        for name, told in terms.get("lanes", {}).items():
            self.lanes[name] = Lane(name, **told, calls=Histogram(EDGES, MEMORY))

    def start(self, now):
        if self.terms.get("ask"):
            self.plan_watch(now, 0)
        self.at(now + RENEW, self.rank)
        return self.said()

    def roster(self, now, scope, entries):
        if scope == "failed":
            self.watched, self.failed = None, self.failed + 1
            self.plan_watch(now, min(S << self.failed, self.terms.get("ask_within", 10 * S) / 3))
            return self.said()
        if scope != "saved":
            self.watched, self.failed = now, 0
        if scope != "changes":
            for host in self.hosts.values():
                host.active, host.listed, host.gone = False, False, host.gone or now
        for name, state, area, rate, kind, where in entries:
            host = self.hosts.get(name) or self.join(name, kind, where)
            host.active, host.area, host.rate = state == "ready", area, rate
            host.listed = host.active and name not in self.banned
            host.gone = (host.gone or now) if state == "gone" else None
        self.reroute(now)
        for host in list(self.hosts.values()):
            if host.gone and now - host.gone > FORGET and not host.legs:
                self.part(now, host)
        return self.said()

    def reroute(self, now):
        """Who may get new work is not who it was."""
        for dst in self.dsts.values():
            for rt in dst.routes:
                if rt.held and not any(host.listed for host in rt.hosts):
                    self.rebook(now, rt, True)
            stranded, dst.stranded = dst.stranded, []
            for msg in (msg for msg in stranded if not msg.over):
                self.book(now, msg)

    def ban(self, now, name, since):
        """Staff's word, whatever the list says: nothing new to that host until `lift`."""
        self.banned[name] = since
        self.log(f"host {name}: down by hand")
        if host := self.hosts.get(name):
            host.listed = False
            self.note_pace(host)
            self.reroute(now)
            self.acts.append(("close", name))
        return self.said()

    def lift(self, now, name):
        """It may serve again. It was restarted meanwhile: it returns as one that was out, however briefly."""
        since, host = self.banned.pop(name, now), self.hosts.get(name)
        self.log(f"host {name}: up by hand")
        if host:
            host.listed, host.trial, host.climb, host.aside, host.rest = host.active, True, now, now, now
            host.out = max(now - since, BRIEF + MS)
            self.reroute(now)
        return self.said()

    def knows(self, name):
        """Whether the list has, or a moment ago had, that host, or staff took it out."""
        return name in self.hosts or name in self.banned

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
                self.end(now, msg)

    def memory(self, now):
        """What the next life is told after the list, lest it burst upon hosts that push back or are out."""
        return [[host.name, parts(host, OF_HOST), parts(host.route, OF_ROUTE)]
                for host in self.hosts.values()
                if host.trial or host.climb or host.route.refused is not None or host.route.wait > now]

    def recall(self, now, told, at):
        """What was learned ages: a wait holds to its end, a budget relaxes, after a minute nothing binds."""
        age = max(0, now - at) if at else 0
        for name, of_host, of_route in told:
            if host := self.hosts.get(name):
                rt = host.route
                set_parts(rt, OF_ROUTE, of_route)
                rt.second, rt.used = rt.spent_from, rt.spent    # what left in this second counts in this life
                rt.headroom += max(0.0, MOST - rt.headroom) * min(1.0, age / FORGET)
                if age < FORGET:
                    set_parts(host, OF_HOST, of_host)
                else:
                    rt.refused, rt.learned, rt.usual = None, 0.0, 0.0
        return self.said()

    def take(self, now, name, where, lane, deadline, key=None, customer=None, again=False, legs=None):
        """`legs` are those of the earlier life that took it on: (host, sent at, ending); one still out then
        may have run, but where its ending is "out": that life is there yet, and its outcome will be told."""
        kept, legs = legs is not None, legs or ()
        lane = self.lanes.get(lane) or self.lanes.setdefault(lane, Lane(lane, calls=Histogram(EDGES, MEMORY)))
        dst = self.dsts.get(where, self.nowhere) if self.hosts else self.destination(where)
        deadline = min(deadline, now + (lane.deadline or 1 << 62))      # or odd ones would be kept for ever
        msg = self.open[name] = Message(name, dst, lane, deadline, key, customer, again)
        out = [(n, *leg) for n, leg in enumerate(legs) if leg[2] == "out" and leg[0] in self.hosts]
        sure, msg.sent = [n for n, *_ in out], len(legs)
        doubtful = [leg for n, leg in enumerate(legs) if leg[2] not in NEVER_RAN and n not in sure]
        if doubtful:
            msg.first, msg.ran, msg.last_host = doubtful[0][1], True, self.hosts.get(doubtful[-1][0])
            if msg.key and msg.lane.ordered:
                self.turns.setdefault(msg.key, Turn()).rest = now + self.terms.get("turn_gap", 0)
        for n, host, at, _ in out:
            self.count_out(Leg(msg, n, self.hosts[host], at, deadline, Call(self.hosts[host], at, 1)))
        self.at(deadline - self.margin, self.end, msg)
        self.at(self.late(msg), self.drop_late, msg)
        if (msg.out or self.admit(now, msg, kept)) and self.turn(now, msg) and not msg.out:
            self.book(now, msg)
        return self.said()

    def count_out(self, leg):
        msg, host, call = leg.msg, leg.host, leg.call
        if not call.left:
            self.busy, host.calls, host.route.calls = self.busy + 1, host.calls + 1, host.route.calls + 1
        call.left += 1
        self.legs[(msg.name, leg.n)] = host.legs[(msg.name, leg.n)] = leg
        msg.out, msg.last_host = msg.out + 1, host
        msg.first = msg.first if msg.first is not None else leg.at

    def withdraw(self, now, name):
        if name in self.open:
            self.finish(now, self.open[name])
        return self.said()

    def may_leave(self, now, name, n):
        """Asked when a call's connection is up: a wait, or a drain, may have been told since it was sent, and
        a repeat's window may have closed."""
        leg = self.legs.get((name, n))
        if leg is None or leg.msg.over or self.handing or now < leg.host.route.wait:
            return False
        first = leg.msg.out == 1 and not leg.msg.ran
        return leg.host.listed and (first or self.repeats(now, leg.msg))

    def hosts_seen(self, now):
        """(hosts on the list, those of them that get nothing new now)"""
        known = [host for host in self.hosts.values() if host.gone is None]
        return len(known), sum(not host.listed or host.trial and now < host.rest for host in known)

    def stop(self, now):
        """What can't be sent before the end is given back to other relays, where that is harmless."""
        self.closing, self.handing = now + LAST_SEND, False
        self.at(self.closing, self.give_back)
        self.at(now + LEAVE, lambda now: self.acts.append(("exit",)))
        return self.said()

    def hand_over(self, now):
        """A successor waits for all that is held: no leg leaves any more, and nothing is given back."""
        self.handing = True
        return self.said()

    def give_back(self, now):
        for msg in [msg for msg in self.open.values() if not msg.out and self.harmless(now, msg)]:
            self.end(now, msg)
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
            told, old = report["limit"], rt.reported    # noisy: smoothed, but nought, a first figure and one
            near = told and old and old / STEP < told < old * STEP              # far off count at once
            rt.reported = old + (told - old) * SMOOTH if near else told
        alone = ending == "full" and self.refusal(now, rt, wait)
        if ending == "delivered":
            host.times.add(took)
            self.areas.setdefault(host.area, Histogram(EDGES, MEMORY)).add(took)
            msg.lane.calls.add(took)
            rt.served.add(now)
            rt.before.add(now)
            self.overtake(now, host, leg)
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

    def overtake(self, now, host, back):
        """Guards against slots held until time-out by calls whose connection fell silent: later ones came
        back. Once a message, lest one that takes long anywhere never ends."""
        for leg in host.legs.values():
            leg.passed += leg.at < back.at
            if leg.passed == OVERTAKEN and not leg.n and leg.at < back.at:
                self.at(leg.at + int(TOO_SLOW * host.times.quantile(0.9)), self.give_up, leg)

    def give_up(self, now, leg):
        msg, alone = leg.msg, leg.call.size == 1 and self.legs.get((leg.msg.name, leg.n)) is leg
        if alone and not msg.over and self.terms.get("cancel") and self.may_send(now, msg):
            self.acts.append(("cancel", msg.name, leg.n))

    def settle(self, now):
        self.run_due(now)
        if now < self.closing and not self.handing:
            self.release(now)
        self.arm(now)
        return self.said()

    def watch(self, now, ask):
        """Asks until it is told; only the newest ask planned is made: no storm on a directory that fails."""
        if ask == self.asks and self.watched is None:
            self.acts.append(("watch", self.terms.get("ask_within", 10 * S) // WATCHES))
            self.plan_watch(now, self.terms.get("ask_within", 10 * S) / 3)

    def plan_watch(self, now, wait):
        self.asks += 1
        self.at(now + int(wait * self.draw(0.5, 1.0)), self.watch, self.asks)

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
            if rt.booked * GROWN < (self.budget(now, rt) or 0):
                self.rebook(now, rt)    # what was booked under a smaller budget would stay late
        self.at(now + RENEW, self.rank)

    def admit(self, now, msg, kept):
        """One destination may hold as much as is still free: its backlog must not shut out the others. `kept`
        from an earlier life: judged there, and all at one instant here, they would seem beyond any share."""
        quota = 0 if kept else self.terms.get("customers", {}).get(msg.customer, 0) / self.relays
        if quota:       # beyond its share a message is worth little: it may wait for its target time only
            at, left = self.shares.get(msg.customer, (now, 1 << 30))
            left = min(max(1.0, quota * SHARE_SPAN / S), left + quota * (now - at) / S)
            msg.over_share = left < 1
            self.shares[msg.customer] = now, left - (not msg.over_share)
        free = self.terms.get("room", 1 << 30) - len(self.open) - sum(len(rt.held) for rt in msg.dst.routes)
        if msg.dst is self.nowhere or now >= self.late(msg) or free < 0 and not kept:
            self.end(now, msg)
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
        """Cuts the budget, but where nothing was delivered since the last cut, and tells if so: who is shut
        refuses all, and that says nothing of the pace."""
        fresh = rt.refused is None or now - rt.cut >= S
        alone = fresh and rt.refused is not None and rt.cut > rt.heard
        if rt.refused is None or rt.reported == 0:
            rt.headroom, rt.learned = HEADROOM, max(LEAST, rt.served.most(now))
            if fresh:
                self.log(f"route {rt.index}: budget begins at {rt.headroom * self.limit(rt):.2f}/s")
        elif fresh and not alone:
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
        if due >= last or not self.may_send(due, msg):
            return self.end(now, msg)
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
        rt.booked = self.budget(now, rt) or 0.0
        for msg in moved:
            del rt.held[msg.name]
            msg.route = None
        for msg in sorted(moved, key=lambda msg: msg.seq):
            self.book(now, msg)

    # Release: a slot for those whose second has come, in booking order.

    def release(self, now):
        for rt, msg in self.lines.walk():
            if not self.may_send(now, msg):     # a window may close while a message waits for its slot
                self.end(now, msg)
            elif host := self.pick(now, rt, msg):
                self.send(now, msg, rt, host)

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
            second = now // S * S
            if second > rt.spent_from:
                paid = (self.budget(now, rt) or rt.spent) * (second - rt.spent_from) / S
                rt.spent_from, rt.spent = second, max(0.0, rt.spent - paid)
            rt.spent += 1
            if host.climb is not None:
                host.rest = now + max(self.spacing(now, host), LEAST_PATIENCE * host.trial)
        host.open_call.size += 1
        del rt.held[msg.name]
        msg.route = None
        self.count_out(Leg(msg, msg.sent, host, now, until, host.open_call))
        msg.sent += 1
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
        self.note_pace(host)
        host.trial, host.climb, host.aside, host.out = True, now, now, now - host.ill
        pause = self.spacing(now, host)
        least = min(ASIDE, pause // 2) if ending == "error" else ASIDE  # one that answers may deliver some
        host.rest = now + least + int(self.draw(0, max(least / 2, 2 * (pause - least))))
        if len(host.dst.routes) > 1:
            self.rebook(now, host.route, True)

    def note_pace(self, host):
        """What a host took before it is out is known to be within its limits, whatever these are."""
        if host.climb is None:
            host.route.usual = (host.route.before.last + host.route.before.count) * S / (2 * USUAL_SPAN)

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
        return msg.first is None or self.repeats(when, msg)

    def repeats(self, when, msg):
        """Whether a leg that leaves then is harmless beside one that may have run."""
        ends = msg.first + msg.lane.window - self.margin
        return msg.lane.effect == "retriable" or msg.lane.effect == "keyed" and when < ends

    def drop_late(self, now, msg):
        """Guards against sending what can no longer be delivered in time."""
        if now < self.late(msg):
            self.at(self.late(msg), self.drop_late, msg)
        elif not msg.out:
            self.end(now, msg)

    def harmless(self, now, msg):
        lane = msg.lane
        return msg.first is None or lane.effect == "retriable" or (
            lane.effect == "keyed" and lane.group == "all" and self.may_send(now, msg))

    def end(self, now, msg):
        """The one final answer: pushed back where trying again is harmless, failed else."""
        if msg.over:
            return
        if self.harmless(now, msg):
            stay = max((min(rt.second, rt.wait or rt.second) - now for rt in msg.dst.routes), default=S)
            self.acts.append(("push back", msg.name, max(0, min(stay, self.terms.get("stay_away", 0)))))
        else:
            self.acts.append(("fail", msg.name))
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
