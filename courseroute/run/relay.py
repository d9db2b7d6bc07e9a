"""Runs one relay: startup, recovery, serving, shutdown."""

import gc
import os
import signal
import time

import trio

from courseroute.checked import Bad
from courseroute.decide import Dispatcher
from courseroute.decisions.descriptors import divide_descriptors
from courseroute.decisions.limits import RELAY_LIMITS
from courseroute.decisions.memory import shared_bytes
from courseroute.journal.disk import Disk
from courseroute.journal.frames import Newer
from courseroute.journal.learned import Learned
from courseroute.journal.lock import has_successor
from courseroute.journal.store import Journal
from courseroute.journal.syncer import Syncer
from courseroute.run import config, startup_signals
from courseroute.run.alarm import Alarm
from courseroute.run.clock import BYTES as CLOCK_BYTES
from courseroute.run.clock import open_clock
from courseroute.run.drain import Drain
from courseroute.run.handover import ACCEPTED_GRACE_S, FOLDER_NOT_USABLE, Handover, acquire_folder
from courseroute.run.initial_endpoints import InitialEndpoints
from courseroute.run.listeners import open_client_socket, start_listening
from courseroute.run.logbook import log_event, set_log
from courseroute.run.operations import Operations
from courseroute.run.operators_thread import OperatorsThread
from courseroute.run.phase import Phase, Reaction, Trigger, reaction_to
from courseroute.run.retry import retry_os_errors
from courseroute.run.standstill import Standstills
from courseroute.state.endpoint_cache import STATE_BYTES, EndpointCache
from courseroute.state.metrics import LOOP_DELAY
from courseroute.state.overrides import OverridesFile
from courseroute.state.pool import ConnectionPool
from courseroute.state.tracker import MessageTracker
from courseroute.wire.clients import Clients
from courseroute.wire.discovery import Discovery, Watch
from courseroute.wire.hosts import Hosts
from courseroute.wire.notices import Notices

REPORT_EVERY_S = 10.0  # between two reports of counters in the log
RESTART_INTERVAL_S = 0.25  # between two starts that the system did not allow


