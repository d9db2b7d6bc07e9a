"""The judge of a day: what broke a rule, from what passed on the wire alone. No socket, no clock.

It is fed the ledger's rows in order of time (`at`, nanoseconds) and knows nothing of what a relay thinks:

    hand      id n relay lane mark key dst until    a client wrote a message's last byte
    answer    id relay status after                 and read the relay's answer
    dropped   id relay why                          or gave the id up: what is sent under it counts no more
    call      c id relay host name dst mark began same      a call's last byte came, its first at `began`
    ran       c id mark                             the message took effect
    reply     c status wait relay dst host          the host wrote its answer
    broke     c by                                  the connection ended with no answer; by relay or host
    notice    id state after                        the platform took it
    changed   host status                           the directory's truth
    told      relay host status                     the directory wrote it to a relay
    asked     relay                                 a relay asked the directory
    relay     relay now                             started ready term kill exited paused goes-on wiped
    platform  now                                   notices-down notices-up directory-down directory-up
    fell      dst load known                        a destination that had returned fell over again
    late      by                                    the town itself was late

`broken` holds what was found, in order. A rule's time limits are 50 ms longer, for the way.
"""

import heapq
from collections import Counter
from typing import NamedTuple

from courseroute.checked import span
from courseroute.town.script import destinations

MS = 1_000_000
S = 1000 * MS
WAY = 50 * MS
END_WITHIN, AFTER_READY = 300 * MS, 1500 * MS
SOON = 100 * MS  # calls so soon after a told wait were on their way
NOTICE_WITHIN = 1000 * MS  # an end is on its way to the platform for so long
DELIVERED_READ = 100 * MS  # a delivery's answer may wait so long to be read
TOLD_WITHIN = 6 * S  # of a change, while the directory could be reached: then it counts as told
NEVER_RAN = (429, 503, 504, 410)
RULES = (
    "one final answer",
    "no effect twice",
    "drains kept",
    "cold returns",
    "order kept",
    "waits heeded",
    "unchanged",
)
LATE = 250 * MS  # a town later than that says nothing of the relays


class Broken(NamedTuple):
    rule: str
    at: int
    text: str


class Call:
    __slots__ = ("c", "id", "relay", "host", "began", "at", "status", "ended")

    def __init__(self, row):
        self.c, self.id, self.relay, self.host = row["c"], row["id"], row["relay"], row["name"]
        self.began, self.at, self.status, self.ended = row["began"], row["at"], None, None

    @property
    def may_have_run(self):
        return self.status not in NEVER_RAN


class Outage:
    """A time in which a relay was down for a restart, or stood still; `back` is None until it is over."""

    __slots__ = ("begin", "back", "is_restart")

    def __init__(self, begin):
        self.begin, self.back, self.is_restart = begin, None, False

    @property
    def allowed(self):
        """How long behind it an end may come that was due meanwhile."""
        return AFTER_READY if self.is_restart else END_WITHIN


class Message:
    """One id: handed in once, to one relay."""

    __slots__ = (
        "id",
        "n",
        "relay",
        "lane",
        "mark",
        "key",
        "dst",
        "until",
        "at",
        "taken",
        "refused",
        "dropped",
        "delivered",
        "ends",
        "calls",
        "effects",
        "excused",
    )

    def __init__(self, row):
        self.id, self.n, self.relay, self.lane = row["id"], row["n"], row["relay"], row["lane"]
        self.mark, self.key, self.dst, self.until, self.at = (
            row["mark"],
            row["key"],
            row["dst"],
            row["until"],
            row["at"],
        )
        self.taken = self.refused = self.delivered = None  # times
        self.dropped = self.excused = False
        self.ends, self.calls, self.effects = [], [], 0  # ends: (state, at) by notices

    @property
    def over_at(self):
        times = [at for at in (self.delivered, self.refused, *(at for _, at in self.ends)) if at is not None]
        return min(times, default=None)


