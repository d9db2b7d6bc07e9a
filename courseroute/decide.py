"""All dispatch decisions of a relay: sends are booked ahead on a schedule instead of throttled.

There is one Dispatcher(seed, terms) for each relay. Each method handles one kind of input and returns actions
as plain tuples; `end_batch` ends a batch. courseroute/model/interface.py documents the interface and
docs/design.md the reasons. A message passes check_admission, KeyOrder, book_slot, dispatch_due,
pick_host and start_attempt; the result of an attempt comes in through `attempt_ended`.
"""

import random

from courseroute.decisions import (
    answer_matching,
    answer_trust,
    booking,
    learned_state,
    send_budget,
    slow_start,
)
from courseroute.decisions.endpoint_list import MAX_PROCESS_DELAY, EndpointListSchedule
from courseroute.decisions.host_bans import BannedHosts
from courseroute.decisions.key_order import KeyOrder
from courseroute.decisions.list_calls import ListCalls
from courseroute.decisions.quotas import TenantQuotas
from courseroute.decisions.reported_limit import believe_report, is_believable
from courseroute.decisions.send_budget import FORGET_AFTER, MAX_HEADROOM
from courseroute.model.agenda import Scheduler
from courseroute.model.causes import CloseCause, HoldCause
from courseroute.model.histogram import FailureRates, Histogram, SpanCounter
from courseroute.model.lines import RouteQueues
from courseroute.model.types import (
    Attempt,
    Call,
    Destination,
    Host,
    Lane,
    Message,
    Route,
)

MS = 1_000_000
S = 1000 * MS
FOREVER = booking.FOREVER
# Histogram bin edges of call durations, 10 ms to 22 s.
DURATION_EDGES = [int(10 * MS * 1.5**i) for i in range(20)]
# Values after which a histogram is halved; the duration assumed for a call while none is known.
HISTOGRAM_CAP, DEFAULT_DURATION = 64, 100 * MS
# Endings that prove the request did not run; endings without an answer.
NEVER_RAN, UNANSWERED = (
    ("full", "unreachable", "broken", "unsent"),
    ("timeout", "reset", "stale", "cancelled"),
)
# Weights for the sequential test. `stale` has none: a reused connection that broke says nothing about its
# host.
EVIDENCE_WEIGHTS = {
    "delivered": -0.7,
    "error": 1.1,
    "timeout": 1.6,
    "reset": 1.1,
    "broken": 1.1,
    "unreachable": 4.5,
    "full": 4.5,
}
# Evidence at which a host is ejected; a time without deliveries that is shorter than the second value is not
# an outage.
EVIDENCE_THRESHOLD, SHORT_OUTAGE = 4.5, 3 * S
EJECTION_TIME = 1 * S  # a host is ejected for so long, plus up to half of it at random
# Interval between rankings of hosts; open calls of a host before the next one in rank gets a call.
RANKING_INTERVAL, CALLS_PER_LEVEL = 1 * S, 2
# Attempt timeout: this multiple of a slow call's duration, within the two bounds.
TIMEOUT_FACTOR, MIN_TIMEOUT, MAX_TIMEOUT = 6, 1500 * MS, 3 * S
MAX_FORMER_HOSTS = 1024  # hosts that left the list whose names are remembered
# Above this share of lost calls (smoothed with the given weight) connections are not kept and timeouts are
# divided by the last number.
LOSS_THRESHOLD, LOSS_SMOOTHING, TIMEOUT_DIVISOR = 0.1, 0.05, 2
# Times after the request to stop: the end of sending, and the exit.
LAST_SEND_AFTER, EXIT_AFTER = 2400 * MS, 3000 * MS
# Times that calls which are out get to return when a successor waits: those that the successor may repeat,
# and the others, which would fail.
REPEATABLE_CALLS_RETURN_WITHIN, CALLS_RETURN_WITHIN = 400 * MS, 1500 * MS
REPLAY_TIME = 500 * MS  # until the successor can repeat a call
# Key of the endpoint list's state among the stored records. No host has this name, so earlier
# versions skip it.
ENDPOINT_LIST_KEY = ""
# The rate before an outage is counted over two such spans, of which the second is still running.
USUAL_RATE_SPAN = 4 * S


