"""Checks a day's ledger against the rules, using only what was seen on the wire. No socket, no clock.

The rows are fed in order of their time (`at`, nanoseconds); a relay's internal state is not consulted:

    hand      id n relay lane mark key dst until    a client wrote the last byte of a message
    answer    id relay status after                 the client read the relay's answer
    dropped   id relay why                          the client abandoned the id; its calls are not checked
    call      c id relay host name dst mark began same      a host read a call; its first byte at `began`
    ran       c id mark                             the host executed the call
    reply     c status wait relay dst host          the host wrote its answer
    broke     c by                                  the connection ended without an answer; by relay or host
    notice    id state after                        the platform accepted a final status
    changed   host status                           the directory changed a host's status
    told      relay host status                     the directory sent that status to a relay
    asked     relay                                 a relay requested the endpoint list
    relay     relay now                             started ready term kill exited paused goes-on wiped
    platform  now                                   notices-down notices-up directory-down directory-up
    fell      dst load known                        a recovering destination was overloaded again
    late      by                                    the emulator itself was late by so many nanoseconds

`broken` holds the violations in the order in which they were found. Every time limit is 50 ms longer than the
rule's own, to allow for the network.
"""

import heapq
from collections import Counter
from typing import NamedTuple

from courseroute.checked import span
from courseroute.emulator.scenario import destinations

MS = 1_000_000
S = 1000 * MS
NETWORK_ALLOWANCE = 50 * MS  # added to every time limit
# Time for a final answer after the deadline or a relay's pause, and after a restarted relay is ready.
FINAL_ANSWER_WITHIN, FINAL_ANSWER_AFTER_RESTART = 300 * MS, 1500 * MS
WAIT_NOT_YET_KNOWN = 100 * MS  # a call this soon after a wait was requested was already in flight
NOTICE_DELIVERY_WITHIN = 1000 * MS  # time for a final status to reach the platform
ANSWER_READ_WITHIN = 100 * MS  # a relay may take this long to read the answer of a successful delivery
# Relays must know a change of the endpoint list by then; the time counts while the directory is reachable.
LIST_CHANGE_KNOWN_WITHIN = 6 * S
NOT_EXECUTED = (429, 503, 504, 410)  # statuses that guarantee that the message was not executed
RULES = (
    "one final answer",
    "no effect twice",
    "drains kept",
    "cold returns",
    "order kept",
    "waits heeded",
    "unchanged",
)
MAX_EMULATOR_DELAY = 250 * MS  # if the emulator ran later than this, the day's verdict is void


class Violation(NamedTuple):
    """One broken rule, found at `at` nanoseconds."""

    rule: str
    at: int
    text: str


class Call:
    """One attempt to deliver a message, as its host received it."""

    __slots__ = ("c", "id", "relay", "host", "first_byte_at", "received_at", "status", "ended_at")

    def __init__(self, row):
        self.c, self.id, self.relay, self.host = row["c"], row["id"], row["relay"], row["name"]
        self.first_byte_at, self.received_at, self.status, self.ended_at = row["began"], row["at"], None, None

    @property
    def may_have_run(self):
        """Whether the host may have executed the message, judging by its status (None: no answer)."""
        return self.status not in NOT_EXECUTED


class Downtime:
    """A period in which a relay was restarting or paused; `end` is None while it lasts."""

    __slots__ = ("begin", "end", "is_restart")

    def __init__(self, begin):
        self.begin, self.end, self.is_restart = begin, None, False

    @property
    def allowed(self):
        """Time after the downtime in which final answers that fell due during it may still arrive."""
        return FINAL_ANSWER_AFTER_RESTART if self.is_restart else FINAL_ANSWER_WITHIN


class Message:
    """One message id, submitted to one relay. Its times are nanoseconds, None until the event occurs."""

    __slots__ = (
        "id",
        "n",
        "relay",
        "lane",
        "idempotency_key",
        "ordering_key",
        "destination",
        "deadline",
        "submitted_at",
        "accepted_at",
        "rejected_at",
        "abandoned",
        "delivered_at",
        "final_answers",
        "calls",
        "executions",
        "lost_with_relay",
    )

    def __init__(self, row):
        self.id, self.n, self.relay, self.lane = row["id"], row["n"], row["relay"], row["lane"]
        self.idempotency_key, self.ordering_key, self.destination, self.deadline, self.submitted_at = (
            row["mark"],
            row["key"],
            row["dst"],
            row["until"],
            row["at"],
        )
        self.accepted_at = self.rejected_at = self.delivered_at = None
        self.abandoned = self.lost_with_relay = False
        self.final_answers, self.calls, self.executions = [], [], 0  # final_answers: (state, time) of notices

    @property
    def closed_at(self):
        """When the message was first delivered, rejected or reported as ended; None while it is open."""
        times = [
            at
            for at in (self.delivered_at, self.rejected_at, *(at for _, at in self.final_answers))
            if at is not None
        ]
        return min(times, default=None)


