"""The one file of helpers: a relay under hand-held time, and a real one among stand-ins."""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from courseroute.decide import MS, Dispatcher, S
from courseroute.town.scripted import ScriptedTown

LANES = {
    "retriable": {"target": 2 * S, "deadline": 16 * S, "effect": "retriable"},
    "keyed": {"target": 2 * S, "deadline": 16 * S, "effect": "keyed", "group": "all", "window": 4 * S},
    "zoned": {"target": 2 * S, "deadline": 16 * S, "effect": "keyed", "group": "zone", "window": 4 * S},
    "once": {"target": 2 * S, "deadline": 16 * S, "effect": "non-retriable"},
    "ordered": {"target": 2 * S, "deadline": 16 * S, "effect": "retriable", "ordered": True},
}


class Relay:
    def __init__(self, hosts=(("a", 4.0),), kind="plain", **terms):
        told = {
            "slots": 8,
            "room": 40,
            "legs": 8,
            "cancel": True,
            "stay_away": 2 * S,
            "tick": 5 * MS,
            "cold": 10 * S,
            "cold_from": 0.25,
            "overload": 2.0,
            "turn_gap": S,
            "lanes": LANES,
            "kinds": {"plain": {"apart": False, "per_call": 1}, "apart": {"apart": True, "per_call": 5}},
        }
        self.now, self.n, self.seen = 1000 * S, 0, []
        self.relay = Dispatcher(7, told | terms)
        self.tell("start")
        self.tell("roster", "full", [(name, "ready", "z", rate, kind, "d") for name, rate in hosts])

    def tell(self, what, *told):
        acts = getattr(self.relay, what)(self.now, *told) + self.relay.settle(self.now)
        self.seen += [(self.now, *act) for act in acts]
        return [act for act in acts if act[0] not in ("wake", "log")]

    def take(self, lane="retriable", key=None, left=16 * S, dst="d"):
        self.n += 1
        return f"m{self.n}", self.tell("take", f"m{self.n}", dst, lane, self.now + left, key, None, False)

    def back(self, name, ending, n=0, host="a", wait=0, over=None, took=100 * MS, report=None):
        over = ending == "delivered" if over is None else over
        return self.tell("outcome", name, n, host, ending, took, wait, report, over)

    def run(self, span, step=5 * MS):
        """Lets time pass, a wake-up each step; returns what was done."""
        done, end = [], self.now + span
        while self.now < end:
            self.now += step
            done += self.tell("wake")
        return done

    def sends(self):
        return [act for act in self.seen if act[1] == "send"]


def named(acts, what):
    return [act for act in acts if act[0] == what]


# For integration tests: the program in a process of its own, stand-ins for hosts and platform on loopback.

ROOT = Path(__file__).parent.parent
GRADES = [
    {
        "name": name,
        "effect": effect,
        "deadline": 8_000_000,
        "objective": 2_000_000,
        "group": "all",
        "window": 5_000_000,
    }
    for name, effect in (("notice", "pure"), ("order", "token"), ("once", "side_effect"))
]
SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zone": "z",
    "discovery": "on_request",
    "tick": 5000,
    "kinds": ["k"],
    "grades": GRADES,
    "weight-source": "none",
    "family-info": {"call-slots": 8, "per-call": [1], "routes-apart": [False]},
    "permissions": {
        "cancel": True,
        "connect-timeout": 1_500_000,
        "idle-close": 10_000_000,
        "open-cap": 100,
        "send-cap": 8,
        "max-retry-after": 2_000_000,
        "retry-after": True,
        "parallel-tries": True,
    },
    "safety": {
        "ask-within": 10_000_000,
        "cold": 10_000_000,
        "cold-from": 0.25,
        "overload-factor": 1.5,
        "stop-sending-within": 1_000_000,
        "fall": 1_500_000,
    },
}


def address_of_worker():
    """A loopback address that no other test process uses: a relay's port is free while the relay is down, and
    another test's relay on it would get this one's messages."""
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    return f"127.40.{worker}.1"


