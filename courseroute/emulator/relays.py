"""Runs the relays of the emulator as processes: starts, stops, kills, pauses and limits them.

Called by `play`. A relay is any command that reads ROUTER_CONFIG, a TOML file as in docs/configuration.md.
Its folder outlasts the process.
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
from courseroute.emulator.clients import Reachability
from courseroute.emulator.scenario import PROCESS_FAULTS, scheduled_faults
from courseroute.run.setup import Fleet, Limits, Setup

READY = b"GET /ready HTTP/1.1\r\nHost: town\r\nConnection: close\r\n\r\n"
PARTIAL_REQUEST = b"POST /notice HTTP/1.1\r\nHost: town\r\nX-Request-Id: "
STOP_TIMEOUT, RESTART_DELAY, MONITOR_INTERVAL = 3.7, 0.6, 0.25  # seconds
SIGNAL_INTERVAL, RECONNECT_DELAY = 0.4, 1.0  # seconds
SIGNALS_AFTER_TERM = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
READ_SIZE = 65536
SHIMS = Path(__file__).parent / "shims"


class Relay:
    """One relay: its folder, its current process and what its processes have used so far."""

    def __init__(self, number, folder, address, command):
        self.number, self.name, self.address, self.command = number, f"n{number}", tuple(address), command
        self.folder, self.state = folder / f"n{number}", folder / f"n{number}" / "state"
        self.state.mkdir(parents=True)
        self.config, self.process, self.start_count = self.folder / "relay.toml", None, 0
        self.expected_running = False  # if the process ends meanwhile, it crashed
        self.paused = False  # by SIGSTOP
        self.was_ready = False  # whether the current process has been ready
        self.peak_usage = {"memory_kb": 0, "descriptors": 0, "disk_kb": 0}
        self.cpu = self.current_cpu = 0.0  # CPU seconds of the ended processes; of the current one
        self.faults = {}  # active process faults, as read by emulator/shims/sitecustomize.py
        self.faults_file = self.folder / "faults.json"
        self.write_faults()

    def write_faults(self):
        """Replaces the faults file atomically."""
        temporary = self.faults_file.with_suffix(".new")
        temporary.write_bytes(orjson.dumps(self.faults))
        temporary.rename(self.faults_file)


def ignore_hangup():
    """Runs in a new process: SIGHUP is ignored until the relay listens for it, as by the deploy file."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def encode_setup(setup):
    """A Setup as the bytes of its TOML file."""
    return msgspec.toml.encode(msgspec.to_builtins(setup))


