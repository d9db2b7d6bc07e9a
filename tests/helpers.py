"""The one file of helpers: a relay under hand-held time, and a real one among stand-ins."""
import contextlib
import http.client
import http.server
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

from courseroute.decide import MS, Dispatcher, S

LANES = {
    "retriable": {"target": 2 * S, "deadline": 16 * S, "effect": "retriable"},
    "keyed": {"target": 2 * S, "deadline": 16 * S, "effect": "keyed", "group": "all", "window": 4 * S},
    "zoned": {"target": 2 * S, "deadline": 16 * S, "effect": "keyed", "group": "zone", "window": 4 * S},
    "once": {"target": 2 * S, "deadline": 16 * S, "effect": "non-retriable"},
    "ordered": {"target": 2 * S, "deadline": 16 * S, "effect": "retriable", "ordered": True},
}


class Relay:
    def __init__(self, hosts=(("a", 4.0),), kind="plain", **terms):
        told = {"slots": 8, "room": 40, "legs": 8, "cancel": True, "stay_away": 2 * S, "tick": 5 * MS,
                "cold": 10 * S, "cold_from": 0.25, "overload": 2.0, "turn_gap": S, "lanes": LANES,
                "kinds": {"plain": {"apart": False, "per_call": 1}, "apart": {"apart": True, "per_call": 5}}}
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
    {"name": name, "effect": effect, "deadline": 8_000_000, "objective": 2_000_000, "group": "all",
     "window": 5_000_000}
    for name, effect in (("notice", "pure"), ("order", "token"), ("once", "side_effect"))]
SETTINGS = {
    "balancers": 1, "me": 0, "zone": "z", "discovery": "on_request", "tick": 5000, "kinds": ["k"],
    "grades": GRADES, "weight-source": "none",
    "family-info": {"call-slots": 8, "per-call": [1], "routes-apart": [False]},
    "permissions": {"cancel": True, "connect-timeout": 1_500_000, "idle-close": 10_000_000, "open-cap": 100,
                    "send-cap": 8, "max-retry-after": 2_000_000, "retry-after": True, "parallel-tries": True},
    "safety": {"ask-within": 10_000_000, "cold": 10_000_000, "cold-from": 0.25, "overload-factor": 1.5,
               "stop-sending-within": 1_000_000, "fall": 1_500_000}}


class Town:
    """Two hosts of destination 7, the platform, and the relay's folder; `plan` answers each call."""

    def __init__(self, folder, limits=None, known=True, slots=8):
        self.folder, self.calls, self.notices, self.watches, self.news = folder, [], [], [], []
        self.posts = []
        self.plan, self.platform_status, self.relay = lambda call: (200, {}), None, None
        self.held = threading.Event()           # ends every hang
        self.hosts = {name: self.stand("127.0.0.1", self.host(name)) for name in ("h1", "h2")}
        self.platform = self.stand("127.0.0.1", self.platform_handler())
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        (folder / "state").mkdir()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3} | (limits or {})
        self.known = known
        self.settings = SETTINGS | {"family-info": SETTINGS["family-info"] | {"call-slots": slots}}

    def stand(self, host, handler):
        server = http.server.ThreadingHTTPServer((host, 0), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
        return server

    def entries(self, **status):
        return [{"name": name, "address": f"127.0.0.1:{server.server_port}", "zone": "z", "type": "k",
                 "group": 7, "status": status.get(name, "active"), "weight": 1.0, "since_ms": 0}
                for name, server in self.hosts.items()]

    def host(self, name):
        town = self

        class Handler(Quiet):
            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                call = {"id": self.headers["X-Request-Id"], "host": name, "at": time.time(), "body": body,
                        "key": self.headers["Idempotency-Key"], "n": len(town.calls),
                        "port": self.client_address[1]}
                town.calls.append(call)
                plan = town.plan(call)
                if plan == "hang":
                    town.held.wait(20)
                if isinstance(plan, bytes):     # as it is, and the connection stays until the relay ends it
                    self.wfile.write(plan)
                    with contextlib.suppress(ConnectionResetError):
                        self.connection.recv(1000)
                    call["closed"] = True
                    self.close_connection = True
                elif isinstance(plan, str):       # drop, or the end of a hang
                    self.connection.shutdown(socket.SHUT_RDWR)
                    self.close_connection = True
                else:
                    self.say(*plan)
        return Handler

    def platform_handler(self):
        town = self

        class Handler(Quiet):
            def do_GET(self):
                town.watches.append((time.time(), self.path, self.server.server_port))
                if town.platform_status:
                    return self.say(town.platform_status, {})
                asked = re.search(r"index=(\d+)", self.path)
                end = time.time() + (int(re.search(r"wait=(\d+)", self.path)[1]) / 1000 if asked else 0)
                while asked and int(asked[1]) >= len(town.news) + 1 and time.time() < end:
                    time.sleep(0.02)
                index, fresh = len(town.news) + 1, not asked or int(asked[1]) < len(town.news) + 1
                news = (town.news[-1] if town.news else town.entries()) if fresh else []
                told = {"index": index, "snapshot": not asked, "endpoints": news}
                self.say(200, {}, json.dumps(told).encode())

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                if town.platform_status:
                    return self.say(town.platform_status, {})
                town.posts.append(self.server.server_port)
                town.notices += [json.loads(line) for line in body.splitlines()]
                self.say(204, {})
        return Handler

    def configure(self):
        known = {"index": 1, "snapshot": True, "endpoints": self.entries()} if self.known else None
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
                  "known": known, "discovery": f"127.0.0.1:{self.platform.server_port}",
                  "settings": self.settings, "limits": self.limits}
        (self.folder / "config.json").write_text(json.dumps(config))

    def start(self, wait=True):
        self.configure()
        env = {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(self.folder / "state")}
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = open(self.folder / "out", "ab")
        self.relay = subprocess.Popen(["/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)],
                                      cwd=ROOT, env=os.environ | env, stdout=self.log, stderr=self.log)
        return not wait or until(lambda: self.ask("GET", "/ready")[0] == 200)

    def ask(self, method, path, headers=None, body=b"", within=2):
        """(status, headers) of the answer; (0, {}) where the connection gave none."""
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout=within)
        try:
            conn.request(method, path, body, headers or {})
            answer = conn.getresponse()
            return answer.status, dict(answer.getheaders())
        except (OSError, http.client.HTTPException):
            return 0, {}
        finally:
            conn.close()

    def hand_in(self, name, lane="notice", body=b"x", left="8000m", **more):
        headers = {"X-Request-Id": name, "X-Class": lane, "X-Tenant": "t", "X-Deadline": left,
                   "Envelope": "dest=7", "Idempotency-Key": f"k-{name}"}
        return self.ask("POST", f"/{lane}", headers | more, body)[0]

    def raw(self, data, within=3.0):
        """Sends bytes as they are; what came back until the end, or until time is up."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=within) as sock:
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
        self.held.set()
        self.end()
        for server in (*self.hosts.values(), self.platform):
            server.shutdown()
            server.server_close()


class Quiet(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *told):
        pass

    def say(self, status, headers, body=b""):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        try:
            self.end_headers()
            self.wfile.write(body)
        except OSError:     # the relay is gone
            self.close_connection = True


def until(true, within=6.0):
    end = time.time() + within
    while time.time() < end:
        if true():
            return True
        time.sleep(0.02)
    return bool(true())