class Judge:
    """Checks one day's ledger while it is written: `feed` it each row in order, then `finish`."""

    def __init__(self, day):
        self.day, self.broken = day, []
        self.lanes = day.lanes
        self.drain_grace, self.ask_within, self.turn_gap = (
            span(day.rules.drain_grace),
            span(day.rules.ask_within),
            span(day.rules.turn_gap) or 0,
        )
        self.key_windows = {name: span(lane.window) for name, lane in day.lanes.items()}
        self.messages, self.calls, self.pending_checks = {}, {}, []
        self.announced, self.unavailable_since, self.last_list_request = {}, {}, {}
        self.retry_waits = {}  # (relay, destination number or host name) -> (from, until)
        self.per_host_kinds = {name for name, form in day.kinds.items() if form.apart}
        self.per_host_destinations = set()  # numbers of destinations whose waits hold for each host by itself
        self.down, self.notices_down_since, self.notices_up_at = {}, None, 0
        self.directory_outages = []  # [from, until or None]
        self.downtimes = {}  # relay -> its Downtimes
        self.ordered_messages = {}  # (relay, ordering key) -> messages in the order they were accepted
        self.key_pauses = {}  # (relay, ordering key) -> (message whose attempt broke off, end of the pause)
        self.host_areas = {
            host.name: host.area for destination in destinations(day) for host in destination.hosts
        }
        self.max_delay, self.now, self.sequence, self.counts = 0, 0, 0, Counter()

    def feed(self, row):
        """Checks the next row of the ledger; rows of unknown kinds are ignored."""
        self.now = max(self.now, row["at"])
        self.run_due_checks(row["at"])
        getattr(self, "on_" + row["what"], self.ignore)(row)

    def ignore(self, row):
        pass

    def report_violation(self, rule, at, text):
        self.broken.append(Violation(rule, at, text))

    def finish(self):
        """Runs the pending checks after the last row; final answers that are not due yet are not missed."""
        self.run_due_checks(self.now)
        for at, _, check, args in sorted(self.pending_checks):
            if check != self.check_final_answer:
                check(at, *args)
        self.pending_checks.clear()

    def open(self):
        """The number of messages that a relay accepted and that have no final answer yet."""
        return sum(
            msg.accepted_at is not None
            and msg.closed_at is None
            and not (msg.lost_with_relay or msg.abandoned)
            for msg in self.messages.values()
        )

    @property
    def void(self):
        """Whether the emulator was too late for the day to say anything about the relays."""
        return self.max_delay > MAX_EMULATOR_DELAY

    # Rows of the clients.

    def on_hand(self, row):
        if row["id"] not in self.messages:  # else it was written again on a new connection
            self.messages[row["id"]] = Message(row)
        self.counts["handed in"] += 1

    def on_answer(self, row):
        msg = self.messages[row["id"]]
        if row["status"] in (200, 202):
            msg.accepted_at = row["at"]
            self.counts["taken on"] += 1
            self.schedule_check(
                msg.deadline + FINAL_ANSWER_WITHIN + NETWORK_ALLOWANCE, self.check_final_answer, msg
            )
            if self.lanes[msg.lane].ordered and msg.ordering_key:
                self.ordered_messages.setdefault((msg.relay, msg.ordering_key), []).append(msg)
        else:
            msg.rejected_at = row["at"]
            if row["status"] in (429, 503):
                self.check_rejection(msg, row["at"])
            self.counts["pushed back" if row["status"] in (429, 503) else "turned down"] += 1

    def on_dropped(self, row):
        if row["id"] in self.messages:  # else its connection was never established
            self.messages[row["id"]].abandoned = True
        self.counts["given up: " + row["why"]] += 1

    def on_notice(self, row):
        msg = self.messages.get(row["id"])
        if msg is None:
            return self.report_violation(
                "one final answer", row["at"], f"notice for {row['id']}, which no client submitted"
            )
        other = next((state for state, _ in msg.final_answers if state != row["state"]), None)
        if other and msg.delivered_at is None:
            self.report_violation(
                "one final answer", row["at"], f"{msg.id} was reported {other}, then {row['state']}"
            )
        if msg.delivered_at is None and not msg.final_answers:
            self.counts[row["state"]] += 1
            if row["state"] == "returned":
                self.check_rejection(msg, row["at"])
        msg.final_answers.append((row["state"], row["at"]))

    def check_rejection(self, msg, at):
        """A pushback says that submitting again is harmless, so no attempt may have been executed."""
        lane, attempts = self.lanes[msg.lane], [call for call in msg.calls if call.may_have_run]
        if msg.abandoned or not attempts or lane.effect == "retriable":
            return
        if lane.effect == "non-retriable" or lane.group != "all":
            self.report_violation(
                "no effect twice",
                at,
                f"{msg.id} ({msg.lane}) was pushed back although it may have been executed",
            )

    # Rows of the hosts.

    def on_call(self, row):
        msg, call = self.messages.get(row["id"]), Call(row)
        if (
            msg is None
            or row["dst"] != msg.destination
            or not row["same"]
            or row["mark"] != msg.idempotency_key
        ):
            what = (
                "no client submitted it"
                if msg is None
                else "it belongs to another destination"
                if row["dst"] != msg.destination
                else "its key or body was changed"
            )
            return self.report_violation(
                "unchanged", row["at"], f"call for {row['id']} to {row['name']}: {what}"
            )
        self.calls[call.c] = call, msg
        self.counts["calls"] += 1
        self.check_drain(call)
        self.check_retry_wait(call, row["dst"])
        if not msg.abandoned:
            self.check_call_after_end(call, msg)
            self.check_repeat(call, msg)
            if self.lanes[msg.lane].ordered and msg.ordering_key:
                self.check_order(call, msg)
        msg.calls.append(call)

    def check_drain(self, call):
        if self.drain_grace is None or call.host not in self.unavailable_since:
            return
        changed = self.unavailable_since[call.host]
        known = self.announced.get((call.relay, call.host))
        if self.ask_within is not None:  # a relay that stops requesting the list is treated as informed
            silent = max(changed, self.last_list_request.get(call.relay, changed) + self.ask_within)
            known = silent if known is None else min(known, silent)
        if (latest := self.change_known_at(changed)) is not None:
            known = latest if known is None else min(known, latest)
        if known is not None and call.first_byte_at > known + self.drain_grace + NETWORK_ALLOWANCE:
            self.report_violation(
                "drains kept",
                call.received_at,
                f"{call.relay} sent {call.id} to {call.host} "
                f"{(call.first_byte_at - known) // MS} ms after it had to know that the host is unavailable",
            )

    def change_known_at(self, changed):
        """When all relays must know of a change; None while a directory outage keeps that time open."""
        since = changed
        for begin, end in self.directory_outages:
            if since + LIST_CHANGE_KNOWN_WITHIN <= begin:
                break
            if end is None:
                return None
            since = max(since, end)
        return since + LIST_CHANGE_KNOWN_WITHIN

    def check_retry_wait(self, call, dst):
        begin, until = self.retry_waits.get(
            (call.relay, call.host if dst in self.per_host_destinations else dst), (0, 0)
        )
        if begin + WAIT_NOT_YET_KNOWN + NETWORK_ALLOWANCE < call.received_at < until - MS:
            self.report_violation(
                "waits heeded",
                call.received_at,
                f"{call.relay} sent {call.id} to {call.host} "
                f"{(until - call.received_at) // MS} ms before the requested wait was over",
            )

    def check_call_after_end(self, call, msg):
        over = msg.closed_at
        if over is None or call.first_byte_at <= over + NETWORK_ALLOWANCE:
            return
        if over == msg.delivered_at and (
            call.first_byte_at <= over + ANSWER_READ_WITHIN
            or self.was_restarted(msg.relay, over - ANSWER_READ_WITHIN, call.first_byte_at)
        ):
            return  # the relay had no time to read the answer of the delivery; a pause leaves it to be read
        self.report_violation(
            "one final answer",
            call.received_at,
            f"{msg.id} was sent to {call.host} {(call.first_byte_at - over) // MS} ms after its final answer",
        )

    def check_repeat(self, call, msg):
        lane, attempts = self.lanes[msg.lane], [attempt for attempt in msg.calls if attempt.may_have_run]
        if not attempts or lane.effect == "retriable":
            return
        if lane.effect == "non-retriable":
            self.report_violation(
                "no effect twice",
                call.received_at,
                f"{msg.id} ({msg.lane}) was sent again although it may have been executed",
            )
        elif lane.group == "zone" and self.area_of(call) != self.area_of(attempts[0]):
            self.report_violation(
                "no effect twice",
                call.received_at,
                f"{msg.id} ({msg.lane}) was sent again to {call.host}, which does not know its key",
            )
        elif call.received_at > attempts[0].received_at + self.key_windows[msg.lane] + NETWORK_ALLOWANCE:
            self.report_violation(
                "no effect twice",
                call.received_at,
                f"{msg.id} ({msg.lane}) was sent again after "
                f"{(call.received_at - attempts[0].received_at) // MS} ms, when its key had expired",
            )

    def area_of(self, call):
        return self.host_areas.get(call.host.partition("+")[0])

    def check_order(self, call, msg):
        """No message may be sent while one accepted before it with the same ordering key is open, nor within
        `turn_gap` of a broken-off attempt of another message. Messages accepted before a relay's restart are
        not ordered."""
        turn = msg.relay, msg.ordering_key
        for other in self.ordered_messages.get(turn, ()):
            if (
                other is msg
                or other.abandoned
                or other.closed_at is not None
                and other.closed_at <= call.first_byte_at
            ):
                continue
            if any(
                attempt.ended_at is None and attempt.first_byte_at < call.first_byte_at
                for attempt in other.calls
            ) and not (self.was_unavailable(msg.relay, other.submitted_at, call.first_byte_at)):
                self.report_violation(
                    "order kept", call.received_at, f"{msg.id} was sent during an attempt of {other.id}"
                )
            elif other.accepted_at < msg.submitted_at and not self.was_unavailable(
                msg.relay, other.submitted_at, call.first_byte_at
            ):
                self.schedule_check(
                    call.received_at + NOTICE_DELIVERY_WITHIN, self.check_predecessor_closed, call, msg, other
                )
        first, until = self.key_pauses.get(turn, (None, 0))
        if first is not msg and call.first_byte_at + NETWORK_ALLOWANCE < until:
            self.report_violation(
                "order kept",
                call.received_at,
                f"{msg.id} was sent during the pause of key {msg.ordering_key}",
            )

    def check_predecessor_closed(self, now, call, msg, other):
        """The final answer of `other` may still be in flight to the platform when the next message of its
        ordering key is sent, so this is checked later than the call."""
        if other.closed_at is None or other.closed_at > call.first_byte_at + NOTICE_DELIVERY_WITHIN:
            if self.notices_down_since is None and self.notices_up_at < call.first_byte_at:
                self.report_violation(
                    "order kept",
                    call.received_at,
                    f"{msg.id} was sent while {other.id}, accepted before it with key {msg.ordering_key}, "
                    "was open",
                )

    def on_ran(self, row):
        call, msg = self.calls.get(row["c"], (None, None))
        if msg is None:
            return
        msg.executions += 1
        if msg.executions > 1 and self.lanes[msg.lane].effect != "retriable" and not msg.abandoned:
            self.report_violation(
                "no effect twice", row["at"], f"{msg.id} ({msg.lane}) was executed {msg.executions} times"
            )

    def on_reply(self, row):
        call, msg = self.calls.get(row["c"], (None, None))
        if msg is None:
            return
        call.status, call.ended_at = row["status"], row["at"]
        if row["status"] == 200 and msg.delivered_at is None:
            msg.delivered_at = row["at"]
            self.counts["delivered"] += not msg.final_answers
        if row["status"] in NOT_EXECUTED:
            self.counts["refused"] += 1
        if row["wait"]:
            self.retry_waits[
                (row["relay"], row["name"] if row["dst"] in self.per_host_destinations else row["dst"])
            ] = (
                row["at"],
                row["at"] + row["wait"],
            )

    def on_broke(self, row):
        call, msg = self.calls.get(row["c"], (None, None))
        if msg is None:
            return
        call.ended_at = row["at"]
        unavailable = self.was_unavailable(msg.relay, row["at"] - NETWORK_ALLOWANCE, row["at"])
        if self.lanes[msg.lane].ordered and msg.ordering_key and not unavailable:
            self.key_pauses[(msg.relay, msg.ordering_key)] = msg, row["at"] + self.turn_gap

    # Rows of the directory, the platform, the relays and the emulator.

    def on_changed(self, row):
        if row["status"] != "active":
            self.unavailable_since.setdefault(row["host"], row["at"])
        else:
            self.unavailable_since.pop(row["host"], None)
            for pair in [pair for pair in self.announced if pair[1] == row["host"]]:
                del self.announced[pair]

    def on_told(self, row):
        if row["status"] != "active":
            self.announced.setdefault((row["relay"], row["host"]), row["at"])

    def on_asked(self, row):
        self.last_list_request[row["relay"]] = row["at"]

    def on_platform(self, row):
        if row["now"] == "directory-down":
            self.directory_outages.append([row["at"], None])
        elif row["now"] == "directory-up":
            self.directory_outages[-1][1] = row["at"]
        elif row["now"] == "notices-down":
            self.notices_down_since = row["at"]
        elif row["now"] == "notices-up":
            self.notices_down_since, self.notices_up_at = None, row["at"]

    def on_relay(self, row):
        relay, what = row["relay"], row["now"]
        downtimes = self.downtimes.setdefault(relay, [])
        downtime = downtimes[-1] if downtimes and downtimes[-1].end is None else None
        if what in ("term", "kill"):
            if downtime is None:
                downtimes.append(downtime := Downtime(row["at"]))
            downtime.is_restart = True
        elif what == "paused" and downtime is None:
            downtimes.append(Downtime(row["at"]))
        elif downtime and (what == "ready" or what == "goes-on" and not downtime.is_restart):
            downtime.end = row["at"]
        if what in ("kill", "ready"):
            for turn in [turn for turn in self.ordered_messages if turn[0] == relay]:
                del self.ordered_messages[turn]
        if what == "ready":
            for pair in [pair for pair in self.retry_waits if pair[0] == relay]:
                del self.retry_waits[pair]
        if what == "wiped":  # its folder is lost, so nothing that it held needs a final answer any more
            for msg in self.messages.values():
                if msg.relay == relay and msg.submitted_at <= row["at"]:
                    msg.lost_with_relay = True
        if what == "crashed":
            self.report_violation("one final answer", row["at"], f"{relay} ended unexpectedly: {row['text']}")

    def on_fell(self, row):
        self.counts["fell over"] += 1
        if row["load"] and row["known"] * 3 >= row["load"] * 2:
            self.report_violation(
                "cold returns",
                row["at"],
                f"{row['dst']} was overloaded again: {row['known']} of "
                f"{row['load']} calls came from relays that had seen its outage",
            )

    def on_late(self, row):
        self.max_delay = max(self.max_delay, row["by"])

    def was_unavailable(self, relay, since, until):
        """Whether the relay was restarting or paused at any time between `since` and `until`."""
        return bool(self.downtimes_between(relay, since, until))

    def was_restarted(self, relay, since, until):
        """Whether the relay was restarting at any time between `since` and `until`."""
        return any(downtime.is_restart for downtime in self.downtimes_between(relay, since, until))

    def downtimes_between(self, relay, since, until):
        return [
            downtime
            for downtime in self.downtimes.get(relay, ())
            if downtime.begin <= until and (downtime.end is None or downtime.end >= since)
        ]

    # Deferred checks.

    def schedule_check(self, at, check, *args):
        """Calls check(at, *args) once the ledger has reached time `at`."""
        self.sequence += 1
        heapq.heappush(self.pending_checks, (at, self.sequence, check, args))

    def run_due_checks(self, now):
        while self.pending_checks and self.pending_checks[0][0] <= now:
            at, _, check, args = heapq.heappop(self.pending_checks)
            check(at, *args)

    def check_final_answer(self, at, msg):
        if msg.closed_at is not None or msg.lost_with_relay or msg.abandoned:
            return
        if (later := self.final_answer_due(msg.relay, at)) is None:
            return  # its relay was still unavailable when the day ended
        if later > at:
            self.schedule_check(later, self.check_final_answer, msg)
        else:
            self.report_violation(
                "one final answer",
                at,
                f"{msg.id} ({msg.lane}) was accepted by {msg.relay} and got "
                f"no final answer in time; {len(msg.calls)} calls",
            )

    def final_answer_due(self, relay, at):
        """When a final answer that falls due at `at` is overdue: not before 1.5 s after its relay is ready
        again after a restart, 0.3 s after a pause. None if the relay or the platform is still unavailable."""
        for downtime in self.downtimes.get(relay, ()):
            if downtime.begin <= at and downtime.end is None:
                return None if at >= self.now else at + S // 10
            if (
                downtime.end is not None
                and downtime.begin <= at < downtime.end + downtime.allowed + NETWORK_ALLOWANCE
            ):
                at = downtime.end + downtime.allowed + NETWORK_ALLOWANCE
        if self.notices_down_since is not None:
            return None if at >= self.now else at + S // 10
        return self.notices_up_at + S if at < self.notices_up_at + S and self.notices_up_at else at