class Relays:
    """All relays of a day. Every event is recorded in the ledger."""

    def __init__(self, day, folder, addresses, command, clock, record, set_reachability):
        """`set_reachability` is called with (relay number, Reachability) when the clients' routing
        changes."""
        self.day, self.clock, self.record, self.set_reachability = day, clock, record, set_reachability
        self.relays = [Relay(i, folder, address, command) for i, address in enumerate(addresses)]
        self.nursery = None
        self.needs_shims = any(scheduled.kind in PROCESS_FAULTS for scheduled in scheduled_faults(day))

    def configure(self, relay, directory):
        """Writes the relay's configuration; `directory` is the address of its directory."""
        limits = self.day.relays
        setup = Setup(
            name=relay.name,
            listen="{}:{}".format(*relay.address),
            directory="{}:{}".format(*directory),
            state=str(relay.state),
            seed=f"{self.day.seed * 1000 + relay.number:x}",
            limits=Limits(memory_mb=limits.memory_mb, descriptors=limits.descriptors, disk_mb=limits.disk_mb),
            log=self.day.log,
            fleet=Fleet(relays=limits.count, number=relay.number, area="a"),
            sending=self.day.sending,
            rules=self.day.rules,
            lanes=self.day.lanes,
            kinds=self.day.kinds,
            customers=self.day.quotas,
        )
        relay.config.write_bytes(encode_setup(setup))

    def start(self, relay):
        """Starts a process for the relay, with its descriptor limit and, where needed, the fault shims."""
        relay.start_count += 1
        relay.expected_running, relay.was_ready = True, False
        limit = self.day.relays.descriptors
        environ = os.environ | {"ROUTER_CONFIG": str(relay.config), "ROUTER_STATE": str(relay.state)}
        if self.needs_shims:
            path = [str(SHIMS), *filter(None, [os.environ.get("PYTHONPATH", os.getcwd())])]
            environ |= {"PYTHONPATH": os.pathsep.join(path), "FAULTS_FILE": str(relay.faults_file)}
            environ["FAULTS_SEED"] = str(self.day.seed * 1000 + relay.number * 100 + relay.start_count)
        with open(relay.folder / "log", "ab") as log:
            relay.process = subprocess.Popen(
                relay.command,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=os.getcwd(),
                preexec_fn=ignore_hangup,
            )
        resource.prlimit(relay.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        self.record("relay", self.clock(), relay=relay.name, now="started")

    async def ready(self, relay, within=30.0):
        """Waits until the relay serves; False if it ended or did not within `within` seconds."""
        with trio.move_on_after(within):
            while relay.process is not None and relay.process.poll() is None:
                if await self.is_ready(relay):
                    relay.was_ready = True
                    self.record("relay", self.clock(), relay=relay.name, now="ready")
                    self.set_reachability(relay.number, Reachability.ANY)
                    return True
                await trio.sleep(0.03)
        return False

    async def is_ready(self, relay):
        with contextlib.suppress(OSError), trio.move_on_after(0.5):
            with trio.socket.socket() as sock:
                await sock.connect(relay.address)
                await trio.SocketStream(sock).send_all(READY)
                return b" 200 " in await sock.recv(100)
        return False

    async def watch(self):
        """Restarts relays that crash and checks their use of resources, until cancelled."""
        while True:
            for relay in self.relays:
                if relay.process is None:
                    continue
                if relay.expected_running and (code := relay.process.poll()) is not None:
                    self.on_crash(relay, f"exit code {code}")
                    self.nursery.start_soon(self.restart_after_exit, relay)
                elif relay.expected_running:
                    self.check_usage(relay)
            await trio.sleep(MONITOR_INTERVAL)

    def check_usage(self, relay):
        """Updates the peak usage; kills a relay that exceeds its memory or disk limit."""
        with contextlib.suppress(psutil.Error, OSError):
            process, peak = psutil.Process(relay.process.pid), relay.peak_usage
            memory = process.memory_info().rss // 1024
            disk = sum(file.stat().st_size for file in relay.state.iterdir()) // 1024
            for name, value in (("memory_kb", memory), ("descriptors", process.num_fds()), ("disk_kb", disk)):
                peak[name] = max(peak[name], value)
            times = process.cpu_times()
            relay.current_cpu = times.user + times.system
            limits = self.day.relays
            if memory > limits.memory_mb * 1024 or disk > limits.disk_mb * 1000:
                relay.process.kill()
                self.on_crash(relay, f"over its limits: {memory} kB of memory, {disk} kB of disk")
                self.nursery.start_soon(self.restart_after_exit, relay)

    def on_crash(self, relay, text):
        """Records an unplanned end; `text` is its reason."""
        relay.expected_running = False
        self.record("relay", self.clock(), relay=relay.name, now="kill")
        self.record("relay", self.clock(), relay=relay.name, now="crashed", text=text)
        self.nursery.start_soon(self.unroute_later, relay)

    async def unroute_later(self, relay):
        """Stops routing clients to a dead relay after `noticed_after`, unless it has been started again."""
        start_count = relay.start_count
        await trio.sleep(span(self.day.relays.noticed_after) / 1e9)
        if relay.start_count == start_count:
            self.set_reachability(relay.number, Reachability.NONE)

    async def restart_after_exit(self, relay):
        """Waits for the process to end, starts the relay again and waits until it serves."""
        await trio.to_thread.run_sync(relay.process.wait)
        relay.cpu, relay.current_cpu = relay.cpu + relay.current_cpu, 0.0
        await trio.sleep(RESTART_DELAY)
        self.start(relay)
        if not await self.ready(relay) and relay.expected_running:
            self.record("relay", self.clock(), relay=relay.name, now="crashed", text="not ready within 30 s")

    # Faults.

    async def kill(self, relay, wipe=False):
        """Kills a relay and starts it again; `wipe` empties its folder first."""
        if not relay.expected_running:
            return
        relay.expected_running = False
        relay.process.kill()
        self.record("relay", self.clock(), relay=relay.name, now="kill")
        if wipe:
            await trio.to_thread.run_sync(relay.process.wait)
            shutil.rmtree(relay.state)
            relay.state.mkdir()
            self.record("relay", self.clock(), relay=relay.name, now="wiped")
        self.nursery.start_soon(self.unroute_later, relay)
        await self.restart_after_exit(relay)

    async def restart(self, relay, in_use=False):
        """Planned restart: SIGTERM, and SIGKILL if the relay does not end in time. `in_use`: clients keep
        using open connections until it ends, and further signals follow the first."""
        if not relay.expected_running:
            return
        if in_use:
            self.nursery.start_soon(self.repeat_signals, relay, relay.process)
        await self.stop(relay, Reachability.OPEN if in_use else Reachability.NONE)
        self.set_reachability(relay.number, Reachability.NONE)
        await self.restart_after_exit(relay)

    async def repeat_signals(self, relay, process):
        for number in SIGNALS_AFTER_TERM:
            await trio.sleep(SIGNAL_INTERVAL)
            if process.poll() is None and relay.process is process:
                process.send_signal(number)

    async def stop(self, relay, reach):
        """SIGTERM, then SIGKILL after STOP_TIMEOUT; `reach` is the clients' routing meanwhile."""
        relay.expected_running = False
        self.record("relay", self.clock(), relay=relay.name, now="term")
        relay.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.3)
        self.set_reachability(relay.number, reach)  # clients learn of a planned restart early
        remaining = STOP_TIMEOUT - 0.3
        while relay.process.poll() is None and remaining > 0:
            checked_at = trio.current_time()
            await trio.sleep(0.02)
            if not relay.paused:  # a paused process cannot handle the signal
                remaining -= trio.current_time() - checked_at
        if relay.process.poll() is None:
            relay.process.kill()
            self.record(
                "relay",
                self.clock(),
                relay=relay.name,
                now="crashed",
                text="it had not ended 3.7 s after SIGTERM",
            )
        elif relay.process.returncode not in ((0,) if relay.was_ready else (0, -signal.SIGTERM)):
            self.record(
                "relay",
                self.clock(),
                relay=relay.name,
                now="crashed",
                text=f"exit code {relay.process.returncode} after SIGTERM",
            )

    async def pause(self, relay, ns):
        """SIGSTOP, and SIGCONT after `ns`."""
        if not relay.expected_running:
            return
        process, relay.paused = relay.process, True
        process.send_signal(signal.SIGSTOP)
        self.record("relay", self.clock(), relay=relay.name, now="paused")
        await trio.sleep(ns / 1e9)
        process.send_signal(signal.SIGCONT)
        relay.paused = False
        self.record("relay", self.clock(), relay=relay.name, now="goes-on")

    async def open_idle_connections(self, relay, ns):
        """Opens connections that send nothing or a partial request, and reopens those that are closed."""
        with trio.move_on_after(ns / 1e9):
            async with trio.open_nursery() as nursery:
                for number in range(self.day.relays.descriptors // 2):
                    nursery.start_soon(self.hold_connection, relay, PARTIAL_REQUEST if number % 2 else b"")

    async def hold_connection(self, relay, data):
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError), trio.socket.socket() as sock:
                await sock.connect(relay.address)
                await trio.SocketStream(sock).send_all(data)
                await sock.recv(READ_SIZE)
            await trio.sleep(RECONNECT_DELAY)

    async def block_file_growth(self, relay, ns):
        """Sets the relay's file size limit to 0 for `ns`, so that every write to a file fails."""
        if not relay.expected_running:
            return
        pid, free = relay.process.pid, resource.RLIM_INFINITY
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, free))
            await trio.sleep(ns / 1e9)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (free, free))

    async def run_process_fault(self, relay, scheduled):
        """Activates a fault inside the relay's process, and in processes started meanwhile. A step of the
        wall clock is permanent."""
        fault = scheduled.fault
        if scheduled.kind == "clock-step":
            step_s = span(fault.by) / 1e9 * (-1 if fault.back else 1)
            relay.faults["wall_clock_step_s"] = relay.faults.get("wall_clock_step_s", 0.0) + step_s
            return relay.write_faults()
        settings = {
            "system-calls": {"system_call_share": fault.share},
            "held-up": {"held_up_share": fault.share, "held_up_s": span(fault.by) / 1e9},
            "disk-errors": {"disk_fails": True},
        }[scheduled.kind]
        relay.faults |= settings
        relay.write_faults()
        await trio.sleep((scheduled.end - scheduled.begin) / 1e9)
        for name in settings:
            relay.faults.pop(name, None)
        relay.write_faults()

    def reload(self, relay):
        """Has the relay read its configuration again (SIGHUP)."""
        if relay.expected_running:
            relay.process.send_signal(signal.SIGHUP)

    def kill_all(self):
        """Ends all processes when the day is over, so that none is left behind."""
        for relay in self.relays:
            relay.expected_running = False
            relay.cpu, relay.current_cpu = relay.cpu + relay.current_cpu, 0.0
            if relay.process is not None and relay.process.poll() is None:
                relay.process.kill()
                relay.process.send_signal(signal.SIGCONT)
                relay.process.wait()


def default_command():
    """The command that runs this project's relay."""
    return [sys.executable, "-m", "courseroute"]
