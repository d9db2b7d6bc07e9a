"""Keeps all messages in memory and connects the dispatcher with the journal and the network drivers.

Every event is passed to the dispatcher here, and every action it returns is executed here. A message is
written to the journal before its 202 is sent, an attempt before its request is sent, and a final state as
soon as it is known. What the dispatcher decides before a message is acknowledged becomes the answer to its
client; what it decides later is sent to the platform as a notice. Times are nanoseconds of the relay's clock.
"""

import traceback
from collections import OrderedDict, deque

from courseroute.decisions.final_answer import NO_STALLS, RecentStalls, final_answer_due
from courseroute.journal import frames as records
from courseroute.journal.frames import record
from courseroute.journal.replay import Replay
from courseroute.journal.store import DAMAGE, Full
from courseroute.model.causes import CloseCause
from courseroute.state.figures import Figures
from courseroute.state.held_message import HeldMessage
from courseroute.state.metrics import Metrics
from courseroute.wire import protocol

MS = 1_000_000
# Bytes that such a record takes in the journal, in addition to the message's name.
ATTEMPT_RECORD_BYTES, NOTICE_RECORD_BYTES, END_RECORD_BYTES = 160, 80, 40


class MessageTracker:
    """Tracks all messages of one relay and executes the dispatcher's actions. `run.relay` sets the drivers
    and callbacks that are None at first.

    `limits` holds the relay's resource limits, `memory` the bytes that the process may use, `log_event`
    writes a log event.
    """

    def __init__(self, dispatcher, terms, limits, journal, memory, clock, log_event):
        self.dispatcher, self.terms, self.limits, self.journal = dispatcher, terms, limits, journal
        self.clock, self.log_event, self.memory = clock, log_event, int(memory * limits["held_share"])
        # name -> HeldMessage; name -> (state, delay) of a pending notice
        self.held, self.pending_notices = {}, {}
        self.recent_ends = OrderedDict()  # name -> delivered, returned, failed or over
        self.hosts = self.notices = self.discovery = self.set_wakeup = self.on_exit = (
            self.close_idle_clients
        ) = None
        self.queued_events, self.dispatching, self.ready = deque(), False, False  # batches of events
        self.collected_events = None  # a list while events are collected for one batch
        self.heed_stall = lambda: False  # whether the process has stood still since the last call
        self.is_draining = False  # an operator empties the relay: it isn't to get new clients
        self.heed_changes = lambda: None  # looks whether operators have taken a host out
        self.is_released = False  # another process has the folder: new messages are rejected
        self.recent_stalls, self.expected_stalls = RecentStalls(), NO_STALLS
        self.longest_unread_ns = lambda: 0  # upper bound of the time a request waited before it was read
        self.syncer = None
        self.learned = None  # the file that keeps what the dispatcher has learned of the hosts
        self.reserved_bytes = 0
        self.notice_deadlines = {}  # of messages closed by this process whose notices are pending
        # Final states held back because they are not written yet: name -> final_answer_due.
        self.unannounced = {}
        self.unwritten = {}  # name -> kind of the record of its final state that is still to be written
        self.full_since = None
        self.metrics, self.figures = Metrics(), Figures(terms["lanes"])
        journal.refresh, journal.remembered = self.live_records, self.recent_ends.__contains__

    # Clients.

    def handle_request(self, request, peer_closed, unread=0):
        """The answer to a client's request: (status, headers, body).

        `peer_closed`: the client has closed its side. `unread`: nanoseconds since the request's last byte
        arrived.
        """
        if request.target in ("/ready", "/health"):
            is_yes = request.target == "/health" or self.ready and not self.is_draining
            return (200 if is_yes else 503), (), b""
        try:
            fields = protocol.parse_message(request, self.terms["lanes"], self.limits["max_name_length"])
        except protocol.ProtocolError as cause:
            return cause.status, (), f"{cause}\n".encode()
        status, after = self.accept(fields, peer_closed, unread)
        return status, ([("Retry-After", f"{after / 1e9:.3f}")] if after else ()), b""

    def accept(self, fields, peer_closed, unread=0):
        """Accepts or rejects a message with the fields of `protocol.parse_message`: (status, retry delay)."""
        name = fields["name"]
        if name in self.held:  # a repeated request: the answer to the first may have been lost
            return 202, 0
        if name in self.recent_ends:
            return {"delivered": 200, "returned": 503}.get(self.recent_ends[name], 500), 0
        now = self.clock()
        unread = max(unread, self.longest_unread_ns())  # the kernel may not report the former
        deadline = now + fields["time_left"] - unread
        msg = HeldMessage(
            name,
            fields["dst"],
            fields["lane"],
            deadline,
            bytes(fields["body"]),
            fields["mark"],
            fields["key"] or None,
            fields["customer"],
            fields["again"],
            now,
        )
        msg.unread, msg.final_answer_due = unread, self.final_answer_due(msg)
        self.metrics.record_longest("request_unread_ms", unread)
        if cause := self.refusal_cause(msg, peer_closed):
            self.metrics.count("closed", cause)
            self.figures.refuse(msg.lane)
            return 503, 0
        self.hold(msg)
        self.reserve(msg.size)
        self.notify_dispatcher(
            "accept", name, msg.dst, msg.lane, msg.final_answer_due, msg.key, msg.customer, msg.is_retry
        )
        if msg.ending is None:
            try:
                self.persist(msg)
            except Full as cause:
                self.log_write_failure(cause)
                self.remove(msg, None)
                self.metrics.count("closed", CloseCause.JOURNAL_UNWRITABLE)
                self.notify_dispatcher("withdraw", name)
                return 503, 0
            self.metrics.count("messages", "taken on")
            return 202, 0
        state, after = msg.ending
        return {"delivered": 202, "returned": 503}.get(state, 500), after

    def hold(self, msg):
        """Keeps a message in memory until `remove`."""
        self.held[msg.name] = msg
        self.figures.enter()

    def request_refused(self, status, target):
        """Counts a request that was refused before it was passed on here; `target`: None where not known."""
        self.metrics.count("requests refused", status)
        lane = protocol.lane_of(target or "")
        if status == 503 and lane in self.terms["lanes"]:
            self.figures.refuse(lane)

    def read_figures(self):
        """The text of all figures. After a handover the messages are in flight at the successor."""
        in_flight = 0 if self.is_released else self.figures.in_flight
        return self.figures.text(in_flight, *self.dispatcher.count_hosts(self.clock()))

    def final_answer_due(self, msg):
        """When the message's final answer must be started."""
        lane_time = self.terms["lanes"].get(msg.lane, {}).get("deadline")
        return final_answer_due(msg.accepted_at, msg.deadline, lane_time, self.expected_stalls)

    def update_stalls(self, latest):
        """Heeds the longest stall of the process since the last call, in nanoseconds, 0 for none: behind one
        that is longer than others lately the final answers to all messages are due earlier."""
        now, before = self.clock(), self.expected_stalls
        if latest:
            self.recent_stalls.add(now, latest)
        self.expected_stalls = self.recent_stalls.to_expect(now)
        if self.expected_stalls.exceeds(before):
            self.advance_final_answers()

    def advance_final_answers(self):
        """Computes anew when final answers are due; the dispatcher is told of those that are due earlier."""
        deadlines = []
        for msg in self.held.values():
            due = self.final_answer_due(msg)
            if due < msg.final_answer_due:
                msg.final_answer_due = due
                deadlines.append((msg.name, due))
        if deadlines:
            self.notify_dispatcher("advance_deadlines", deadlines)

    def refusal_cause(self, msg, peer_closed):
        """The CloseCause that rejects a message before the dispatcher is asked, else None."""
        if peer_closed:
            return CloseCause.CLIENT_GONE
        if not self.ready or self.is_released:
            return CloseCause.NOT_READY
        return None if self.has_room(self.measure(msg)) else CloseCause.CAPACITY_EXCEEDED

    def has_room(self, size):
        """Whether journal and memory have room for `size` more bytes; logs each change from room to none."""
        fits = self.journal.room(size) and self.reserved_bytes + size <= self.memory
        if fits != (self.full_since is None):
            self.full_since = None if fits else self.clock()
            self.log_event("room again" if fits else "full", held=len(self.held), bytes=self.reserved_bytes)
        return fits

    def measure(self, msg):
        """Computes the bytes to be reserved for a message and all its possible attempts."""
        msg.size = len(msg.record()) + self.terms.get("legs", self.limits["max_attempts"]) * (
            ATTEMPT_RECORD_BYTES + len(msg.name)
        )
        return msg.size

    def reserve(self, size):
        """Adds to the bytes reserved in the journal; a negative size releases them."""
        self.reserved_bytes += size
        self.journal.live += size

    def persist(self, msg, *attempts):
        """Writes the record of acceptance, unless it is written already, and those of attempts that are about
        to be sent, in one write. Raises Full where that fails."""
        fresh, msg.persisted = not msg.persisted, True
        try:
            self.journal.write(*([msg.record()] if fresh else ()), *attempts)
        except Full:
            msg.persisted = not fresh
            raise

    def log_write_failure(self, cause):
        self.log_event(
            "journal cannot be written",
            error=str(cause)[:200],
            size=self.journal.size,
            live=self.journal.live,
        )

    async def wait_synced(self):
        """Returns once all that was written is synced as far as the settings ask for."""
        if self.syncer is not None:
            await self.syncer.wait_synced()

    # Hosts.

    def attempt_ended(self, name, n, host, ending, wait, over, took, report, idle=None):
        """Records how the n-th attempt of a message ended, and tells the dispatcher.

        `wait`: delay that the host asked for, in nanoseconds; `over`: no further attempt may follow; `took`:
        duration of the attempt; `report`: the host's load report or None; `idle`: how long its connection had
        been idle, None for a new one."""
        msg = self.held.get(name)
        if msg is not None:
            msg.attempts[n][2] = ending
            if over:
                self.complete(msg, "delivered" if ending == "delivered" else "over")
            else:
                self.try_write(record(records.BACK, [name, n, ending]))
        self.notify_dispatcher(
            "attempt_ended", name, n, host, ending, took, wait, report, over or msg is None, idle
        )

    def max_idle_time(self):
        return self.dispatcher.max_idle_time(self.clock())

    def connection_rest(self, host, is_delivery):
        return self.dispatcher.connection_rest(self.clock(), host, is_delivery)

    def keeps_connections(self, host):
        return self.dispatcher.keeps_connections(self.clock(), host)

    def may_follow_refusal(self, lane):
        return self.dispatcher.may_follow_refusal(lane)

    def expects_different_bodies(self, host):
        return self.dispatcher.expects_different_bodies(host)

    def record_delivery_body(self, host, body):
        self.dispatcher.record_delivery_body(host, body)

    def connection_rested(self, host, is_clean):
        self.dispatcher.record_rest(self.clock(), host, is_clean)

    def hold_cause(self, name, n):
        self.heed_changes()
        self.heed_arrived()
        return self.dispatcher.hold_cause(self.clock(), name, n)

    def send_by(self, name, n):
        return self.dispatcher.send_by(name, n)

    def earlier_attempt(self, name, n):
        return self.dispatcher.earlier_attempt(name, n)

    def try_write(self, *parts):
        """Writes records that the next process needs; returns whether that worked. A failure is logged, and
        the record of a final state is written later by `retry_unwritten`."""
        try:
            self.journal.write(*parts)
            return True
        except Full as cause:
            self.unwritten.update((part.told[0], part.kind) for part in parts if part.kind != records.BACK)
            self.log_write_failure(cause)
            return False

    def must_announce_now(self, final_answer_due):
        """Whether a final state is announced although it is not written: its answer is due, and a restarted
        process that does not know of it would have no time left to send the message."""
        return self.clock() >= final_answer_due - self.limits["sweep_interval"]

    def retry_unwritten(self):
        """Retries to write the final states whose first write failed: without them a restarted process would
        send the messages again."""
        for name, due in list(self.unannounced.items()):
            if self.must_announce_now(due):
                self.queue_notice(name)
        for name, kind in list(self.unwritten.items()):
            parts = (
                self.live_records(name)
                if kind == records.OWED
                else [self.journal.over(name, self.recent_ends.get(name, "over"))]
            )
            try:
                self.journal.write(*parts)
                del self.unwritten[name]
                self.queue_notice(name)
            except Full:
                return

    # The dispatcher.

    def notify_dispatcher(self, method, *args):
        """Calls a method of the dispatcher and executes the actions it returns. Each event is a batch of its
        own; one that arrives while another's actions are executed is queued behind it. What arrived while the
        process stood still comes first."""
        if self.collected_events is not None:
            self.collected_events.append((method, args))
            return
        self.heed_arrived()
        self.queued_events.append([(method, args)])
        self.run_queued()

    def heed_arrived(self):
        """Heeds what arrived while the process stood still, if it did."""
        if self.heed_stall():
            self.queued_events.append(self.collect_arrived())
            self.run_queued()

    def run_queued(self):
        """Passes the queued batches to the dispatcher, unless a caller further up does so."""
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.queued_events:
                batch = self.queued_events.popleft()
                for action in self.decide(self.clock(), batch):
                    self.run_guarded(self.execute, action)
        finally:
            self.dispatching = False

    def collect_arrived(self):
        """The events of news and answers that arrived while the process stood still, as one batch: until the
        last of them is known no time is judged."""
        self.collected_events = []
        try:
            for driver in (self.discovery, self.hosts):
                if driver is not None:
                    self.run_guarded(driver.report_arrived)
            return self.collected_events
        finally:
            self.collected_events = None

    def decide(self, now, batch):
        """The actions that follow from a batch of events, each a method of the dispatcher with its arguments.
        One that raises gives a wake-up instead."""
        actions = []
        for method, args in (*batch, ("end_batch", ())):
            more = self.run_guarded(getattr(self.dispatcher, method), now, *args)
            actions += [("wake", self.limits["sweep_interval"])] if more is None else more
        return actions

    def run_guarded(self, function, *args):
        """Calls a function; an exception is logged and gives None, so that one faulty decision does not stop
        the relay and lose its messages."""
        try:
            return function(*args)
        except Exception:
            self.log_event("fault", at=function.__name__, trace=traceback.format_exc()[-1500:])
            return None

    def execute(self, action):
        """Executes an action of the dispatcher: ("push back", ...) calls `do_push_back(...)`."""
        getattr(self, "do_" + action[0].replace(" ", "_"))(*action[1:])

    def do_send(self, name, host, until):
        msg, now = self.held[name], self.clock()
        n = len(msg.attempts)
        msg.attempts.append([host, now, None])
        try:
            self.persist(msg, record(records.CALL, [name, n, host, now, None]))
        except Full as cause:  # an attempt that is not in the journal must not be sent
            self.log_write_failure(cause)
            self.hosts.unsent(msg, n, host)
            return
        self.hosts.call(msg, n, host, until)

    def do_cancel(self, name, n):
        self.hosts.cancel(name, n)

    def do_push_back(self, name, stay_away, cause):
        self.close_message(name, "returned", stay_away, cause)

    def do_fail(self, name, cause):
        self.close_message(name, "failed", 0, cause)

    def do_close(self, host):
        self.hosts.close(host)

    def do_wake(self, delay):
        self.set_wakeup(delay)

    def do_watch(self, wait):
        self.discovery.request_list(wait)

    def do_log(self, text):
        self.log_event(text)

    def do_see_off(self):
        self.close_idle_clients()

    def do_exit(self):
        self.on_exit()

    # Final states.

    def close_message(self, name, state, after, cause):
        """Closes a message without a delivery. `after`: nanoseconds that its client shall wait before it
        tries again. A message that is not acknowledged yet gets the state as its answer, else a notice."""
        msg = self.held.get(name)
        if msg is None:
            self.notify_dispatcher("final_statuses_accepted", [name])
            return
        msg.ending = state, after
        self.metrics.count("closed", cause)
        if not msg.persisted:  # its client still waits for the answer, which reports the state
            self.remove(msg, state)
            self.notify_dispatcher("final_statuses_accepted", [name])
            return
        self.log_event(
            "message closed",
            id=name,
            state=state,
            cause=cause,
            lane=msg.lane,
            attempts=len(msg.attempts),
            held_ms=(self.clock() - msg.accepted_at) // MS,
            left_ms=(msg.deadline - self.clock()) // MS,
            unread_ms=msg.unread // MS,
        )
        self.pending_notices[name] = state, after
        self.notice_deadlines[name] = msg.deadline
        self.reserve(NOTICE_RECORD_BYTES + len(name))
        # Removed before the write, which may compact the journal and must not copy the message then.
        self.remove(msg, state)
        self.unannounced[name] = msg.final_answer_due
        if self.try_write(record(records.OWED, [name, state, after])) or self.must_announce_now(
            msg.final_answer_due
        ):
            self.queue_notice(name)

    def queue_notice(self, name):
        """Queues the notice of a final state. This waits for the state to be written: a restarted process
        that does not know of it would send a closed message."""
        if self.unannounced.pop(name, None) is not None:
            self.notices.add(name, *self.pending_notices[name])

    def notices_accepted(self, names):
        """Records that the platform has accepted these messages' notices."""
        for name in names:
            self.record_notice(name, self.notice_deadlines.pop(name, None))
        self.reserve(-sum(NOTICE_RECORD_BYTES + len(name) for name in names))
        self.try_write(*(self.journal.over(name, self.pending_notices.pop(name)[0]) for name in names))
        self.notify_dispatcher("final_statuses_accepted", names)

    def record_notice(self, name, deadline):
        """Counts an accepted notice as in time or late; logs a late one."""
        if deadline is None:  # pending since an earlier process
            self.metrics.count("notices", "of an earlier life")
            return
        late = self.clock() - deadline
        self.metrics.count("notices", "in time" if late <= 0 else "behind the deadline")
        self.metrics.record_longest("notice_behind_deadline_ms", late)
        if late > 0:
            self.log_event("notice behind its deadline", id=name, late_ms=late // MS)

    def complete(self, msg, state):
        """Closes a message that needs no notice: delivered, or over."""
        msg.ending = state, 0
        self.metrics.count("messages", state)
        self.remove(msg, state)
        if msg.persisted:
            self.try_write(self.journal.over(msg.name, state))

    def remove(self, msg, state):
        """Drops a message from memory; its state, unless None, is remembered."""
        del self.held[msg.name]
        self.figures.end(msg.lane, state)
        self.reserve(-msg.size)
        if state:
            self.remember_end(msg.name, state)

    def remember_end(self, name, state):
        """Keeps a recent final state, which answers a client that sends the message again."""
        if name not in self.recent_ends:
            self.reserve(END_RECORD_BYTES + len(name))
        self.recent_ends[name] = state
        while len(self.recent_ends) > self.limits["max_recent_ends"]:
            oldest, _ = self.recent_ends.popitem(last=False)
            self.reserve(-END_RECORD_BYTES - len(oldest))

    # The journal.

    def save_learned_state(self):
        """Saves what the dispatcher has learned for the next process, if it changed."""
        learned = self.run_guarded(self.dispatcher.learned_state, self.clock())
        if learned is not None and self.learned is not None:
            try:
                self.learned.keep(learned, self.clock())
            except OSError as cause:
                self.log_write_failure(cause)

    def live_records(self, name):
        """The records that the journal must keep of a message: all of them while it has no final state, that
        of its state while the notice is pending or the state is remembered."""
        if name in self.pending_notices:
            state, after = self.pending_notices[name]
            return [record(records.OWED, [name, state, after])]
        if msg := self.held.get(name):
            return msg.records() if msg.persisted else []
        return [self.journal.over(name, self.recent_ends[name])] if name in self.recent_ends else []

    def recover(self, same_clock=True):
        """Restores the messages of earlier processes from the journal: queues pending notices, and passes
        each open message to the dispatcher. Where the clock does not continue that of the earlier processes
        (`same_clock` is false) the age of an attempt is unknown: its idempotency window counts as closed, and
        learned state is used only if its time stamp is recent on the new clock too. After an OSError nothing
        has changed, and it may be called again."""
        learned, learned_at = self.learned.read() if self.learned is not None else ([], 0)
        replay = Replay(self.limits["max_recent_ends"])
        for kind, fields, body in self.journal.read():
            if kind == DAMAGE:
                self.log_event("journal damaged", segment=fields.segment, at=fields.at, bytes=fields.size)
                replay.damage()
            else:
                replay.feed(kind, fields, body)
        replay.finish()
        self.pending_notices = replay.owed
        for name, state in replay.ends.items():
            self.remember_end(name, state)
        for name, kept in replay.held.items():
            msg = HeldMessage(name, *kept.told[1:4], kept.body, *kept.told[4:])
            self.hold(msg)
            msg.persisted, msg.attempts, msg.final_answer_due = True, kept.legs, self.final_answer_due(msg)
            if not same_clock:
                msg.attempts = [[host, 0, ending] for host, _, ending in msg.attempts]
            self.reserve(self.measure(msg))
        self.reserve(sum(NOTICE_RECORD_BYTES + len(name) for name in self.pending_notices))
        for name, (state, after) in self.pending_notices.items():
            self.notices.add(name, state, after)
        is_recent = 0 <= self.clock() - learned_at <= self.limits["learned_state_valid_for"]
        if learned and (same_clock or is_recent):
            self.notify_dispatcher("restore_learned_state", learned, learned_at)
        # In order of acceptance: the journal holds compacted copies behind messages accepted later.
        for msg in sorted(self.held.values(), key=lambda msg: msg.accepted_at):
            self.notify_dispatcher(
                "accept",
                msg.name,
                msg.dst,
                msg.lane,
                msg.final_answer_due,
                msg.key,
                msg.customer,
                msg.is_retry,
                [tuple(attempt) for attempt in msg.attempts],
            )
