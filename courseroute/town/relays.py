"""The relays of a town as processes: started, killed, told to stop, paused, bounded, on folders that last.

Called by `play`. A relay is any command that reads ROUTER_CONFIG (a TOML file of docs/configuration.md).
"""
import contextlib
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys

import msgspec
import psutil
import trio

from courseroute.checked import span
from courseroute.run.setup import Fleet, Limits, Setup
from courseroute.town.script import BY_STAFF, strikes
from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Link

READY = b"GET /ready HTTP/1.1\r\nHost: town\r\nConnection: close\r\n\r\n"
STOP_WITHIN, BACK_AFTER, LOOK = 3.7, 0.6, 0.25      # seconds
STAFF_WAIT, YES_WITHIN, LOOK_EVERY = 1.0, 6.0, 1.0      # a caller; a new version; between two looks
EMPTY_WITHIN = 4.0      # seconds from the call in which a drained relay says no and has seen its clients off
STAFFED = BY_STAFF | {"upgrade", "empty"}


class Relay:
    def __init__(self, number, folder, place, command):
        self.number, self.name, self.place, self.command = number, f"n{number}", tuple(place), command
        self.folder, self.state = folder / f"n{number}", folder / f"n{number}" / "state"
        self.state.mkdir(parents=True)
        self.config, self.process, self.lives = self.folder / "relay.toml", None, 0
        self.directory = self.ops = None
        self.held = None            # the clients' socket, on days with upgrades
        self.upgrading, self.processes = False, []      # processes: those that may still live
        self.wanted = False         # it is meant to run: an end is a crash
        self.most = {"memory_kb": 0, "descriptors": 0, "disk_kb": 0}
        self.cpu = self.life_cpu = 0.0      # seconds, of the lives that ended and of this one


def written(setup):
    """A Setup as the text of its TOML file."""
    return msgspec.toml.encode(msgspec.to_builtins(setup))


