"""The relays of a town as processes: started, killed, told to stop, paused, bounded, on folders that last.

Called by `play`. A relay is any command that reads ROUTER_CONFIG (a TOML file of docs/configuration.md).
"""

import contextlib
import os
import resource
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import orjson
import psutil
import trio

from courseroute.checked import span
from courseroute.run.setup import Fleet, Limits, Setup
from courseroute.town.clients import Reach
from courseroute.town.script import PROCESS_FAULTS, strikes

READY = b"GET /ready HTTP/1.1\r\nHost: town\r\nConnection: close\r\n\r\n"
HALF_REQUEST = b"POST /notice HTTP/1.1\r\nHost: town\r\nX-Request-Id: "
STOP_WITHIN, BACK_AFTER, LOOK = 3.7, 0.6, 0.25  # seconds
BETWEEN_SIGNALS, BETWEEN_CONNECTIONS = 0.4, 1.0  # seconds
SIGNALS_BEHIND_TERM = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
CHUNK = 65536
SHIMS = Path(__file__).parent / "shims"


class Relay:
    def __init__(self, number, folder, place, command):
        self.number, self.name, self.place, self.command = number, f"n{number}", tuple(place), command
        self.folder, self.state = folder / f"n{number}", folder / f"n{number}" / "state"
        self.state.mkdir(parents=True)
        self.config, self.process, self.lives = self.folder / "relay.toml", None, 0
        self.wanted = False  # it is meant to run: an end is a crash
        self.paused = False  # stopped from outside for a while
        self.served = False  # this life was ready once
        self.most = {"memory_kb": 0, "descriptors": 0, "disk_kb": 0}
        self.cpu = self.life_cpu = 0.0  # seconds, of the lives that ended and of this one
        self.faults = {}  # inside its process, as town/shims/sitecustomize.py reads them
        self.faults_file = self.folder / "faults.json"
        self.write_faults()

    def write_faults(self):
        spare = self.faults_file.with_suffix(".new")
        spare.write_bytes(orjson.dumps(self.faults))
        spare.rename(self.faults_file)


def written(setup):
    """A Setup as the text of its TOML file."""
    return msgspec.toml.encode(msgspec.to_builtins(setup))


