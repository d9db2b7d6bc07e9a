"""One relay from start to exit."""
import contextlib
import enum
import os
import signal
import socket
import time

import trio

from courseroute.checked import Bad
from courseroute.decide import HOUSE, Dispatcher
from courseroute.journal.disk import Disk
from courseroute.journal.frames import Newer
from courseroute.journal.learned import Learned
from courseroute.journal.lock import SUCCESSOR, Held, lock, successor_waits, taken
from courseroute.journal.store import Journal
from courseroute.journal.syncer import Syncer
from courseroute.run import config
from courseroute.run.logbook import say, set_log
from courseroute.state.desk import Desk
from courseroute.state.homecoming import LINE, Listener, Teller
from courseroute.state.orders import Orders
from courseroute.state.pool import Pool
from courseroute.state.roster import Roster
from courseroute.wire.clients import Clients
from courseroute.wire.discovery import Discovery, Watch
from courseroute.wire.hosts import Hosts
from courseroute.wire.notices import Notices
from courseroute.wire.operators import Operators
from courseroute.wire.words import figures_text, roster_of

LAST_LIFE = 2.0         # seconds in which a process that was killed lets go of the folder


class Phase(enum.Enum):
    STARTING = "starting"           # nothing is open yet
    WAITING = "waiting"             # another process decides on the folder: it is to be taken over
    RECOVERING = "recovering"       # the log is read back, the module decides on what it holds
    SERVING = "serving"
    DRAINING = "draining"           # asked to empty itself: new clients go elsewhere, what is held goes on
    LEAVING = "leaving"             # told to stop: still serves, takes on what can still go out
    HANDING = "handing"             # told to stop while a successor waits: calls come home, no more leave
    HANDED = "handed"               # the successor decides; what is half read here is answered
    CLOSING = "closing"             # no new calls; what is being answered is answered
    ENDED = "ended"