class Relays:
    def __init__(self, day, folder, places, command, clock, tell, front, count_idle):
        """`front`: told (relay, whether it lives) when the front has noticed; `count_idle`: has the clients
        tell how many connections that relay still holds open to them."""
        self.day, self.clock, self.tell, self.front = day, clock, tell, front
        self.count_idle = count_idle
        self.relays = [Relay(i, folder, place, command) for i, place in enumerate(places)]
        self.tasks, self.at_work = None, 0      # at_work: staff's doings under way
        kinds = {one.kind for one in strikes(day)}
        self.holds, self.staffed = "upgrade" in kinds, bool(kinds & STAFFED)

    def configure(self, relay, directory, ops=None):
        form = self.day.relays
        relay.directory = directory
        if self.staffed:
            relay.ops = ops or relay.ops or free_place(relay.number)
        setup = Setup(
            ops="{}:{}".format(*relay.ops) if relay.ops else None,
            name=relay.name, listen="{}:{}".format(*relay.place), directory="{}:{}".format(*directory),
            state=str(relay.state), seed=f"{self.day.seed * 1000 + relay.number:x}",
            limits=Limits(memory_mb=form.memory_mb, descriptors=form.descriptors, disk_mb=form.disk_mb),
            log=self.day.log, fleet=Fleet(relays=form.count, number=relay.number, area="a"),
            sending=self.day.sending, rules=self.day.rules, lanes=self.day.lanes, kinds=self.day.kinds,
            customers=self.day.quotas)
        relay.config.write_bytes(written(setup))

    def launch(self, relay):
        """One more process of that relay."""
        limit = self.day.relays.descriptors
        environ = os.environ | {"ROUTER_CONFIG": str(relay.config), "ROUTER_STATE": str(relay.state)}
        if self.holds:
            relay.held = relay.held or socket.create_server(relay.place, backlog=512)
            environ["ROUTER_SOCKET_FD"] = str(relay.held.fileno())
        with open(relay.folder / "log", "ab") as log:
            process = subprocess.Popen(relay.command, env=environ, stdin=subprocess.DEVNULL, stdout=log,
                                       stderr=log, cwd=os.getcwd(),
                                       pass_fds=[relay.held.fileno()] if self.holds else [])
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        relay.processes = [one for one in relay.processes if one.poll() is None] + [process]
        return process

    def start(self, relay):
        relay.lives += 1
        relay.wanted = True
        relay.process = self.launch(relay)
        self.tell("relay", self.clock(), relay=relay.name, now="started")

    async def ready(self, relay, within=30.0):
        """Waits until it serves; False where it never did."""
        with trio.move_on_after(within):
            while relay.process is not None and relay.process.poll() is None:
                if await self.asks_ready(relay):
                    self.tell("relay", self.clock(), relay=relay.name, now="ready")
                    self.front(relay.number, True)
                    return True
                await trio.sleep(0.03)
        return False

    async def asks_ready(self, relay):
        with contextlib.suppress(OSError), trio.move_on_after(0.5):
            with trio.socket.socket() as sock:
                await sock.connect(relay.place)
                await trio.SocketStream(sock).send_all(READY)
                return b" 200 " in await sock.recv(100)
        return False

    async def watch(self):
        """Sees an end that nobody asked for, and what each relay uses."""
        while True:
            for relay in self.relays:
                if relay.process is None:
                    continue
                if relay.wanted and (code := relay.process.poll()) is not None:
                    self.gone(relay, f"exit code {code}")
                    self.tasks.start_soon(self.again, relay)
                elif relay.wanted:
                    self.measure(relay)
            await trio.sleep(LOOK)

    def measure(self, relay):
        with contextlib.suppress(psutil.Error, OSError):
            process, most = psutil.Process(relay.process.pid), relay.most
            memory = process.memory_info().rss // 1024
            disk = sum(file.stat().st_size for file in relay.state.iterdir()) // 1024
            for name, value in (("memory_kb", memory), ("descriptors", process.num_fds()), ("disk_kb", disk)):
                most[name] = max(most[name], value)
            times = process.cpu_times()
            relay.life_cpu = times.user + times.system
            form = self.day.relays
            if memory > form.memory_mb * 1024 or disk > form.disk_mb * 1000:
                relay.process.kill()
                self.gone(relay, f"over its limits: {memory} kB of memory, {disk} kB of disk")
                self.tasks.start_soon(self.again, relay)

    def gone(self, relay, text):
        relay.wanted = False
        self.tell("relay", self.clock(), relay=relay.name, now="kill")
        self.tell("relay", self.clock(), relay=relay.name, now="crashed", text=text)
        self.tasks.start_soon(self.noticed, relay)

    async def noticed(self, relay):
        """The front goes on sending to a dead relay for a while."""
        life = relay.lives
        await trio.sleep(span(self.day.relays.noticed_after) / 1e9)
        if relay.lives == life:
            self.front(relay.number, False)

    async def again(self, relay):
        await trio.to_thread.run_sync(relay.process.wait)
        relay.cpu, relay.life_cpu = relay.cpu + relay.life_cpu, 0.0
        await trio.sleep(BACK_AFTER)
        self.start(relay)
        if not await self.ready(relay) and relay.wanted:
            self.tell("relay", self.clock(), relay=relay.name, now="crashed", text="not ready within 30 s")

    # What a day does to them.

    async def kill(self, relay, wipe=False):
        if not relay.wanted:
            return
        relay.wanted = False
        relay.process.kill()
        self.tell("relay", self.clock(), relay=relay.name, now="kill")
        if wipe:
            await trio.to_thread.run_sync(relay.process.wait)
            shutil.rmtree(relay.state)
            relay.state.mkdir()
            self.tell("relay", self.clock(), relay=relay.name, now="wiped")
        self.tasks.start_soon(self.noticed, relay)
        await self.again(relay)

    async def restart(self, relay):
        """Planned: told to stop, killed where it does not in time."""
        if not relay.wanted:
            return
        await self.stop(relay)
        await self.again(relay)

    async def stop(self, relay):
        relay.wanted = False
        self.tell("relay", self.clock(), relay=relay.name, now="term")
        relay.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.3)
        self.front(relay.number, False)     # a planned restart is known to the front soon
        with trio.move_on_after(STOP_WITHIN - 0.3):
            while relay.process.poll() is None:
                await trio.sleep(0.02)
        if relay.process.poll() is None:
            relay.process.kill()
            self.tell("relay", self.clock(), relay=relay.name, now="crashed",
                      text="it had not ended 3.7 s after SIGTERM")
        elif relay.process.returncode != 0:
            self.tell("relay", self.clock(), relay=relay.name, now="crashed",
                      text=f"exit code {relay.process.returncode} after SIGTERM")

    # What staff do.

    async def staff(self, relay, call, place=None):
        """(status, body) of a call to the second address; 0 where none came in time."""
        method, target = call.split()
        link, begun = Link(16 << 10, 1 << 20), self.clock()
        status, body = 0, b""
        with contextlib.suppress(*LOST, Refused), trio.move_on_after(STAFF_WAIT):
            await link.dial(tuple(place or relay.ops))
            await link.send(method, target, [("Host", "staff")])
            await link.hear_all()
            status, body = link.call.status, link.call.body()
        link.close()
        return status, body, self.clock() - begun

    async def order(self, relay, call):
        """A call that has to be answered well, at a relay that lives."""
        while True:
            wanted, lives = relay.wanted and not relay.upgrading, relay.lives
            status, _, took = await self.staff(relay, call)
            if status == 200 or wanted and relay.wanted and lives == relay.lives:
                self.tell("staff", self.clock(), relay=relay.name, call=call, status=status, took=took)
                return
            await trio.sleep(0.1)

    async def look(self, relay):
        """The figures, fetched now and then while the relay lives."""
        while self.staffed:
            await trio.sleep(LOOK_EVERY)
            if relay.wanted and not relay.upgrading:
                await self.order(relay, "GET /ops/stats")

    async def done(self, what):
        """Something that staff do; the day does not end amid it."""
        self.at_work += 1
        await what
        self.at_work -= 1

    async def hosts_down(self, relay, names, ns):
        for name in names:
            await self.order(relay, f"POST /ops/hosts/down/{name}")
            self.tell("banned", self.clock(), relay=relay.name, host=name)
        await trio.sleep(ns / 1e9)
        for name in names:
            self.tell("lifted", self.clock(), relay=relay.name, host=name)
            await self.order(relay, f"POST /ops/hosts/up/{name}")

    async def empty(self, relay, ns):
        """A drain: the front goes on for 0.2 s after the first no."""
        if not relay.wanted:
            return
        begun = trio.current_time()
        await self.order(relay, "POST /ops/drain/start")
        no = await self.turns(relay, False, EMPTY_WITHIN)
        await trio.sleep(0.2)
        self.front(relay.number, False)
        end = trio.current_time() + ns / 1e9
        if begun + EMPTY_WITHIN < end:
            await trio.sleep_until(begun + EMPTY_WITHIN)
            self.count_idle(relay.number)
        await trio.sleep_until(end)
        await self.order(relay, "POST /ops/drain/stop")
        yes = await self.turns(relay, True, 2.0)
        self.front(relay.number, True)
        self.tell("emptied", self.clock(), relay=relay.name, no=no, yes=yes)

    async def turns(self, relay, to, within):
        """Whether /ready comes to say so in time."""
        with trio.move_on_after(within):
            while await self.asks_ready(relay) != to:
                await trio.sleep(0.1)
            return True
        return False

    async def upgrade(self, relay, kills=None, after=0):
        """A new process beside the old one, which is told to stop at its yes. One may be killed amid it."""
        if not relay.wanted or relay.upgrading:
            return
        relay.upgrading, old, old_ops = True, relay.process, relay.ops
        self.configure(relay, relay.directory, free_place(relay.number))
        relay.process = new = self.launch(relay)
        self.tell("relay", self.clock(), relay=relay.name, now="upgrading")
        async with trio.open_nursery() as nursery:
            if kills:
                nursery.start_soon(self.kill_amid, relay, old if kills == "old" else new, after)
            yes, told = await self.says_yes(relay, new), False
            if yes and old.poll() is None:
                told = True
                await self.let_go(relay, old)
        if relay.wanted and not yes:
            text = "a new version never said yes"
            self.tell("relay", self.clock(), relay=relay.name, now="crashed", text=text)
        if not relay.wanted:            # one was killed
            if new.poll() is None and await self.says_yes(relay, new, b"serving"):
                self.back(relay, new)
            elif old.poll() is None and not told:
                relay.ops = old_ops
                self.back(relay, old)
            else:
                await self.again(relay)
        relay.upgrading = False

    def back(self, relay, process):
        relay.process, relay.wanted = process, True
        self.tell("relay", self.clock(), relay=relay.name, now="ready")

    async def says_yes(self, relay, process, word=b""):
        with trio.move_on_after(YES_WITHIN):
            while process.poll() is None:
                status, body, _ = await self.staff(relay, "GET /ops/readiness")
                if status == 200 and body.startswith(word):
                    return True
                await trio.sleep(0.03)
        return False

    async def let_go(self, relay, old):
        old.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_WITHIN):
            while old.poll() is None:
                await trio.sleep(0.02)
        if old.poll() is None:
            old.kill()
            await trio.to_thread.run_sync(old.wait)

    async def kill_amid(self, relay, process, after):
        await trio.sleep(after / 1e9)
        if process.poll() is None:
            relay.wanted = False
            self.tell("relay", self.clock(), relay=relay.name, now="kill")
            process.kill()
            await trio.to_thread.run_sync(process.wait)

    async def pause(self, relay, ns):
        if not relay.wanted:
            return
        relay.process.send_signal(signal.SIGSTOP)
        self.tell("relay", self.clock(), relay=relay.name, now="paused")
        await trio.sleep(ns / 1e9)
        relay.process.send_signal(signal.SIGCONT)
        self.tell("relay", self.clock(), relay=relay.name, now="goes-on")

    async def fill_disk(self, relay, ns):
        """None of its files can grow by a byte, old ones and new ones: every write fails."""
        if not relay.wanted:
            return
        pid, free = relay.process.pid, resource.RLIM_INFINITY
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, free))
            await trio.sleep(ns / 1e9)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (free, free))

    def reread(self, relay):
        if relay.wanted:
            relay.process.send_signal(signal.SIGHUP)

    def end_all(self):
        """The day is over; nothing that was started may be left behind."""
        for relay in self.relays:
            relay.wanted = False
            relay.cpu, relay.life_cpu = relay.cpu + relay.life_cpu, 0.0
            for process in relay.processes:
                if process.poll() is None:
                    process.kill()
                    process.send_signal(signal.SIGCONT)
                    process.wait()
            if relay.held:
                relay.held.close()


def free_place(number):
    """An address nobody listens on: each relay has one of its own, the port is drawn."""
    draw = random.SystemRandom()
    while True:
        place = f"127.18.{number}.1", draw.randrange(20000, 32000)      # below the ports that calls out use
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(place)
            return list(place)


def default_command():
    return [sys.executable, "-m", "courseroute"]