class Relay:
    """One relay in this process; `settings`: its settings as `config.read` returns them."""

    def __init__(self, settings):
        self.settings, self.phase = settings, Phase.STARTING
        self.left = trio.Event()
        self.life = trio.CancelScope()  # from startup to shutdown
        self.nursery = self.tracker = self.lock = self.drain = self.relay_clock = None
        self.follows = False  # another process served when this one started
        self.operations = Operations(self, self.build_overrides())
        self.operators = OperatorsThread(self.operations, settings["ops"])
        self.list_failure = trio.Event()  # set when a call to discovery has failed
        self.reload_due = False  # SIGHUP came before there was anything to reload

    def enter(self, phase, **fields):
        """Changes the phase and logs it."""
        self.phase = phase
        log_event("phase", phase=phase.value, **fields)

    async def run(self):
        """Runs the relay from startup to the end of shutdown."""
        try:
            async with trio.open_nursery() as self.nursery:
                await self.nursery.start(self.handle_signals)
                if self.settings["ops"]:
                    await self.operators.start(self.nursery)
                with self.life:
                    await self.live()
                await self.operators.close()
                self.nursery.cancel_scope.cancel()
        finally:
            self.operators.end()
        if self.tracker:
            self.journal.close()
            self.log_figures()
        self.enter(Phase.ENDED, **self.counts())

    async def live(self):
        """Opens the relay, recovers what earlier processes left, and serves until the end of shutdown."""
        listener = await open_client_socket(self.settings["descriptor"], self.settings["listen"], log_event)
        self.relay_clock = await retry_os_errors(self.open_clock, FOLDER_NOT_USABLE, log_event)
        self.build(listener)
        await self.nursery.start(self.open_working_nursery)
        self.tracker.notify_dispatcher("start")
        self.load_initial_endpoints()
        self.nursery.start_soon(self.operations.watch)
        self.lock = await acquire_folder(
            self.settings["state"], self.journal.check_readable, self.wait_as_successor
        )
        await retry_os_errors(self.recover, FOLDER_NOT_USABLE, log_event)
        await start_listening(listener, RELAY_LIMITS["backlog"], log_event)
        self.start_serving()
        await self.left.wait()
        await self.close(listener)

    def wait_as_successor(self):
        """Another process has the folder: this one is ready to take it over."""
        self.follows = True
        self.operations.heed_changes()
        self.enter(Phase.WAITING)

    def unlock(self):
        """Lets another process, or another start of this one, lock the folder."""
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def counts(self):
        """Log fields: messages held, notices pending."""
        if not self.tracker:
            return {}
        return {"held": len(self.tracker.held), "owed": len(self.tracker.pending_notices)}

    def build(self, listener):
        """Creates the parts of the relay and connects them; nothing is sent or written yet."""
        budget = divide_descriptors(self.settings["sockets"])
        memory = shared_bytes(self.settings["memory"])
        terms = dict(self.settings["terms"])
        terms["slots"] = min(terms.get("slots", budget.hosts), budget.hosts)  # each call needs a connection
        self.build_tracker(terms, memory)
        self.build_connections(terms, budget.hosts)
        largest_request = RELAY_LIMITS["max_head_bytes"] + RELAY_LIMITS["max_body_bytes"]
        partial_bytes = max(largest_request, int(memory * RELAY_LIMITS["partial_requests_share"]))
        self.clients = Clients(
            self.tracker,
            RELAY_LIMITS,
            listener,
            budget.clients,
            budget.refused,
            partial_bytes,
            log_event,
            self.tracker.request_refused,
        )
        self.tracker.close_idle_clients = self.clients.close_idle
        self.drain = Drain(self.clients)

    def build_overrides(self):
        """The file of what operators ordered; it is not opened yet."""
        settings = self.settings
        max_bytes = int(settings["disk"] * RELAY_LIMITS["overrides_share"])
        return OverridesFile(Disk(settings["state"]), max_bytes, settings["sync"] != "off", log_event)

    def build_tracker(self, terms, memory):
        """The tracker with its dispatcher, and the files of the folder within the limit on the disk."""
        settings, limits = self.settings, RELAY_LIMITS
        syncs = settings["sync"] != "off"
        cached_list = int(settings["disk"] * limits["endpoint_cache_share"])
        learned = int(settings["disk"] * limits["learned_state_share"])
        overrides = int(settings["disk"] * limits["overrides_share"])
        room = settings["disk"] - 2 * (cached_list + learned + overrides + CLOCK_BYTES + STATE_BYTES)
        self.journal = Journal(Disk(settings["state"]), room, settings["name"], syncs)
        self.endpoint_cache = EndpointCache(settings["state"], cached_list, self.describe_list)
        dispatcher, clock = Dispatcher(settings["seed"], terms), self.relay_clock.now
        self.tracker = tracker = MessageTracker(
            dispatcher, terms, limits, self.journal, memory, clock, log_event
        )
        tracker.heed_changes = self.operations.heed_changes
        tracker.learned = Learned(settings["state"], log_event, learned, syncs)
        tracker.syncer = Syncer(self.journal, settings["sync"], settings["sync_every"], log_event)
        self.alarm = Alarm(clock, lambda: tracker.notify_dispatcher("wake"))
        tracker.set_wakeup, tracker.on_exit = self.alarm.set, self.left.set
        self.standstills = Standstills(time.monotonic_ns)
        trio.lowlevel.add_instrument(self.standstills)
        tracker.longest_unread_ns = self.standstills.unread_for
        tracker.heed_stall = self.standstills.heed

    def build_connections(self, terms, max_host_connections):
        """The drivers of the connections to hosts and to discovery."""
        tracker, limits, clock = self.tracker, RELAY_LIMITS, self.relay_clock.now
        address = self.settings["discovery"]
        keep_for = terms.get("idle_close", limits["idle_timeout"]) * limits["idle_share"]
        self.pool = ConnectionPool(max_host_connections, keep_for, time.monotonic_ns, tracker.max_idle_time)
        tracker.hosts = Hosts(self.nursery, tracker, self.pool, limits, terms, clock, log_event)
        tracker.notices = Notices(tracker, limits, address, log_event)
        self.watch = Watch(terms["listed_rates"], None)
        tracker.discovery = Discovery(
            self.nursery, tracker, tracker.hosts, limits, address, self.watch, clock, log_event
        )

    def open_clock(self):
        """The clock that continues that of earlier processes; OSError where their folder can't be read."""
        return open_clock(Disk(self.settings["state"]), syncs=self.settings["sync"] != "off")

    def recover(self):
        """Replays the journal; OSError where it can't be read."""
        continues = self.relay_clock.continues
        if self.phase is not Phase.RECOVERING:
            self.enter(Phase.RECOVERING, clock="kept" if continues else "new")
        self.operations.begin(self.follows)
        self.initial_endpoints.restore_at_takeover(self.follows)
        self.tracker.recover(same_clock=continues)

    def start_serving(self):
        """Starts all tasks."""
        self.tracker.discovery.on_endpoints = self.endpoint_cache.update_and_save
        self.tracker.discovery.on_failure = lambda: self.list_failure.set()
        self.endpoint_cache.save()
        self.standstills.take_longest()  # recovery does not come again
        self.tracker.ready = True
        self.enter(Phase.SERVING, restored=len(self.tracker.held), owed=len(self.tracker.pending_notices))
        self.operations.apply_drain()
        self.nursery.start_soon(self.clients.serve)
        self.start_work()
        if self.reload_due or startup_signals.hangup_came:
            self.reload()

    async def open_working_nursery(self, task_status):
        """Runs the nursery of all tasks that send, or write to the folder, until `stop_working`."""
        async with trio.open_nursery() as self.working:
            self.tracker.hosts.nursery = self.tracker.discovery.nursery = self.working
            self.working.start_soon(self.alarm.serve)
            task_status.started()
            await trio.sleep_forever()

    def start_work(self):
        """Starts the tasks that need the folder."""
        tracker = self.tracker
        tasks = self.sweep, self.compact, self.report, self.keep_list_state
        for task in (tracker.notices.serve, tracker.syncer.serve, *tasks):
            self.working.start_soon(task)

    def stop_working(self):
        """Ends all tasks that send, or write to the folder."""
        self.working.cancel_scope.cancel()

    async def resume_working(self):
        """Starts them again."""
        await self.nursery.start(self.open_working_nursery)
        self.start_work()

    def load_initial_endpoints(self):
        """Loads the endpoint list to begin with."""
        discovery, schedule = self.tracker.discovery, self.tracker.dispatcher.list_schedule
        discovery.on_endpoints = self.endpoint_cache.update
        configured, listed_rates = self.settings["known"], self.settings["terms"]["listed_rates"]
        self.initial_endpoints = InitialEndpoints(
            self.endpoint_cache, configured, listed_rates, discovery, schedule, self.relay_clock
        )
        self.initial_endpoints.restore_at_start()

    def describe_list(self):
        """The ListOrigin and the ListKnowledge of the endpoint list that is used."""
        schedule = self.tracker.dispatcher.list_schedule
        return self.tracker.discovery.list_origin, schedule.knowledge(self.relay_clock.now())

    def save_endpoints(self):
        """Saves the endpoint list and what is known of it, if they have changed."""
        self.endpoint_cache.save()
        self.endpoint_cache.save_state(*self.describe_list())

    async def keep_list_state(self):
        """Saves what is known of the list at intervals, and at once when a call to discovery has failed. On a
        thread, as a disk that stands still must not hold up a relay that is idle."""
        while True:
            self.list_failure = trio.Event()
            await trio.to_thread.run_sync(self.endpoint_cache.save_state, *self.describe_list())
            with trio.move_on_after(RELAY_LIMITS["sweep_interval"] / 1e9):
                await self.list_failure.wait()

    async def close(self, listener):
        """Shuts down without leaving a request unanswered: requests still being read get 503."""
        tracker = self.tracker
        tracker.ready = tracker.is_released  # a successor serves
        self.enter(Phase.CLOSING, held=len(tracker.held), clients=len(self.clients.accepted))
        if self.settings["descriptor"] is not None:
            self.clients.stop_accepting()  # what waits on a shared socket is for the next process
        self.clients.close_idle()
        with trio.move_on_after(ACCEPTED_GRACE_S):  # the requests of connections that were just accepted
            await self.clients.wait_all_closed()
        self.clients.close_idle(include_silent=True)
        with trio.move_on_after(RELAY_LIMITS["closing_grace"] / 1e9):
            while self.clients.accepted or (tracker.pending_notices and not tracker.is_released):
                await trio.sleep(RELAY_LIMITS["short_retry_delay"] / 1e9)
        listener.close()

    async def report(self):
        """Logs the metrics at intervals."""
        while True:
            await trio.sleep(REPORT_EVERY_S)
            self.log_figures()

    def log_figures(self):
        if totals := self.tracker.metrics.snapshot_if_changed():
            log_event(
                "figures", held=len(self.tracker.held), owed=len(self.tracker.pending_notices), **totals
            )

    async def handle_signals(self, task_status):
        """SIGTERM and SIGINT start the shutdown, SIGHUP reloads the configuration."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()
            async for number in signals:
                trigger = Trigger.RELOAD if number == signal.SIGHUP else Trigger.TERMINATE
                self.react(reaction_to(trigger, self.phase))

    def react(self, reaction):
        """Does what a signal asks for."""
        if reaction is Reaction.RELOAD_LATER:
            self.reload_due = True
        elif reaction is Reaction.RELOAD:
            self.reload()
        elif reaction is Reaction.END:
            self.life.cancel()
        elif reaction is Reaction.LEAVE and has_successor(self.settings["state"]):
            self.nursery.start_soon(Handover(self).run)
        elif reaction is Reaction.LEAVE:
            self.leave()

    def begin_drain(self):
        """Clients go elsewhere from now on; a relay that serves changes its phase."""
        self.tracker.is_draining = True
        if self.phase is Phase.SERVING:
            self.enter(Phase.DRAINING, **self.counts(), clients=len(self.clients.accepted))
        self.drain.begin(self.nursery)

    def end_drain(self):
        """Clients are served as before."""
        self.tracker.is_draining = False
        self.drain.end()
        self.enter(Phase.SERVING, **self.counts())

    def leave(self):
        """Starts the shutdown."""
        self.enter(Phase.LEAVING, held=len(self.tracker.held))
        self.tracker.notify_dispatcher("stop")

    def reload(self):
        """Reloads the configuration. The discovery address changes at once and open messages are kept; other
        settings take effect at the next start."""
        try:
            settings = config.read()
        except Bad as cause:
            log_event("configuration not read, the old one stays", error=str(cause)[:400])
            return
        set_log(**settings["log"])
        address = settings["discovery"]
        later = sorted(
            name
            for name in settings
            if name not in ("discovery", "known", "log", "seed") and settings[name] != self.settings[name]
        )
        log_event(
            "configuration read",
            discovery=address,
            moved=address != self.settings["discovery"],
            at_next_start=later,
        )
        if address != self.settings["discovery"]:
            self.settings["discovery"] = address
            self.tracker.notices.set_address(address)
            self.tracker.discovery.set_address(address)

    async def compact(self):
        """Runs compaction slices between other work."""
        while True:
            busy = self.journal.wants() and self.tracker.run_guarded(self.journal.step)
            await trio.sleep(RELAY_LIMITS["compaction_pause" if busy else "short_retry_delay"] / 1e9)

    async def sweep(self):
        """Periodic maintenance: closes stale connections and retries writes that failed."""
        while True:
            due = time.monotonic_ns() + RELAY_LIMITS["sweep_interval"]
            await trio.sleep(RELAY_LIMITS["sweep_interval"] / 1e9)
            self.tracker.metrics.record_longest(LOOP_DELAY, time.monotonic_ns() - due)
            self.tracker.update_stalls(self.standstills.take_longest())
            self.pool.close_stale()
            self.tracker.retry_unwritten()
            self.tracker.save_learned_state()
            self.endpoint_cache.save()


def main(settings):
    """Runs a relay with these settings; returns the exit code of the process."""
    set_log(**settings["log"], relay=settings["name"], pid=os.getpid())
    while (code := run_once(Relay(settings))) is None:
        time.sleep(RESTART_INTERVAL_S)
    gc.freeze()  # the interpreter's last collections would keep a process without addresses alive
    return code


def run_once(relay):
    """Runs a relay to its end; the exit code, None where the start failed and is to be tried again."""
    code = 0
    try:
        trio.run(relay.run)
    except* Newer as group:  # logged in one line; the folder is unchanged
        log_event(FOLDER_NOT_USABLE, error=str(group.exceptions[0])[:300])
        code = 2
    except* OSError as group:
        if not relay.phase.holds_nothing:
            raise
        relay.unlock()  # the next start is of this process too
        log_event("start failed", error=str(group.exceptions[0])[:300])
        code = None
    return code