class Relay:
    def __init__(self, told):
        self.told, self.phase = told, Phase.STARTING
        offset = time.time_ns() - time.monotonic_ns()       # Unix time that never steps back
        self.clock = lambda: time.monotonic_ns() + offset
        self.alarm_at, self.alarm_set, self.left = None, trio.Event(), trio.Event()
        self.lock, self.down = None, {}     # down: hosts that staff took out

    def enter(self, phase, **figures):
        self.phase = phase
        say("phase", phase=phase.value, **figures)

    async def run(self):
        told, house, terms = self.told, HOUSE, dict(self.told["terms"])
        kept_list = int(told["disk"] * house["kept_list"]) if told["keeps_list"] else 0
        learned, orders = (int(told["disk"] * house[name]) for name in ("learned", "orders"))
        syncs = told["sync"] != "off"
        if told["socket"] is None:
            self.lock = lock(told["state"], LAST_LIFE)
        most_calls = int(told["sockets"] * house["host_connections"])
        room = told["disk"] - 2 * (kept_list + learned + orders) - LINE * most_calls
        self.log = log = Journal(Disk(told["state"]), room, told["name"], syncs)
        self.roster = Roster(told["state"], kept_list) if kept_list else None
        self.orders = Orders(told["state"], orders, syncs)
        terms["slots"] = min(terms.get("slots", most_calls), most_calls)    # each call needs a connection
        dispatcher = Dispatcher(told["seed"], terms)
        self.desk = desk = Desk(dispatcher, terms, house, log, told["memory"], self.clock, say)
        desk.learned = Learned(told["state"], say, learned, syncs)
        desk.syncer = Syncer(log, told["sync"], told["sync_every"], say)
        listener = await self.client_socket()
        async with trio.open_nursery() as nursery:
            self.nursery, self.deciding = nursery, await nursery.start(held_open)
            if told["ops"]:
                door = await self.bound(told["ops"])
                door.listen(house["backlog"])
                nursery.start_soon(Operators(house, door, self.operate, say).serve)
            keep_for = terms.get("idle_close", house["idle"]) * house["idle_share"]
            self.pool = Pool(most_calls, keep_for, time.monotonic_ns, desk.fresh_for)
            desk.hosts = Hosts(nursery, desk, self.pool, house, terms, self.clock, say)
            desk.notices = Notices(desk, house, told["discovery"], say)
            watch = Watch(terms["listed_rates"], None)
            desk.discovery = Discovery(desk, desk.hosts, house, told["discovery"], watch, say)
            desk.alarm, desk.leave = self.set_alarm, self.left.set
            most, refusing = (
                int(told["sockets"] * house[name]) for name in ("client_connections", "refusing"))
            half_read = int(told["memory"] * house["half_read"])
            self.clients = Clients(desk, house, listener, most, refusing, half_read, say)
            desk.see_off = self.clients.close_idle
            await nursery.start(self.heed_signals)
            log.look()
            desk.tell("start")
            self.learn_known(watch)
            for task in (self.alarms, desk.discovery.serve, self.heed_orders):
                self.deciding.start_soon(task)
            follows = await self.take_over()
            self.enter(Phase.RECOVERING)
            self.begin_orders(follows)
            home = Listener(told["state"])
            desk.recover(home.out)
            if self.orders.bad:
                say("orders not read, no host is down by hand", error=self.orders.bad[:200])
            if not is_listening(listener):
                listener.listen(house["backlog"])
            desk.ready = True
            draining = desk.draining is not None
            phase, self.clients.closing = Phase.DRAINING if draining else Phase.SERVING, draining
            self.enter(phase, restored=len(desk.held), owed=len(desk.owed))
            nursery.start_soon(self.clients.serve)
            self.deciding.start_soon(self.hear_home, home)
            for task in (desk.notices.serve, self.sweep, self.compact, desk.syncer.serve):
                self.deciding.start_soon(task)
            await self.left.wait()
            if self.phase is not Phase.HANDED:
                await self.close(listener)
            nursery.cancel_scope.cancel()
        log.close()
        self.enter(Phase.ENDED, held=len(desk.held), owed=len(desk.owed))

    async def client_socket(self):
        """Where clients connect: the socket that the platform holds, or one of its own."""
        if self.told["socket"] is None:
            return await self.bound(self.told["listen"])
        return trio.socket.from_stdlib_socket(socket.socket(fileno=self.told["socket"]))

    async def bound(self, place):
        listener = trio.socket.socket()
        listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await listener.bind(place)
        return listener

    async def take_over(self):
        """Waits for the folder while another process still decides on it; whether there was one."""
        folder = self.told["state"]
        if self.lock is not None:
            return False
        self.lock = taken(folder)
        if self.lock is not None:
            return False
        waits = taken(os.path.join(folder, SUCCESSOR))
        if waits is None:
            raise Held(f"{folder}: a relay runs on it, and another waits for it")
        with trio.move_on_after(HOUSE["list_within"] / 1e9):
            while self.read_ahead():
                await trio.sleep(0)
        self.enter(Phase.WAITING)
        while self.lock is None:
            self.read_ahead()
            await trio.sleep(HOUSE["baton"] / 1e9)
            self.lock = taken(folder)
        os.close(waits)
        return True

    def read_ahead(self):
        """A segment of the journal that closed meanwhile; what can't be read now is read at the takeover."""
        try:
            return self.desk.read_ahead()
        except OSError:
            return False

    def leave(self):
        self.enter(Phase.LEAVING, held=len(self.desk.held))
        self.desk.tell("stop")

    async def hand_over(self):
        """A successor gets the folder, and who connects, at once. Calls out stay here and their outcomes are
        told; what is half read here is answered."""
        desk, hosts, folder = self.desk, self.desk.hosts, self.told["state"]
        self.enter(Phase.HANDING, held=len(desk.held), out=len(hosts.scopes))
        self.clients.close_idle()
        await trio.sleep(0)     # they end now: who writes while other work is done here would be unread
        desk.tell("hand_over")
        hosts.cancel_all(but_left=True)
        self.clients.accepting.cancel()
        with trio.move_on_after(HOUSE["see_off"] / 1e9):    # who had just connected is still taken on
            while self.clients.open:
                await trio.sleep(0.001)
        while len(hosts.scopes) > len(hosts.left):      # each that did not leave writes that down
            await trio.sleep(0)
        try:
            teller = Teller(folder, hosts.scopes)
        except OSError as cause:        # unheard, all that is out counts as cut off
            say("outcomes cannot be told on", error=str(cause)[:200])
            teller = None
        if teller is None or not successor_waits(folder):     # it died meanwhile: an end like any other
            self.clients.accepting = trio.CancelScope()
            self.nursery.start_soon(self.clients.serve)
            return self.leave()
        desk.ready, desk.handed = False, teller
        desk.keep_lessons()
        self.deciding.cancel_scope.cancel()
        self.log.close()
        self.pool.close_all()
        self.enter(Phase.HANDED, held=len(desk.held), clients=len(self.clients.open), out=len(hosts.scopes))
        os.close(self.lock)
        with trio.move_on_after(HOUSE["home_within"] / 1e9):
            while self.clients.open or hosts.scopes:
                await trio.sleep(HOUSE["notice_pause"] / 1e9)
        hosts.cancel_all()
        while hosts.scopes:
            await trio.sleep(0)
        self.left.set()

    async def hear_home(self, listener):
        """Outcomes of calls that the process before this one left out."""
        while listener.out:
            for outcome in listener.hear():
                self.desk.came_home(*outcome)
            await trio.sleep(HOUSE["baton"] / 1e9)
        listener.close()

    # What staff ask and order.

    async def operate(self, what, host):
        """An answer at the second address: (status, body)."""
        if what == "readiness":
            serves = self.phase in (Phase.WAITING, Phase.SERVING, Phase.LEAVING, Phase.HANDING)
            return 200 if serves else 503, f"{self.phase.value}\n".encode()
        if what == "stats":
            return 200, figures_text(self.desk.figures())
        if host is not None and not self.desk.dispatcher.knows(host):
            return 404, b"no such host\n"
        try:
            self.order(what, host)
        except OSError as cause:
            say("order not written", what=what, error=str(cause)[:200])
            return 503, f"{cause}\n".encode()
        if self.phase in (Phase.WAITING, Phase.HANDED):     # the process that decides has to have read it
            await trio.sleep(2 * HOUSE["notice_pause"] / 1e9)
        return 200, b""

    def order(self, what, host):
        """Written first, for the next life and for another process beside this one; then heeded."""
        if host is None:
            self.orders.change(drain=what == "drain/start")
        else:
            since = self.clock() if what == "hosts/down" else None
            for gone in self.orders.change(host, since, listed=self.desk.dispatcher.hosts.__contains__):
                say("ban dropped for want of room, its host left", host=gone)
        self.heed(*self.orders.read())

    def begin_orders(self, follows):
        """Bans outlast all; a drain ends with its process, but not by an upgrade."""
        down, drain = self.orders.read()
        if drain and not follows:
            with contextlib.suppress(OSError):
                self.orders.change(drain=False)
        self.heed(down, drain and follows)

    def heed(self, down, drain):
        """What the orders say that was not so here."""
        for host, since in down.items():
            if host not in self.down:
                self.desk.tell("ban", host, since)
        for host in self.down:
            if host not in down:
                self.desk.tell("lift", host)
        self.down = down
        self.drain(drain)

    async def heed_orders(self):
        while True:
            await trio.sleep(HOUSE["notice_pause"] / 1e9)
            if self.orders.changed():
                self.heed(*self.orders.read())
                if self.orders.bad:
                    say("orders not read, the last ones stay", error=self.orders.bad[:200])

    def drain(self, on):
        """Staff empty the relay, or have it work again; what is so already stays so."""
        if on == (self.desk.draining is not None):
            return
        self.desk.draining = self.clock() if on else None
        if self.phase in (Phase.SERVING, Phase.DRAINING):
            self.enter(Phase.DRAINING if on else Phase.SERVING, held=len(self.desk.held))
            self.clients.close_idle() if on else self.clients.keep_idle()

    def learn_known(self, watch):
        known = self.roster.read() if self.roster else self.told["known"]
        if self.roster:
            self.desk.discovery.keep = self.roster.learn
            if known is None:       # a first start: the directory is asked for the whole list
                return
        try:
            index, _, entries, where = roster_of(known, self.told["terms"]["listed_rates"])
        except ValueError as cause:     # a bad saved list must not keep the relay from its start
            say("saved list not read", error=str(cause)[:200])
            return
        watch.index = None if self.roster else index
        self.desk.discovery.learn("saved", entries, where)

    async def close(self, listener):
        """None is left unanswered: what is being read is answered, with 503 by now."""
        self.desk.ready = False
        self.enter(Phase.CLOSING, held=len(self.desk.held), clients=len(self.clients.open))
        self.clients.close_idle(silent_too=True)
        with trio.move_on_after(HOUSE["last_words"] / 1e9):
            while self.clients.open or self.desk.owed:
                await trio.sleep(HOUSE["notice_pause"] / 1e9)
        listener.close()

    async def heed_signals(self, task_status):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reread()
                elif self.phase in (Phase.SERVING, Phase.DRAINING):
                    if successor_waits(self.told["state"]):
                        self.nursery.start_soon(self.hand_over)
                    else:
                        self.leave()
                elif self.phase in (Phase.STARTING, Phase.WAITING):     # it holds nothing
                    self.nursery.cancel_scope.cancel()

    def reread(self):
        """A new configuration: the directory moves at once, all held is kept, the rest waits."""
        try:
            told = config.read()
        except Bad as cause:
            say("configuration not read, the old one stays", error=str(cause)[:400])
            return
        set_log(**told["log"])
        place = told["discovery"]
        later = sorted(name for name in told if name not in ("discovery", "known", "log", "seed")
                       and told[name] != self.told[name])
        say("configuration read", discovery=place, moved=place != self.told["discovery"], at_next_start=later)
        if place != self.told["discovery"]:
            self.told["discovery"] = self.desk.notices.line.place = place
            self.desk.discovery.move(place)

    def set_alarm(self, delay):
        at = self.clock() + delay
        self.alarm_at = min(at, self.alarm_at or at)
        self.alarm_set.set()

    async def alarms(self):
        while True:
            self.alarm_set = trio.Event()
            left = self.alarm_at - self.clock() if self.alarm_at else HOUSE["idle"]
            with trio.move_on_after(max(0, left) / 1e9):
                await self.alarm_set.wait()
                continue
            if self.alarm_at and self.clock() >= self.alarm_at:
                self.alarm_at = None
                self.desk.tell("wake")

    async def compact(self):
        """Slices of compaction between other work."""
        while True:
            busy = self.log.wants() and self.desk.guarded(self.log.step)
            await trio.sleep(HOUSE["between_slices" if busy else "notice_pause"] / 1e9)

    async def sweep(self):
        while True:
            await trio.sleep(HOUSE["sweep"] / 1e9)
            self.pool.sweep()
            self.desk.write_late()
            self.desk.keep_lessons()
            if self.roster:
                self.roster.write()


async def held_open(task_status):
    """A nursery that ends when it is cancelled, whatever is still to be done around it."""
    async with trio.open_nursery() as nursery:
        task_status.started(nursery)
        await trio.sleep_forever()


def is_listening(listener):
    return listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)


def main(told):
    set_log(**told["log"], relay=told["name"])
    code = 0
    try:
        trio.run(Relay(told).run)
    except* (Newer, Held) as group:     # refused in one plain line, nothing touched
        say("folder not usable", error=str(group.exceptions[0])[:300])
        code = 2
    return code