class Town(ScriptedTown):
    """A scripted town with one relay beside it, started as the deploy file has it."""

    def __init__(self, folder, limits=None, known=True, slots=8, hosts=("h1", "h2")):
        super().__init__(hosts)
        self.folder, self.relay, self.known = folder, None, known
        with socket.socket() as free:
            free.bind((address_of_worker(), 0))
            self.relay_place = free.getsockname()
        (folder / "state").mkdir()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3} | (limits or {})
        self.settings = SETTINGS | {"family-info": SETTINGS["family-info"] | {"call-slots": slots}}

    def configure(self):
        known = {"index": 1, "snapshot": True, "endpoints": self.entries()} if self.known else None
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.relay_place),
            "seed": "8c1f30d27a5be964",
            "known": known,
            "discovery": "{}:{}".format(*self.discovery),
            "settings": self.settings,
            "limits": self.limits,
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    def start(self, wait=True, **faults):
        """`faults`: variables that courseroute/town/shims/sitecustomize.py heeds, as wall_clock_step_s=-2."""
        self.configure()
        env = {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(self.folder / "state")}
        if faults:
            env |= {name.upper(): str(value) for name, value in faults.items()}
            env["PYTHONPATH"] = str(ROOT / "courseroute" / "town" / "shims")
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = open(self.folder / "out", "ab")
        self.relay = subprocess.Popen(
            ["/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)],
            cwd=ROOT,
            env=os.environ | env,
            stdout=self.log,
            stderr=self.log,
        )
        return not wait or until(lambda: self.ask("GET", "/ready")[0] == 200)

    def ask(self, method, path, headers=None, body=b"", within=2):
        """(status, headers) of the answer; (0, {}) where the connection gave none."""
        conn = http.client.HTTPConnection(*self.relay_place, timeout=within)
        try:
            conn.request(method, path, body, headers or {})
            answer = conn.getresponse()
            return answer.status, dict(answer.getheaders())
        except (OSError, http.client.HTTPException):
            return 0, {}
        finally:
            conn.close()

    def hand_in(self, name, lane="notice", body=b"x", left="8000m", **more):
        headers = {
            "X-Request-Id": name,
            "X-Class": lane,
            "X-Tenant": "t",
            "X-Deadline": left,
            "Envelope": "dest=7",
            "Idempotency-Key": f"k-{name}",
        }
        return self.ask("POST", f"/{lane}", headers | more, body)[0]

    def raw(self, data, within=3.0):
        """Sends bytes as they are; what came back until the end, or until time is up."""
        with socket.create_connection(self.relay_place, timeout=within) as sock:
            got = b""
            try:
                for part in data if isinstance(data, list) else [data]:
                    time.sleep(part) if isinstance(part, float) else sock.sendall(part)
                while part := sock.recv(65536):
                    got += part
                    sock.settimeout(0.2)
            except OSError:
                pass
            return got

    def sent(self, name):
        return [call for call in self.calls if call["id"] == name]

    def events(self):
        return [json.loads(line) for line in (self.folder / "out").read_bytes().splitlines()]

    def end(self, how=signal.SIGKILL):
        if self.relay:
            self.relay.send_signal(how)
            code = self.relay.wait(10)
            self.relay = None
            self.log.close()
            return code

    def close(self):
        self.end()
        super().close()


def until(true, within=6.0):
    end = time.time() + within
    while time.time() < end:
        if true():
            return True
        time.sleep(0.02)
    return bool(true())


def until_in_running_time(true, within):
    """As `until`, but time in which this machine held the test up counts no more than the sleep it was in."""
    step = 0.02
    for _ in range(int(within / step)):
        if true():
            return True
        time.sleep(step)
    return bool(true())


def bytes_in(folder):
    """Bytes in a folder; a file may go while they are counted."""
    size = 0
    for file in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):
            size += file.stat().st_size
    return size