class Dispatcher(Scheduler):
    """Books messages on routes, picks hosts and decides on retries. Times are in nanoseconds."""

    def __init__(self, seed, terms):
        super().__init__()
        self.terms = terms
        self.uniform = random.Random(seed).uniform
        self.lanes, self.destinations, self.hosts = {}, {}, {}
        self.banned_hosts, self.former_hosts = BannedHosts(), {}
        self.open_messages, self.attempts, self.route_queues = {}, {}, RouteQueues(self.schedule)
        self.key_order = KeyOrder(self.schedule, self.book_slot, self.is_open, terms.get("turn_gap", 0))
        self.to_rank, self.lost_share, self.area_durations, self.hosts_added = {}, {}, {}, 0
        # Lost calls by the connection's idle time, 0 if new.
        self.idle_losses = FailureRates(DURATION_EDGES[::3], 4 * HISTOGRAM_CAP)
        self.list_schedule, self.sending_paused = EndpointListSchedule(terms, self.uniform), False
        self.list_calls = ListCalls(self.list_schedule, self.schedule, lambda act: self.actions.append(act))
        self.active_calls, self.sends_end_at = 0, 1 << 63
        self.handing_over = False  # a successor takes the messages over: nothing is sent
        self.unlisted = Destination(None)  # destination of all messages whose own is not listed
        self.slots = terms.get("slots") or 1
        self.relays = max(1, terms.get("relays") or 1)
        self.quotas = TenantQuotas(terms.get("customers", {}), self.relays)
        self.phase = (terms.get("number") or 0) % self.relays / self.relays
        self.timer_margin = 2 * (terms.get("tick") or 5 * MS)
        for name, settings in terms.get("lanes", {}).items():
            self.lanes[name] = Lane(name, **settings, call_durations=Histogram(DURATION_EDGES, HISTOGRAM_CAP))

    def start(self, now):
        """Starts the timers; requests the endpoint list if it has to be asked for."""
        if self.terms.get("ask"):
            self.list_calls.start(now)
        self.schedule(now + RANKING_INTERVAL, self.renew_ranking)
        return self.take_actions()

    def update_endpoints(self, now, scope, entries, as_of=None):
        """Handles an endpoint list or a failed request for one.

        `as_of`: when discovery's list is known to have had this content, None for now; for a malformed
        answer, when the answer was written."""
        if scope in ("failed", "ended", "spoilt"):
            self.list_calls.failed(now, scope, as_of)
            return self.take_actions()
        if scope == "saved":
            return self.restore_endpoints(now, entries)
        self.list_calls.answered(now, now if as_of is None else as_of)
        self.apply_entries(now, entries, is_whole=scope == "full")
        return self.take_actions()

    def restore_endpoints(self, now, entries, knowledge=None):
        """Handles the list with which a process begins: that of its predecessor, with its ListKnowledge, or
        one of unknown age."""
        self.list_calls.restored(now, knowledge)
        self.apply_entries(now, entries, is_whole=True)
        return self.take_actions()

    def continue_list_failures(self, now, knowledge):
        """Handles the ListKnowledge of a predecessor that has called discovery up to this moment."""
        self.list_calls.continue_failures(knowledge)
        return self.take_actions()

    def apply_entries(self, now, entries, is_whole):
        """Applies entries of an endpoint list; `is_whole`: hosts that are not among them have left it."""
        if is_whole:
            for host in self.hosts.values():
                host.listed, host.gone_since = False, host.gone_since or now
        for name, state, area, rate, kind, destination_name in entries:
            host = self.hosts.get(name) or self.add_host(now, name, kind, destination_name)
            host.listed, host.area = state == "ready", area
            host.listed_rate = rate if rate is not None and is_believable(rate) else None
            host.gone_since = (host.gone_since or now) if state == "gone" else None
        self.rebook_without_host(now)
        for host in list(self.hosts.values()):
            if host.gone_since and now - host.gone_since > FORGET_AFTER and not host.attempts:
                self.remove_host(now, host)

    def rebook_without_host(self, now):
        """Books messages anew whose route has no host any more, and those that had none."""
        for destination in self.destinations.values():
            for route in destination.routes:
                if route.held_messages and not any(host.accepts_calls for host in route.hosts):
                    self.rebook(now, route, True)
            waiting, destination.without_host = destination.without_host, []
            for message in (message for message in waiting if not message.is_closed):
                self.book_slot(now, message)

    def update_host_bans(self, now, bans):
        """Handles the HostBans that operators have ordered, all of them."""
        for ban in self.banned_hosts.update(bans, now):
            if ban.host in self.hosts:
                self.apply_ban(now, self.hosts[ban.host], ban)
        self.rebook_without_host(now)
        return self.take_actions()

    def apply_ban(self, now, host, ban):
        """Takes a host out of service, or gives it back: it was restarted meanwhile, and starts slowly."""
        if ban.in_force and not host.banned:
            self.log(f"host {host.index}: taken out by an operator")
            self.record_usual_rate(host)
            host.banned = True
            self.actions.append(("close", host.name))
        elif not ban.in_force:
            if host.banned:
                self.log(f"host {host.index}: given back by an operator")
            host.banned = False
            self.begin_slow_start(now, host, ban)

    def begin_slow_start(self, now, host, ban):
        """Has a host start slowly from the end of its ban on, unless that is long ago."""
        slow_start_time = slow_start.slow_start_time(self.terms)
        if now - ban.ended_at >= slow_start_time:
            return
        host.evidence, host.failing_since, host.probing = 0.0, None, False
        host.slow_start_since = ban.ended_at
        host.outage_length = max(ban.ended_at - ban.began_at, slow_start_time)
        host.not_before = now + int(self.uniform(0, self.send_interval(now, host)))

    def was_listed(self, name):
        """Whether discovery has ever listed a host, as far as that is remembered."""
        return name in self.hosts or name in self.former_hosts

    def count_hosts(self, now):
        """(hosts in the list, those of them that get nothing new now)."""
        known = [host for host in self.hosts.values() if host.gone_since is None]
        avoided = [host for host in known if not host.accepts_calls or host.probing and now < host.not_before]
        return len(known), len(avoided)

    def discovery_moved(self, now):
        """Discovery has a new address: requests the list there."""
        self.list_calls.moved(now)
        return self.take_actions()

    def remove_host(self, now, host):
        """Drops all state of a host, and the destination with its last host. Ids are never reused, so
        state that was kept would accumulate."""
        route, destination = host.route, host.destination
        del self.hosts[host.name]
        self.former_hosts[host.name] = None
        if len(self.former_hosts) > MAX_FORMER_HOSTS:
            del self.former_hosts[next(iter(self.former_hosts))]
        route.hosts.remove(host)
        if not route.hosts:
            destination.routes.remove(route)
        if not destination.routes:
            del self.destinations[destination.name]
            for message in destination.without_host:
                self.close_message(now, message, CloseCause.NO_DESTINATION)

    def learned_state(self, now):
        """State that a restarted relay restores after the endpoint list. Without it the relay would send
        a burst to hosts that refuse calls or are down."""
        state = [
            [
                host.name,
                learned_state.values_of(host, learned_state.HOST_FIELDS),
                learned_state.values_of(host.route, learned_state.ROUTE_FIELDS),
            ]
            for host in self.hosts.values()
            if host.probing
            or host.banned
            or host.slow_start_since
            or host.unsolicited_at is not None
            or host.route.refused_at is not None
            or host.route.wait_until > now
        ]
        list_state = self.list_schedule.state()
        return [*state, [ENDPOINT_LIST_KEY, list_state, []]] if list_state else state

    def restore_learned_state(self, now, state, saved_at):
        """Restores state that was saved at `saved_at`. A wait holds to its end, headroom grows with the
        state's age, and after FORGET_AFTER no other limit holds. Records that are malformed are skipped."""
        age = max(0, now - saved_at) if saved_at else 0
        for record in state:
            try:
                name, host_values, route_values = record
                self.restore_record(now, age, name, host_values, route_values)
            except (TypeError, ValueError):
                self.log("learned state: a malformed record is skipped")
        return self.take_actions()

    def restore_record(self, now, age, name, host_values, route_values):
        """Restores the record of one host, or of the endpoint list. Raises TypeError or ValueError if it is
        malformed."""
        if name == ENDPOINT_LIST_KEY:
            self.list_schedule.restore_state(host_values, now - age)
        host = self.hosts.get(name)
        if host is None:
            return
        if not (
            learned_state.are_valid(host_values, learned_state.HOST_FIELDS, now)
            and learned_state.are_valid(route_values, learned_state.ROUTE_FIELDS, now)
        ):
            raise ValueError(name)
        route = host.route
        learned_state.restore_route(route, route_values)
        route.headroom += max(0.0, MAX_HEADROOM - route.headroom) * min(1.0, age / FORGET_AFTER)
        if age < FORGET_AFTER:
            learned_state.restore(host, host_values, learned_state.HOST_FIELDS)
            if ban := self.banned_hosts.bans.get(name):
                self.apply_ban(now, host, ban)
        else:
            route.refused_at, route.learned_rate, route.usual_rate = None, 0.0, 0.0

    def accept(
        self,
        now,
        name,
        destination_name,
        lane,
        deadline,
        key=None,
        customer=None,
        is_retry=False,
        attempts=None,
    ):
        """Accepts a message. `attempts`: None for a new message; for one that an earlier process accepted,
        its attempts, each (host, sent at, ending); an attempt without an ending may have run."""
        is_restored, attempts = attempts is not None, attempts or ()
        lane = self.lanes.get(lane) or self.lanes.setdefault(
            lane, Lane(lane, call_durations=Histogram(DURATION_EDGES, HISTOGRAM_CAP))
        )
        destination = (
            self.destinations.get(destination_name, self.unlisted)
            if self.hosts
            else self.destination_named(destination_name)
        )
        # Otherwise a deadline far in the future would keep the message for ever.
        deadline = min(deadline, now + (lane.deadline or 1 << 62))
        message = self.open_messages[name] = Message(
            name, destination, lane, deadline, key, customer, is_retry
        )
        uncertain, message.attempts_made = (
            [attempt for attempt in attempts if attempt[2] not in NEVER_RAN],
            len(attempts),
        )
        if uncertain:
            message.first_uncertain_at, message.may_have_run, message.last_host = (
                uncertain[0][1],
                True,
                self.hosts.get(uncertain[-1][0]),
            )
            if message.key and message.lane.ordered:
                self.key_order.pause(now, message.key)
        if self.check_admission(now, message, is_restored) and self.key_order.enter(now, message):
            self.book_slot(now, message)
        if not message.is_closed:  # timers of rejected messages would keep them until their deadline
            self.schedule_close(message)
        else:
            self.forget_unused(destination)
        return self.take_actions()

    def schedule_close(self, message):
        """Schedules the end of a message at its deadline, and earlier if no attempt would be in time."""
        self.schedule(message.deadline - self.timer_margin, self.close_message, message, CloseCause.DEADLINE)
        self.schedule(self.latest_start(message), self.close_if_late, message)

    def advance_deadlines(self, now, deadlines):
        """Gives messages earlier deadlines; see courseroute/model/interface.py."""
        for name, deadline in deadlines:
            message = self.open_messages.get(name)
            if message is not None and not message.is_closed:
                message.deadline = min(message.deadline, deadline)
                self.schedule_close(message)
        return self.take_actions()

    def forget_unused(self, destination):
        """Drops a destination that has no host and no message, as any name may be asked for while no list is
        known."""
        if destination.routes or destination is self.unlisted:
            return
        if not any(message.destination is destination for message in self.open_messages.values()):
            self.destinations.pop(destination.name, None)

    def final_statuses_accepted(self, now, names):
        """The final statuses of these messages are known outside: their notices were accepted, or they were
        the answers to their clients."""
        for name in names:
            self.key_order.notice_accepted(now, name)
        return self.take_actions()

    def withdraw(self, now, name):
        """Closes a message that its client no longer wants."""
        if name in self.open_messages:
            self.complete_message(now, self.open_messages[name])
        return self.take_actions()

    def hold_cause(self, now, name, number):
        """The HoldCause for which an attempt must not be sent although its connection is up, else None. A
        wait or a drain may have been reported since it was dispatched."""
        attempt = self.attempts.get((name, number))
        if attempt is None or attempt.message.is_closed:
            return HoldCause.CLOSED
        if self.handing_over:
            return HoldCause.HANDING_OVER
        if not attempt.host.listed:
            return HoldCause.NOT_LISTED
        if attempt.host.banned:
            return HoldCause.TAKEN_OUT
        if self.list_schedule.is_unusable(now):
            return HoldCause.LIST_TOO_OLD
        if now < attempt.host.route.wait_until:
            return HoldCause.TOLD_WAIT
        return (
            None
            if now < self.repeatable_until(attempt.message, attempt.first_uncertain_at)
            else HoldCause.WINDOW_CLOSED
        )

    def send_by(self, name, number):
        """The time by which the attempt's last byte has to be written; None if there is no limit."""
        attempt = self.attempts.get((name, number))
        until = self.repeatable_until(attempt.message, attempt.first_uncertain_at) if attempt else FOREVER
        return None if until == FOREVER else until

    def earlier_attempt(self, name, number):
        """(dispatch time of the first attempt that may have run, idempotency window), in nanoseconds, if this
        attempt repeats such a one; else None. The window is 0 for a class that has none."""
        attempt = self.attempts.get((name, number))
        return (
            None
            if attempt is None or attempt.first_uncertain_at is None
            else (attempt.first_uncertain_at, attempt.message.lane.window)
        )

    def stop(self, now):
        """Starts the shutdown: messages that can't be sent in time go back to their clients if a retry is
        safe."""
        self.sends_end_at, self.handing_over = now + LAST_SEND_AFTER, False
        self.schedule(self.sends_end_at, self.return_unsent)
        self.schedule(now + EXIT_AFTER, lambda now: self.actions.append(("exit",)))
        return self.take_actions()

    def hand_over(self, now):
        """A successor waits for the messages: nothing more is sent, and calls that are out get some time to
        return. `stop` ends this where the successor is lost."""
        self.handing_over = True
        self.schedule(now + REPEATABLE_CALLS_RETURN_WITHIN, self.cancel_attempts, True)
        self.schedule(now + CALLS_RETURN_WITHIN, self.cancel_attempts, False)
        return self.take_actions()

    def cancel_attempts(self, now, only_repeatable):
        """Cancels the attempts that are out, or those of them that the successor may repeat."""
        if not self.handing_over:
            return
        for (name, number), attempt in self.attempts.items():
            if not only_repeatable or self.may_send(now + REPLAY_TIME, attempt.message):
                self.actions.append(("cancel", name, number))

    def return_unsent(self, now):
        """Rejects messages that were not sent before the shutdown, if a retry is safe."""
        for message in [
            message
            for message in self.open_messages.values()
            if not message.pending and self.is_safe_to_retry(now, message)
        ]:
            self.close_message(now, message, CloseCause.SHUTTING_DOWN)
        # Not earlier: the other relays' shares of the limits don't grow when their clients do.
        self.actions.append(("see off",))

    def wake(self, now):
        """A requested timer fired; `end_batch` does the work."""
        self.timer_at = None
        return self.take_actions()

    def attempt_ended(
        self, now, name, number, host_name, ending, duration, wait, report, is_final, idle=None
    ):
        """Handles the end of an attempt; see courseroute/model/interface.py."""
        attempt = self.attempts.pop((name, number), None)
        if attempt is None:
            return self.take_actions()
        message, host, call, route = attempt.message, attempt.host, attempt.call, attempt.host.route
        del host.attempts[(name, number)]
        message.pending, call.pending = message.pending - 1, call.pending - 1
        if not call.pending:
            self.active_calls, host.active_calls, route.active_calls = (
                self.active_calls - 1,
                host.active_calls - 1,
                route.active_calls - 1,
            )
        if ending in UNANSWERED and message.key and message.lane.ordered:
            self.key_order.pause(now, message.key)
        message.may_have_run = message.may_have_run or ending not in NEVER_RAN
        if not (message.may_have_run or message.pending):
            message.first_uncertain_at = None
        if report:
            believe_report(route, report["limit"], route.recent_deliveries.peek_highest(now))
        only_refusals = ending == "full" and self.handle_refusal(now, route, wait)
        if ending == "delivered":
            host.durations.add(duration)
            self.area_durations.setdefault(host.area, Histogram(DURATION_EDGES, HISTOGRAM_CAP)).add(duration)
            message.lane.call_durations.add(duration)
            route.recent_deliveries.add(now)
            route.usual_deliveries.add(now)
        self.record_connection_loss(host, ending, idle)
        self.to_rank[message.destination.name] = message.destination
        self.record_evidence(now, host, ending, attempt, only_refusals)
        if is_final:
            self.complete_message(now, message)
            # The slot is freed, so that withdrawn messages don't delay others.
            if ending == "unsent":
                route.charged_sends = max(0, route.charged_sends - 1)
                self.rebook(now, route)
        elif not message.is_closed and not message.pending:
            # A new booking, if the class still allows an attempt.
            message.booking_number = 0
            self.book_slot(now, message)
        if message.is_closed and not message.pending:
            self.leave_key_queue(now, message)
        return self.take_actions()

    def end_batch(self, now):
        """Ends a batch: runs due events, sends due messages and requests the next timer."""
        self.run_due(now)
        if now < self.sends_end_at and not self.handing_over:
            self.dispatch_due(now)
        self.request_timer(now)
        return self.take_actions()

    def latest_start(self, message):
        """The time from which an attempt would probably miss the deadline."""
        return (
            message.deadline
            - (message.lane.call_durations.quantile(0.5) or DEFAULT_DURATION)
            - self.timer_margin
        )

    def destination_named(self, name):
        return self.destinations.setdefault(name, Destination(name))

    def add_host(self, now, name, kind, destination_name):
        """Adds a host, and its route and destination where they are new."""
        destination = self.destination_named(destination_name)
        settings = self.terms.get("kinds", {}).get(kind, {})
        if settings.get("apart") or not destination.routes:
            route = Route(
                self.hosts_added,
                destination,
                settings.get("per_call", 1),
                recent_deliveries=SpanCounter(S),
                usual_deliveries=SpanCounter(USUAL_RATE_SPAN),
            )
            destination.routes.append(route)
        route = destination.routes[-1]
        host = self.hosts[name] = Host(
            name,
            self.hosts_added,
            destination,
            route,
            kind,
            durations=Histogram(DURATION_EDGES, HISTOGRAM_CAP),
        )
        route.hosts.append(host)
        self.hosts_added += 1
        self.former_hosts.pop(name, None)
        if ban := self.banned_hosts.bans.get(name):
            self.apply_ban(now, host, ban)
        return host

    def renew_ranking(self, now):
        """Periodically sorts hosts and routes. A host without measured calls is ranked by those of its
        area."""

        def rank_key(host):
            in_own_area = host.area == self.terms.get("area")
            fallback = host.durations if in_own_area else self.area_durations.get(host.area, host.durations)
            typical = host.durations.quantile(0.5) or fallback.quantile(0.5) or 0
            return not host.accepts_calls, host.evidence >= EVIDENCE_THRESHOLD / 2, typical, host.index

        # Only destinations with a result since the last ranking.
        for destination in self.to_rank.values():
            for route in destination.routes:
                route.hosts.sort(key=rank_key)
            destination.routes.sort(key=lambda route: rank_key(route.hosts[0]))
        self.to_rank.clear()
        for route in {
            message.route.index: message.route for message in self.open_messages.values() if message.route
        }.values():
            if self.send_budget(now, route) and route.booked_headroom < route.headroom:
                # Messages booked under the smaller budget would stay late.
                self.rebook(now, route)
        self.schedule(now + RANKING_INTERVAL, self.renew_ranking)

    def check_admission(self, now, message, is_restored):
        """Rejects a message that has no destination, time or room. A destination may hold as many messages as
        there is free room, so that its backlog does not lock out the others. A restored message was admitted
        before: it needs no room, and takes nothing of its customer's quota."""
        has_room = is_restored or self.has_room(now, message)
        if message.destination is self.unlisted:
            self.close_message(now, message, CloseCause.NO_DESTINATION)
        elif now >= self.latest_start(message):
            self.close_message(now, message, CloseCause.TOO_LATE)
        elif not has_room:
            self.close_message(now, message, CloseCause.CAPACITY_EXCEEDED)
        return not message.is_closed

    def has_room(self, now, message):
        """Takes a new message from its customer's quota, and returns whether there is room for it."""
        message.over_share = self.quotas.is_over(now, message.customer)
        free_room = (
            self.terms.get("room", 1 << 30)
            - len(self.open_messages)
            - sum(len(route.held_messages) for route in message.destination.routes)
        )
        return free_room >= 0

    def is_open(self, message):
        """Whether a message isn't over yet, or has an attempt without an outcome."""
        return self.open_messages.get(message.name) is message

    def leave_key_queue(self, now, message):
        """Forgets a closed message without open attempts. It leaves its key's queue once it is over."""
        if self.open_messages.pop(message.name, None) and not message.awaits_notice:
            self.key_order.leave(now, message)

    def send_budget(self, now, route):
        """Allowed sends a second; None while only waits requested by the host limit the route."""
        return send_budget.budget_of(now, route, self.relays)

    def handle_refusal(self, now, route, wait):
        """Cuts the budget after a refusal. True if nothing was delivered since the last cut: the
        destination is then taken to refuse everything."""
        refusal = send_budget.cut(now, route, self.relays)
        if refusal.first_budget is not None:
            self.log(f"route {route.index}: budget begins at {refusal.first_budget:.2f}/s")
        route.wait_until = max(route.wait_until, now + wait if wait else 0)
        self.rebook(now, route, now < route.wait_until)
        return refusal.is_only_refusals

    def find_slot(self, now, route):
        """(second with room, sends booked in it, messages in the call). A cursor in the past moves to
        now, and a full second moves it to the next one. The last item is 0 for a route without a
        budget."""
        budget = self.send_budget(now, route)
        if budget is None:
            return max(now, route.wait_until), 0, 0
        if route.per_call > 1 and route.next_second > now and 0 < route.call_messages < route.per_call:
            return route.next_second, route.booked_sends, route.call_messages + 1
        earliest, second, booked = max(now, route.wait_until), route.next_second, route.booked_sends
        current_second = earliest // S * S
        # Bookings beyond a small budget are carried over.
        if second < current_second:
            second, booked = current_second, booking.carry_over(booked, budget, current_second - second)
        if second == current_second:
            booked = max(booked, booking.used_up_by(budget, earliest - current_second))
        second, booked = booking.first_second_with_room(second, booked, budget)
        return second, booked + 1, 1

    def book_slot(self, now, message):
        """Books the message on the route with the earliest slot, or closes it if that is too late."""
        usable = [
            route
            for route in message.destination.routes
            if any(self.may_use(host, message) for host in route.hosts)
        ]
        if not usable:
            return message.destination.without_host.append(message)

        def slot_order(route):
            """Sort key: the earliest send time on a route, then its open calls."""
            available_from = min(host.not_before for host in route.hosts if host.accepts_calls)
            return (
                max(now, self.find_slot(now, route)[0], available_from),
                route.active_calls // CALLS_PER_LEVEL,
            )

        route = min(usable, key=slot_order)
        second, booked, call_messages = self.find_slot(now, route)
        due = max(now, second)
        if call_messages:
            slot = booking.slot_in_second(booked, self.send_budget(now, route), self.phase)
            due = max(now, route.wait_until, second + slot)
        latest = min(
            self.latest_start(message),
            now + message.lane.target if message.over_share else self.latest_start(message),
        )
        latest = min(latest, self.sends_end_at) if self.is_safe_to_retry(now, message) else latest
        if not self.may_send(due, message):
            return self.close_message(now, message, self.why_no_attempt(message))
        if due >= latest:
            return self.close_message(now, message, CloseCause.BOOKED_TOO_LATE)
        route.next_second, route.booked_sends, route.call_messages = second, booked, call_messages
        self.sequence += 1
        message.booking_number = message.booking_number or self.sequence
        message.due_at, message.route = due, route
        route.held_messages[message.name] = message
        self.route_queues.add(route, message)

    def rebook(self, now, route, include_due=False):
        """Books a route's held messages again, in order. Messages that are already due keep their slots
        unless `include_due`."""
        kept_slots = (
            0 if include_due else sum(message.due_at <= now for message in route.held_messages.values())
        )
        moved = [message for message in route.held_messages.values() if include_due or message.due_at > now]
        route.next_second, route.booked_sends, route.call_messages = (
            route.charged_from,
            route.charged_sends + kept_slots,
            0,
        )
        route.booked_headroom = route.headroom
        for message in moved:
            del route.held_messages[message.name]
            message.route = None
        for message in sorted(moved, key=lambda message: message.booking_number):
            self.book_slot(now, message)

    # Sending: due messages get a call, in booking order.

    def dispatch_due(self, now):
        self.update_sending_paused(now)
        for route, message in self.route_queues.heads():
            # The idempotency window may close while a message waits for a call.
            if not self.may_send(now, message):
                self.close_message(now, message, self.why_no_attempt(message))
            elif not self.sending_paused and (host := self.pick_host(now, route, message)):
                self.start_attempt(now, message, route, host)

    def update_sending_paused(self, now):
        is_paused = self.list_schedule.is_unusable(now)
        if is_paused != self.sending_paused:
            self.sending_paused = is_paused
            state = "may be out of date, nothing is sent" if is_paused else "is used again"
            self.log(f"endpoint list {state}, failed calls {self.list_schedule.failures}")

    # Host selection: in order of rank, each host filled up to a level before the next.

    def may_use(self, host, message):
        """Whether the host may get the message; some keyed classes are bound to a zone."""
        bound_to_zone = (
            message.first_uncertain_at is not None
            and message.lane.effect == "keyed"
            and message.lane.group == "zone"
        )
        return host.accepts_calls and not (
            bound_to_zone and host.area != (message.last_host and message.last_host.area)
        )

    def pick_host(self, now, route, message):
        free = route.active_calls < self.slots - self.active_calls
        usable = [
            host
            for host in route.hosts
            if now >= route.wait_until
            and self.may_use(host, message)
            and (self.joins_call(now, host) or free and self.is_available(now, host))
        ]
        return min(
            usable,
            default=None,
            key=lambda host: (
                not self.joins_call(now, host),
                host is message.last_host,
                host.active_calls // CALLS_PER_LEVEL,
            ),
        )

    def joins_call(self, now, host):
        """Whether the message can join a call that starts in this batch."""
        call = host.open_call
        return call and call.started_at == now and call.message_count < host.route.per_call and call.pending

    def is_available(self, now, host):
        """Whether a new call may start; a host with an old unanswered attempt gets none."""
        if now < host.not_before:
            if host.wakes_at != host.not_before:  # once: many batches may come before that time
                host.wakes_at = host.not_before
                self.schedule(host.not_before, int)  # only wakes the relay: `end_batch` then sends
            return False
        first = next(iter(host.attempts.values()), None)
        return (
            not first
            or host.probing
            or host.last_delivered_at > first.started_at
            or now - first.started_at < self.attempt_timeout(host) // 2
        )

    def attempt_timeout(self, host):
        """An attempt's timeout. Its upper bound, and its halving where calls get lost, protect call slots
        and target times."""
        divisor = TIMEOUT_DIVISOR if self.lost_share.get(host.kind, 0.0) > LOSS_THRESHOLD else 1
        slow_call = host.durations.quantile(0.9) or max(
            lane.call_durations.quantile(0.9) or 0 for lane in self.lanes.values()
        )
        return min(max(MIN_TIMEOUT, TIMEOUT_FACTOR * slow_call), MAX_TIMEOUT) // divisor

    def start_attempt(self, now, message, route, host):
        """Starts an attempt, in a new call or in one that starts in this batch."""
        until = min(
            now + (MIN_TIMEOUT if host.probing else self.attempt_timeout(host)),
            message.deadline - self.timer_margin,
        )
        if not self.joins_call(now, host):
            host.open_call = Call(host, now)
            self.active_calls, host.active_calls, route.active_calls = (
                self.active_calls + 1,
                host.active_calls + 1,
                route.active_calls + 1,
            )
            second = now // S * S
            if second > route.charged_from:
                elapsed_budget = (
                    (self.send_budget(now, route) or route.charged_sends) * (second - route.charged_from) / S
                )
                route.charged_from, route.charged_sends = (
                    second,
                    max(0.0, route.charged_sends - elapsed_budget),
                )
            route.charged_sends += 1
            if host.slow_start_since is not None:
                host.not_before = now + max(self.send_interval(now, host), MIN_TIMEOUT * host.probing)
        call, number = host.open_call, message.attempts_made
        call.message_count, call.pending = call.message_count + 1, call.pending + 1
        del route.held_messages[message.name]
        message.route, message.last_host = None, host
        self.attempts[(message.name, number)] = host.attempts[(message.name, number)] = Attempt(
            message, number, host, now, until, call, message.first_uncertain_at
        )
        message.first_uncertain_at = (
            message.first_uncertain_at if message.first_uncertain_at is not None else now
        )
        message.attempts_made, message.pending = number + 1, message.pending + 1
        self.actions.append(("send", message.name, host.name, until))

    def record_evidence(self, now, host, ending, attempt, only_refusals):
        """Sequential test for outages. A failure counts against all hosts of a route, since most outages
        affect a whole destination."""
        route, weight = host.route, EVIDENCE_WEIGHTS.get(ending, 0.0)
        if ending == "delivered":
            host.evidence = max(0.0, host.evidence + weight)
            if host.probing:  # a short failure is not an outage, only some lost calls; it needs no slow start
                host.probing, host.evidence, host.not_before = False, 0.0, now
                host.slow_start_since = (
                    now if max(host.outage_length, self.send_interval(now, host)) > SHORT_OUTAGE else None
                )
                self.log(f"host {host.index}: returned, failures over {host.outage_length // MS} ms")
            host.failing_since, host.last_delivered_at, route.last_delivered_at = None, now, now
        elif weight and (only_refusals or ending != "full"):
            # The host was already failing when the attempt started.
            host.failing_since = attempt.started_at if host.failing_since is None else host.failing_since
            for other in route.hosts:
                if other is host or route.last_delivered_at <= host.failing_since:
                    other.evidence += weight
                    if other.evidence >= EVIDENCE_THRESHOLD and attempt.started_at >= other.ejected_at:
                        self.eject(now, other, ending, host.failing_since)

    def eject(self, now, host, ending, failing_since):
        """Ejects a host: nothing is sent to it for a time, then probes. All relays that saw it fail probe it,
        and together these probes can overload it, so they are spaced."""
        self.log(f"host {host.index}: set aside on {ending}, evidence {host.evidence:.1f}")
        host.failing_since = failing_since if host.failing_since is None else host.failing_since
        if host.slow_start_since is None:
            self.record_usual_rate(host)
        host.probing, host.slow_start_since, host.ejected_at, host.outage_length = (
            True,
            now,
            now,
            now - host.failing_since,
        )
        host.not_before = (
            now
            + EJECTION_TIME
            + int(
                self.uniform(0, max(EJECTION_TIME / 2, 2 * (self.send_interval(now, host) - EJECTION_TIME)))
            )
        )
        if len(host.destination.routes) > 1:
            self.rebook(now, host.route, True)

    def record_usual_rate(self, host):
        """Keeps the rate that a host's route has served: it is known to be within its limits, whatever they
        are."""
        deliveries = host.route.usual_deliveries
        host.route.usual_rate = (deliveries.last + deliveries.count) * S / (2 * USUAL_RATE_SPAN)

    def max_idle_time(self, now):
        """How long a connection may have been idle to be reused; older ones are lost more often than new
        ones."""
        return self.idle_losses.reliable_below(LOSS_THRESHOLD)

    def connection_rest(self, now, host_name, is_delivery):
        """How long a connection to a host rests behind an answer; None if it is not used again."""
        host = self.hosts.get(host_name)
        return answer_trust.connection_rest(now, host, is_delivery) if host else None

    def keeps_connections(self, now, host_name):
        """Whether a kept connection to a host may carry another call."""
        host = self.hosts.get(host_name)
        return host is not None and answer_trust.keeps_connections(now, host)

    def may_follow_refusal(self, lane_name):
        """Whether a call of this class may use a connection whose last answer was no delivery."""
        return answer_matching.may_follow_refusal(self.lanes[lane_name])

    def expects_different_bodies(self, host_name):
        """Whether a host's delivery that equals the one before it is likely to be a copy of that."""
        host = self.hosts.get(host_name)
        return host is not None and answer_matching.expects_different_bodies(host)

    def record_delivery_body(self, host_name, body):
        """A host's delivery had a body with this checksum; None: it had that of the delivery before it."""
        host = self.hosts.get(host_name)
        if host and body is None:
            answer_matching.record_alike(host)
        elif host:
            answer_matching.record_delivery(host, body)

    def record_rest(self, now, host_name, is_clean):
        """A connection to a host has rested; `is_clean`: without unsolicited bytes."""
        if host := self.hosts.get(host_name):
            record = answer_trust.record_clean_rest if is_clean else answer_trust.record_unsolicited_bytes
            record(now, host)

    def record_connection_loss(self, host, ending, idle):
        """Records whether a call was lost. Where calls to a kind of host get lost, its idle connections
        are closed: connection tables may be full, or connections dropped unnoticed."""
        lost = ending in ("unreachable", "broken", *UNANSWERED)
        self.idle_losses.add(idle or 0, lost)
        share = self.lost_share.get(host.kind, 0.0)
        self.lost_share[host.kind] = share = share + (lost - share) * LOSS_SMOOTHING
        if share > LOSS_THRESHOLD and not host.active_calls:
            self.actions.append(("close", host.name))

    def send_interval(self, now, host):
        """Time between sends to a host that returns from an outage."""
        return slow_start.send_interval(now, host, self.terms, self.relays)

    def may_send(self, when, message):
        """Whether a further attempt is permitted at that time."""
        if message.attempts_made >= self.terms.get("legs", 1 << 30):
            return False
        return when < self.repeatable_until(message, message.first_uncertain_at)

    def repeatable_until(self, message, first_uncertain_at):
        """The time before which an attempt has to be written. `first`: when the first attempt that may
        have run was dispatched, or None. A retry has to arrive inside the class's window even if the
        relay is delayed."""
        if first_uncertain_at is None or message.lane.effect == "retriable":
            return FOREVER
        return (
            first_uncertain_at + message.lane.window - self.timer_margin - MAX_PROCESS_DELAY
            if message.lane.effect == "keyed"
            else 0
        )

    def close_if_late(self, now, message):
        """Closes a message that can no longer be delivered in time."""
        if now < self.latest_start(message):
            self.schedule(self.latest_start(message), self.close_if_late, message)
        elif not message.pending:
            self.close_message(now, message, CloseCause.TOO_LATE)

    def why_no_attempt(self, message):
        """The cause that closes a message for which `may_send` says no."""
        if message.attempts_made >= self.terms.get("legs", 1 << 30):
            return CloseCause.NO_ATTEMPT_LEFT
        return CloseCause.WINDOW_CLOSED if message.lane.effect == "keyed" else CloseCause.MAY_HAVE_RUN

    def is_safe_to_retry(self, now, message):
        """Whether a client may send the message again without a duplicate effect."""
        lane = message.lane
        return (
            message.first_uncertain_at is None
            or lane.effect == "retriable"
            or (lane.effect == "keyed" and lane.group == "all" and self.may_send(now, message))
        )

    def close_message(self, now, message, cause):
        """Gives the one final answer: rejected if a retry by the client is safe, else failed."""
        if message.is_closed:
            return
        if self.is_safe_to_retry(now, message):
            retry_after = max(
                (
                    min(route.next_second, route.wait_until or route.next_second) - now
                    for route in message.destination.routes
                ),
                default=S,
            )
            retry_after = max(0, min(retry_after, self.terms.get("stay_away", 0)))
            self.actions.append(("push back", message.name, retry_after, cause))
        else:
            self.actions.append(("fail", message.name, cause))
        if message.pending and self.terms.get("cancel"):
            self.actions += [
                ("cancel", message.name, number)
                for number in range(message.attempts_made)
                if (message.name, number) in self.attempts
            ]
        if message.key and message.lane.ordered and self.terms.get("ends_by_notice"):
            self.key_order.hold(message)
        self.complete_message(now, message)

    def complete_message(self, now, message):
        """Closes a message and frees its booking."""
        message.is_closed = True
        if message.route:
            message.route.held_messages.pop(message.name, None)
            message.route = None
        if not message.pending:
            self.leave_key_queue(now, message)