class Judge:
    def __init__(self, day):
        self.day, self.broken = day, []
        self.lanes = day.lanes
        self.grace, self.ask_within, self.gap = (
            span(day.rules.drain_grace),
            span(day.rules.ask_within),
            span(day.rules.turn_gap) or 0,
        )
        self.windows = {name: span(lane.window) for name, lane in day.lanes.items()}
        self.messages, self.calls, self.due = {}, {}, []
        self.told, self.changed, self.asked = {}, {}, {}
        self.waits = {}  # (relay, route) -> (from, until)
        self.apart = {name for name, form in day.kinds.items() if form.apart}
        self.apart_dst = set()  # numbers of destinations whose hosts are routes of their own
        self.down, self.notices_down, self.notices_up = {}, None, 0
        self.directory_outages = []  # [from, until or None]
        self.outs = {}  # relay -> its Outages
        self.turns = {}  # (relay, key) -> messages in the order taken
        self.rested = {}  # (relay, key) -> (whose leg ended unknown, end of the rest)
        self.areas = {host.name: host.area for place in destinations(day) for host in place.hosts}
        self.late, self.now, self.ticket, self.counts = 0, 0, 0, Counter()

    def feed(self, row):
        self.now = max(self.now, row["at"])
        self.run_due(row["at"])
        getattr(self, "on_" + row["what"], self.ignore)(row)

    def ignore(self, row):
        pass

    def found(self, rule, at, text):
        self.broken.append(Broken(rule, at, text))

    def finish(self):
        """No more rows come: what is seen is judged as it stands, an end not due yet is not missed."""
        self.run_due(self.now)
        for at, _, check, told in sorted(self.due):
            if check != self.check_ended:
                check(at, *told)
        self.due.clear()

    def open(self):
        """How many messages are taken on and have no end."""
        return sum(
            msg.taken is not None and msg.over_at is None and not (msg.excused or msg.dropped)
            for msg in self.messages.values()
        )

    @property
    def void(self):
        return self.late > LATE

    # Clients.

    def on_hand(self, row):
        if row["id"] not in self.messages:  # once more on a new connection: the same message
            self.messages[row["id"]] = Message(row)
        self.counts["handed in"] += 1

    def on_answer(self, row):
        msg = self.messages[row["id"]]
        if row["status"] in (200, 202):
            msg.taken = row["at"]
            self.counts["taken on"] += 1
            self.later(msg.until + END_WITHIN + WAY, self.check_ended, msg)
            if self.lanes[msg.lane].ordered and msg.key:
                self.turns.setdefault((msg.relay, msg.key), []).append(msg)
        else:
            msg.refused = row["at"]
            if row["status"] in (429, 503):
                self.pushed_back(msg, row["at"])
            self.counts["pushed back" if row["status"] in (429, 503) else "turned down"] += 1

    def on_dropped(self, row):
        if row["id"] in self.messages:  # else its connection never came up
            self.messages[row["id"]].dropped = True
        self.counts["given up: " + row["why"]] += 1

    def on_notice(self, row):
        msg = self.messages.get(row["id"])
        if msg is None:
            return self.found("one final answer", row["at"], f"a notice for {row['id']}: nobody handed it in")
        other = next((state for state, _ in msg.ends if state != row["state"]), None)
        if other and msg.delivered is None:
            self.found("one final answer", row["at"], f"{msg.id} ended {other}, then {row['state']}")
        if msg.delivered is None and not msg.ends:
            self.counts[row["state"]] += 1
            if row["state"] == "returned":
                self.pushed_back(msg, row["at"])
        msg.ends.append((row["state"], row["at"]))

    def pushed_back(self, msg, at):
        """It says that trying again is harmless."""
        lane, legs = self.lanes[msg.lane], [call for call in msg.calls if call.may_have_run]
        if msg.dropped or not legs or lane.effect == "retriable":
            return
        if lane.effect == "non-retriable" or lane.group != "all":
            self.found("no effect twice", at, f"{msg.id} ({msg.lane}) was pushed back though it may have run")

    # Calls.

    def on_call(self, row):
        msg, call = self.messages.get(row["id"]), Call(row)
        if msg is None or row["dst"] != msg.dst or not row["same"] or row["mark"] != msg.mark:
            what = (
                "nobody handed it in"
                if msg is None
                else "it goes elsewhere"
                if row["dst"] != msg.dst
                else "it was changed"
            )
            return self.found("unchanged", row["at"], f"a call for {row['id']} to {row['name']}: {what}")
        self.calls[call.c] = call, msg
        self.counts["calls"] += 1
        self.check_drain(call)
        self.check_wait(call, row["dst"])
        if not msg.dropped:
            self.check_end(call, msg)
            self.check_repeat(call, msg)
            if self.lanes[msg.lane].ordered and msg.key:
                self.check_turn(call, msg)
        msg.calls.append(call)

    def check_drain(self, call):
        if self.grace is None or call.host not in self.changed:
            return
        changed = self.changed[call.host]
        told = self.told.get((call.relay, call.host))
        if self.ask_within is not None:  # silence towards the directory counts as told
            silent = max(changed, self.asked.get(call.relay, changed) + self.ask_within)
            told = silent if told is None else min(told, silent)
        if (latest := self.told_at_the_latest(changed)) is not None:
            told = latest if told is None else min(told, latest)
        if told is not None and call.began > told + self.grace + WAY:
            self.found(
                "drains kept",
                call.at,
                f"{call.relay} sent {call.id} to {call.host} "
                f"{(call.began - told) // MS} ms after it was told",
            )

    def told_at_the_latest(self, changed):
        """When a change counts as told to all; None while the directory is down, before it does."""
        since = changed
        for begin, end in self.directory_outages:
            if since + TOLD_WITHIN <= begin:
                break
            if end is None:
                return None
            since = max(since, end)
        return since + TOLD_WITHIN

    def check_wait(self, call, dst):
        begin, until = self.waits.get((call.relay, call.host if dst in self.apart_dst else dst), (0, 0))
        if begin + SOON + WAY < call.at < until - MS:
            self.found(
                "waits heeded",
                call.at,
                f"{call.relay} sent {call.id} to {call.host} "
                f"{(until - call.at) // MS} ms before the wait was over",
            )

    def check_end(self, call, msg):
        over = msg.over_at
        if over is None or call.began <= over + WAY:
            return
        if over == msg.delivered and (
            call.began <= over + DELIVERED_READ or self.was_out(msg.relay, over - DELIVERED_READ, call.began)
        ):
            return  # the relay ended, or stood still, before it read the delivery
        self.found(
            "one final answer",
            call.at,
            f"{msg.id} was sent to {call.host} {(call.began - over) // MS} ms after its end",
        )

    def check_repeat(self, call, msg):
        lane, legs = self.lanes[msg.lane], [leg for leg in msg.calls if leg.may_have_run]
        if not legs or lane.effect == "retriable":
            return
        if lane.effect == "non-retriable":
            self.found(
                "no effect twice", call.at, f"{msg.id} ({msg.lane}) got a further leg though it may have run"
            )
        elif lane.group == "zone" and self.area(call) != self.area(legs[0]):
            self.found(
                "no effect twice",
                call.at,
                f"{msg.id} ({msg.lane}) went on to {call.host}, where its " f"key is not known",
            )
        elif call.at > legs[0].at + self.windows[msg.lane] + WAY:
            self.found(
                "no effect twice",
                call.at,
                f"{msg.id} ({msg.lane}) came again "
                f"{(call.at - legs[0].at) // MS} ms later, when its key was forgotten",
            )

    def area(self, call):
        return self.areas.get(call.host.partition("+")[0])

    def check_turn(self, call, msg):
        """The message that has the turn may be tried again without a rest; what a relay took in an earlier
        life has no place in line."""
        turn = msg.relay, msg.key
        for other in self.turns.get(turn, ()):
            if other is msg or other.dropped or other.over_at is not None and other.over_at <= call.began:
                continue
            if any(leg.ended is None and leg.began < call.began for leg in other.calls) and not (
                self.was_out(msg.relay, other.at, call.began)
            ):
                self.found("order kept", call.at, f"{msg.id} was sent while a leg of {other.id} was out")
            elif other.taken < msg.at and not self.was_out(msg.relay, other.at, call.began):
                self.later(call.at + NOTICE_WITHIN, self.check_over, call, msg, other)
        first, until = self.rested.get(turn, (None, 0))
        if first is not msg and call.began + WAY < until:
            self.found("order kept", call.at, f"{msg.id} was sent before {msg.key} had rested")

    def check_over(self, now, call, msg, other):
        """An end may be on its way to the platform when the next message of the key is sent."""
        if other.over_at is None or other.over_at > call.began + NOTICE_WITHIN:
            if self.notices_down is None and self.notices_up < call.began:
                self.found(
                    "order kept",
                    call.at,
                    f"{msg.id} was sent while {other.id} of {msg.key}, taken before it, was not over",
                )

    def on_ran(self, row):
        call, msg = self.calls.get(row["c"], (None, None))
        if msg is None:
            return
        msg.effects += 1
        if msg.effects > 1 and self.lanes[msg.lane].effect != "retriable" and not msg.dropped:
            self.found("no effect twice", row["at"], f"{msg.id} ({msg.lane}) took effect {msg.effects} times")

    def on_reply(self, row):
        call, msg = self.calls.get(row["c"], (None, None))
        if msg is None:
            return
        call.status, call.ended = row["status"], row["at"]
        if row["status"] == 200 and msg.delivered is None:
            msg.delivered = row["at"]
            self.counts["delivered"] += not msg.ends
        if row["status"] in NEVER_RAN:
            self.counts["refused"] += 1
        if row["wait"]:
            self.waits[(row["relay"], row["name"] if row["dst"] in self.apart_dst else row["dst"])] = (
                row["at"],
                row["at"] + row["wait"],
            )

    def on_broke(self, row):
        call, msg = self.calls.get(row["c"], (None, None))
        if msg is None:
            return
        call.ended = row["at"]
        out = self.was_out(msg.relay, row["at"] - WAY, row["at"])
        if self.lanes[msg.lane].ordered and msg.key and not out:
            self.rested[(msg.relay, msg.key)] = msg, row["at"] + self.gap

    # The directory, the platform, the relays, the town.

    def on_changed(self, row):
        if row["status"] != "active":
            self.changed.setdefault(row["host"], row["at"])
        else:
            self.changed.pop(row["host"], None)
            for pair in [pair for pair in self.told if pair[1] == row["host"]]:
                del self.told[pair]

    def on_told(self, row):
        if row["status"] != "active":
            self.told.setdefault((row["relay"], row["host"]), row["at"])

    def on_asked(self, row):
        self.asked[row["relay"]] = row["at"]

    def on_platform(self, row):
        if row["now"] == "directory-down":
            self.directory_outages.append([row["at"], None])
        elif row["now"] == "directory-up":
            self.directory_outages[-1][1] = row["at"]
        elif row["now"] == "notices-down":
            self.notices_down = row["at"]
        elif row["now"] == "notices-up":
            self.notices_down, self.notices_up = None, row["at"]

    def on_relay(self, row):
        relay, what = row["relay"], row["now"]
        outs = self.outs.setdefault(relay, [])
        out = outs[-1] if outs and outs[-1].back is None else None
        if what in ("term", "kill"):
            if out is None:
                outs.append(out := Outage(row["at"]))
            out.is_restart = True
        elif what == "paused" and out is None:
            outs.append(Outage(row["at"]))
        elif out and (what == "ready" or what == "goes-on" and not out.is_restart):
            out.back = row["at"]
        if what in ("kill", "ready"):
            for turn in [turn for turn in self.turns if turn[0] == relay]:
                del self.turns[turn]
        if what == "ready":
            for pair in [pair for pair in self.waits if pair[0] == relay]:
                del self.waits[pair]
        if what == "wiped":  # the machine with its folder is gone: what it held is owed no more
            for msg in self.messages.values():
                if msg.relay == relay and msg.at <= row["at"]:
                    msg.excused = True
        if what == "crashed":
            self.found("one final answer", row["at"], f"{relay} ended by itself: {row['text']}")

    def on_fell(self, row):
        self.counts["fell over"] += 1
        if row["load"] and row["known"] * 3 >= row["load"] * 2:
            self.found(
                "cold returns",
                row["at"],
                f"{row['dst']} fell over again: {row['known']} of "
                f"{row['load']} calls came from relays that had seen its outage",
            )

    def on_late(self, row):
        self.late = max(self.late, row["by"])

    def was_out(self, relay, since, until):
        """Whether the relay was down, or stood still, at some time between."""
        return any(
            out.begin <= until and (out.back is None or out.back >= since) for out in self.outs.get(relay, ())
        )

    # What is judged later than it is seen.

    def later(self, at, check, *told):
        self.ticket += 1
        heapq.heappush(self.due, (at, self.ticket, check, told))

    def run_due(self, now):
        while self.due and self.due[0][0] <= now:
            at, _, check, told = heapq.heappop(self.due)
            check(at, *told)

    def check_ended(self, at, msg):
        if msg.over_at is not None or msg.excused or msg.dropped:
            return
        if (later := self.excuse(msg.relay, at)) is None:
            return  # its relay was still away when the day ended
        if later > at:
            self.later(later, self.check_ended, msg)
        else:
            self.found(
                "one final answer",
                at,
                f"{msg.id} ({msg.lane}) was taken on by {msg.relay} and got "
                f"no end within its time; {len(msg.calls)} calls",
            )

    def excuse(self, relay, at):
        """When an end that is due now is overdue: no sooner than 1.5 s after its relay is back from a
        restart, 0.3 s where it was only held up."""
        for out in self.outs.get(relay, ()):
            if out.begin <= at and out.back is None:
                return None if at >= self.now else at + S // 10
            if out.back is not None and out.begin <= at < out.back + out.allowed + WAY:
                at = out.back + out.allowed + WAY
        if self.notices_down is not None:
            return None if at >= self.now else at + S // 10
        return self.notices_up + S if at < self.notices_up + S and self.notices_up else at
