"""Runs one relay: startup, recovery, serving, shutdown."""

import enum
import signal
import time

import trio

from courseroute.checked import Bad
from courseroute.decide import RELAY_LIMITS, Dispatcher
from courseroute.journal.disk import Disk
from courseroute.journal.frames import Newer
from courseroute.journal.learned import Learned
from courseroute.journal.lock import Held, lock
from courseroute.journal.store import Journal
from courseroute.journal.syncer import Syncer
from courseroute.run import config, startup_signals
from courseroute.run.clock import BYTES as CLOCK_BYTES
from courseroute.run.clock import open_clock
from courseroute.run.logbook import say, set_log
from courseroute.run.standstill import Standstills
from courseroute.state.desk import Desk
from courseroute.state.figures import LOOP_DELAY
from courseroute.state.pool import Pool
from courseroute.state.roster import Roster
from courseroute.wire.clients import Clients
from courseroute.wire.discovery import Discovery, Watch
from courseroute.wire.hosts import Hosts
from courseroute.wire.notices import Notices
from courseroute.wire.words import roster_of

REPORT_EVERY_S = 10.0  # between two reports of counters in the log
LOCK_TIMEOUT_S = 2.0  # a killed predecessor releases its lock within this time


class Phase(enum.Enum):
    STARTING = "starting"  # nothing is open yet
    RECOVERING = "recovering"  # the journal is replayed and its messages are scheduled
    SERVING = "serving"
    LEAVING = "leaving"  # asked to stop: still serves, accepts what can be sent in time
    CLOSING = "closing"  # no new calls; requests in progress are answered
    ENDED = "ended"