class Relays:
    def __init__(self, day, folder, places, command, clock, tell, front):
        """`front`: told (relay, its Reach) when the front has noticed."""
        self.day, self.clock, self.tell, self.front = day, clock, tell, front
        self.relays = [Relay(i, folder, place, command) for i, place in enumerate(places)]
        self.tasks = None
        self.needs_shims = any(strike.kind in PROCESS_FAULTS for strike in strikes(day))

    def configure(self, relay, directory):
        form = self.day.relays
        setup = Setup(
            name=relay.name,
            listen="{}:{}".format(*relay.place),
            directory="{}:{}".format(*directory),
            state=str(relay.state),
            seed=f"{self.day.seed * 1000 + relay.number:x}",
            limits=Limits(memory_mb=form.memory_mb, descriptors=form.descriptors, disk_mb=form.disk_mb),
            log=self.day.log,
            fleet=Fleet(relays=form.count, number=relay.number, area="a"),
            sending=self.day.sending,
            rules=self.day.rules,
            lanes=self.day.lanes,
            kinds=self.day.kinds,
            customers=self.day.quotas,
        )
        relay.config.write_bytes(written(setup))

    def start(self, relay):
        relay.lives += 1
        relay.wanted, relay.served = True, False
        limit = self.day.relays.descriptors
        environ = os.environ | {"ROUTER_CONFIG": str(relay.config), "ROUTER_STATE": str(relay.state)}
        if self.needs_shims:
            path = [str(SHIMS), *filter(None, [os.environ.get("PYTHONPATH", os.getcwd())])]
            environ |= {"PYTHONPATH": os.pathsep.join(path), "FAULTS_FILE": str(relay.faults_file)}
            environ["FAULTS_SEED"] = str(self.day.seed * 1000 + relay.number * 100 + relay.lives)
        with open(relay.folder / "log", "ab") as log:
            relay.process = subprocess.Popen(
                relay.command, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=os.getcwd()
            )
        resource.prlimit(relay.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        self.tell("relay", self.clock(), relay=relay.name, now="started")

    async def ready(self, relay, within=30.0):
        """Waits until it serves; False where it never did."""
        with trio.move_on_after(within):
            while relay.process is not None and relay.process.poll() is None:
                if await self.asks_ready(relay):
                    relay.served = True
                    self.tell("relay", self.clock(), relay=relay.name, now="ready")
                    self.front(relay.number, Reach.ANY)
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
            self.front(relay.number, Reach.NONE)

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

    async def restart(self, relay, in_use=False):
        """Planned: told to stop, killed where it does not in time. `in_use`: clients send on connections that
        stay open to its end, and signals come in series."""
        if not relay.wanted:
            return
        if in_use:
            self.tasks.start_soon(self.signal_again, relay, relay.process)
        await self.stop(relay, Reach.OPEN if in_use else Reach.NONE)
        self.front(relay.number, Reach.NONE)
        await self.again(relay)

    async def signal_again(self, relay, process):
        for number in SIGNALS_BEHIND_TERM:
            await trio.sleep(BETWEEN_SIGNALS)
            if process.poll() is None and relay.process is process:
                process.send_signal(number)

    async def stop(self, relay, reach):
        relay.wanted = False
        self.tell("relay", self.clock(), relay=relay.name, now="term")
        relay.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.3)
        self.front(relay.number, reach)  # a planned restart is known to the front soon
        left = STOP_WITHIN - 0.3
        while relay.process.poll() is None and left > 0:
            looked = trio.current_time()
            await trio.sleep(0.02)
            if not relay.paused:  # one that is stopped from outside can't heed the signal
                left -= trio.current_time() - looked
        if relay.process.poll() is None:
            relay.process.kill()
            self.tell(
                "relay",
                self.clock(),
                relay=relay.name,
                now="crashed",
                text="it had not ended 3.7 s after SIGTERM",
            )
        elif relay.process.returncode not in ((0,) if relay.served else (0, -signal.SIGTERM)):
            self.tell(
                "relay",
                self.clock(),
                relay=relay.name,
                now="crashed",
                text=f"exit code {relay.process.returncode} after SIGTERM",
            )

    async def pause(self, relay, ns):
        if not relay.wanted:
            return
        process, relay.paused = relay.process, True
        process.send_signal(signal.SIGSTOP)
        self.tell("relay", self.clock(), relay=relay.name, now="paused")
        await trio.sleep(ns / 1e9)
        process.send_signal(signal.SIGCONT)
        relay.paused = False
        self.tell("relay", self.clock(), relay=relay.name, now="goes-on")

    async def crowd(self, relay, ns):
        """Clients that open connections, say nothing or half a request, and open them anew when closed."""
        with trio.move_on_after(ns / 1e9):
            async with trio.open_nursery() as nursery:
                for number in range(self.day.relays.descriptors // 2):
                    nursery.start_soon(self.loiter, relay, HALF_REQUEST if number % 2 else b"")

    async def loiter(self, relay, said):
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError), trio.socket.socket() as sock:
                await sock.connect(relay.place)
                await trio.SocketStream(sock).send_all(said)
                await sock.recv(CHUNK)
            await trio.sleep(BETWEEN_CONNECTIONS)

    async def fill_disk(self, relay, ns):
        """None of its files can grow by a byte, old ones and new ones: every write fails."""
        if not relay.wanted:
            return
        pid, free = relay.process.pid, resource.RLIM_INFINITY
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, free))
            await trio.sleep(ns / 1e9)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (free, free))

    async def fail_inside(self, relay, strike):
        """Faults inside its process, and in lives that begin meanwhile; a step of its wall clock stays."""
        fault = strike.fault
        if strike.kind == "clock-step":
            step_s = span(fault.by) / 1e9 * (-1 if fault.back else 1)
            relay.faults["wall_clock_step_s"] = relay.faults.get("wall_clock_step_s", 0.0) + step_s
            return relay.write_faults()
        told = {
            "system-calls": {"system_call_share": fault.share},
            "held-up": {"held_up_share": fault.share, "held_up_s": span(fault.by) / 1e9},
            "disk-errors": {"disk_fails": True},
        }[strike.kind]
        relay.faults |= told
        relay.write_faults()
        await trio.sleep((strike.end - strike.begin) / 1e9)
        for name in told:
            relay.faults.pop(name, None)
        relay.write_faults()

    def reread(self, relay):
        if relay.wanted:
            relay.process.send_signal(signal.SIGHUP)

    def end_all(self):
        """The day is over; nothing that was started may be left behind."""
        for relay in self.relays:
            relay.wanted = False
            relay.cpu, relay.life_cpu = relay.cpu + relay.life_cpu, 0.0
            if relay.process is not None and relay.process.poll() is None:
                relay.process.kill()
                relay.process.send_signal(signal.SIGCONT)
                relay.process.wait()


def default_command():
    return [sys.executable, "-m", "courseroute"]