class Relay:
    """One relay in this process; `told`: its settings as `config.read` returns them."""

    def __init__(self, told):
        self.told, self.phase = told, Phase.STARTING
        self.alarm_at, self.alarm_set, self.left = None, trio.Event(), trio.Event()

    def enter(self, phase, **fields):
        """Changes the phase and logs it."""
        self.phase = phase
        say("phase", phase=phase.value, **fields)

    async def run(self):
        """Runs the relay from startup to the end of shutdown."""
        told, limits, terms = self.told, RELAY_LIMITS, dict(self.told["terms"])
        kept_list = int(told["disk"] * limits["endpoint_cache_share"]) if told["keeps_list"] else 0
        syncs = told["sync"] != "off"
        self.lock = lock(told["state"], LOCK_TIMEOUT_S)
        clock = open_clock(Disk(told["state"]), syncs=syncs)
        self.clock = clock.now
        learned = int(told["disk"] * limits["learned_state_share"])
        room = told["disk"] - 2 * (kept_list + learned + CLOCK_BYTES)
        log = Journal(Disk(told["state"]), room, told["name"], syncs)
        self.roster = Roster(told["state"], kept_list) if kept_list else None
        most_calls = int(told["sockets"] * limits["host_connections"])
        terms["slots"] = min(terms.get("slots", most_calls), most_calls)  # each call needs a connection
        dispatcher = Dispatcher(told["seed"], terms)
        self.desk = desk = Desk(dispatcher, terms, limits, log, told["memory"], self.clock, say)
        desk.learned = Learned(told["state"], say, learned, syncs)
        desk.syncer = Syncer(log, told["sync"], told["sync_every"], say)
        standstills = Standstills(time.monotonic_ns)
        trio.lowlevel.add_instrument(standstills)
        desk.unread_for = standstills.unread_for
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(told["listen"])
        async with trio.open_nursery() as nursery:
            keep_for = terms.get("idle_close", limits["idle_timeout"]) * limits["idle_share"]
            pool = Pool(most_calls, keep_for, time.monotonic_ns, desk.max_idle_time)
            desk.hosts = Hosts(nursery, desk, pool, limits, terms, self.clock, say)
            desk.notices = Notices(desk, limits, told["discovery"], say)
            watch = Watch(terms["listed_rates"], None)
            desk.discovery = Discovery(
                nursery, desk, desk.hosts, limits, told["discovery"], watch, self.clock, say
            )
            desk.alarm, desk.leave = self.set_alarm, self.left.set
            self.enter(Phase.RECOVERING, clock="kept" if clock.continues else "new")
            desk.tell("start")
            self.load_initial_endpoints(watch)
            desk.recover(same_clock=clock.continues)
            most, refusing = (
                int(told["sockets"] * limits[name]) for name in ("client_connections", "refusing")
            )
            half_read = int(told["memory"] * limits["partial_requests_share"])
            self.clients = Clients(desk, limits, listener, most, refusing, half_read, say)
            desk.see_off = self.clients.close_idle
            listener.listen(limits["backlog"])
            desk.ready = True
            self.enter(Phase.SERVING, restored=len(desk.held), owed=len(desk.owed))
            await nursery.start(self.handle_signals)
            for task in (self.clients.serve, desk.notices.serve, self.alarms):
                nursery.start_soon(task)
            nursery.start_soon(self.sweep, pool)
            nursery.start_soon(self.compact, log)
            nursery.start_soon(desk.syncer.serve)
            nursery.start_soon(self.report)
            await self.left.wait()
            await self.close(listener)
            nursery.cancel_scope.cancel()
        log.close()
        self.log_figures()
        self.enter(Phase.ENDED, held=len(desk.held), owed=len(desk.owed))

    def load_initial_endpoints(self, watch):
        """Loads the endpoint list from the cache, or from the configuration where that supplies it."""
        known = self.roster.read() if self.roster else self.told["known"]
        if self.roster:
            self.desk.discovery.keep = self.roster.keep
            if known is None:  # first start: the whole list is requested from discovery
                return
        try:
            index, _, entries, where = roster_of(known, self.told["terms"]["listed_rates"])
        except ValueError as cause:  # an invalid saved list must not prevent the start
            say("saved list not read", error=str(cause)[:200])
            return
        watch.index = None if self.roster else index
        self.desk.discovery.learn("saved", entries, where)

    async def close(self, listener):
        """Shuts down without leaving a request unanswered: requests still being read get 503."""
        self.desk.ready = False
        self.enter(Phase.CLOSING, held=len(self.desk.held), clients=len(self.clients.open))
        self.clients.close_idle(silent_too=True)
        with trio.move_on_after(RELAY_LIMITS["closing_grace"] / 1e9):
            while self.clients.open or self.desk.owed:
                await trio.sleep(RELAY_LIMITS["short_retry_delay"] / 1e9)
        listener.close()

    async def report(self):
        """Logs the metrics at intervals."""
        while True:
            await trio.sleep(REPORT_EVERY_S)
            self.log_figures()

    def log_figures(self):
        if totals := self.desk.figures.take_report():
            say("figures", held=len(self.desk.held), owed=len(self.desk.owed), **totals)

    async def handle_signals(self, task_status):
        """SIGTERM and SIGINT start the shutdown, SIGHUP reloads the configuration."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()
            if startup_signals.hangup_came:
                self.reload()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                elif self.phase is Phase.SERVING:
                    self.enter(Phase.LEAVING, held=len(self.desk.held))
                    self.desk.tell("stop")

    def reload(self):
        """Reloads the configuration. The discovery address changes at once and open messages are kept; other
        settings take effect at the next start."""
        try:
            told = config.read()
        except Bad as cause:
            say("configuration not read, the old one stays", error=str(cause)[:400])
            return
        set_log(**told["log"])
        place = told["discovery"]
        later = sorted(
            name
            for name in told
            if name not in ("discovery", "known", "log", "seed") and told[name] != self.told[name]
        )
        say("configuration read", discovery=place, moved=place != self.told["discovery"], at_next_start=later)
        if place != self.told["discovery"]:
            self.told["discovery"] = place
            self.desk.notices.move(place)
            self.desk.discovery.move(place)

    def set_alarm(self, delay):
        """Wakes the dispatcher in `delay` nanoseconds, or earlier if an earlier wake-up is set."""
        at = self.clock() + delay
        self.alarm_at = min(at, self.alarm_at or at)
        self.alarm_set.set()

    async def alarms(self):
        """Wakes the dispatcher at the times that `set_alarm` sets."""
        while True:
            self.alarm_set = trio.Event()
            left = self.alarm_at - self.clock() if self.alarm_at else RELAY_LIMITS["idle_timeout"]
            with trio.move_on_after(max(0, left) / 1e9):
                await self.alarm_set.wait()
                continue
            if self.alarm_at and self.clock() >= self.alarm_at:
                self.alarm_at = None
                self.desk.tell("wake")

    async def compact(self, log):
        """Runs compaction slices between other work."""
        while True:
            busy = log.wants() and self.desk.guarded(log.step)
            await trio.sleep(RELAY_LIMITS["compaction_pause" if busy else "short_retry_delay"] / 1e9)

    async def sweep(self, pool):
        """Periodic maintenance: closes stale connections and retries writes that failed."""
        while True:
            due = time.monotonic_ns() + RELAY_LIMITS["sweep_interval"]
            await trio.sleep(RELAY_LIMITS["sweep_interval"] / 1e9)
            self.desk.figures.longest(LOOP_DELAY, time.monotonic_ns() - due)
            pool.sweep()
            self.desk.write_late()
            self.desk.keep_lessons()
            if self.roster:
                self.roster.write()


def main(told):
    """Runs a relay with these settings; returns the exit code of the process."""
    set_log(**told["log"], relay=told["name"])
    code = 0
    try:
        trio.run(Relay(told).run)
    except* (Newer, Held) as group:  # logged in one line; the folder is unchanged
        say("folder not usable", error=str(group.exceptions[0])[:300])
        code = 2
    return code
