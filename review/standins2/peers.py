"""Stand-ins for the cases 6 to 10: hosts, discovery with the platform's notices, clients, and a relay process.

Standard library only. Everything is on loopback and on the real clock. The stand-ins follow PROTOCOL.md: a host
begins a call once its last byte has arrived; discovery answers with the whole list or with the changes behind a
version; the platform answers a notice with 204 at once.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 410: "Gone"}
REASONS |= {429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3}


def lane(name, effect, window_s=5.0, deadline_s=12.0):
    """A class of messages in the form of the settings."""
    return {
        "name": name,
        "effect": effect,
        "objective": 2_000_000,
        "deadline": int(deadline_s * 1e6),
        "group": "all",
        "late-value": 0.3,
        "stream": False,
        "window": int(window_s * 1e6),
        "worth": 1.0,
    }


def settings(lanes, slots=16, **changes):
    """The settings of a small deployment, with the names of the simulator's first message."""
    return {
        "balancers": 1,
        "me": 0,
        "zone": "lisboa-1",
        "failure-domains": ["lisboa-1"],
        "discovery": "on_request",
        "tick": 5000,
        "kinds": ["large"],
        "grades": lanes,
        "weight-source": "none",
        "load-info": {"how": "none"},
        "family-info": {"call-slots": slots, "per-call": [1], "routes-apart": [False]},
        "permissions": {
            "cancel": True,
            "connect-timeout": 1_500_000,
            "idle-close": 10_000_000,
            "max-retry-after": 2_000_000,
            "open-cap": 167,
            "parallel-tries": True,
            "retry-after": True,
            "send-cap": 8,
        },
        "safety": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold": 10_000_000,
            "cold-from": 0.25,
            "fall": 3_000_000,
            "overload-factor": 2.0,
            "stop-sending-within": 1_000_000,
        },
    } | changes


class Record:
    """The file `record.txt` of a case: one line an event, with seconds since the case began."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")


async def read_message(reader):
    """(first line, headers in lower case, body) of a request or an answer; None at the connection's end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":")[::2] for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


def answer_bytes(status, headers=(), body=b""):
    """The bytes of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """A listening socket whose connections are served one request after another by `respond`."""

    def __init__(self, address="127.0.0.1"):
        self.address, self.port, self.server, self.writers = address, 0, None, set()

    @property
    def place(self):
        return f"{self.address}:{self.port}"

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.address, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                data = await self.respond(*request, reader)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
                self.written(request)
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def written(self, request):
        """Called when an answer has been written."""

    async def close(self):
        """Closes the listening socket and all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        await asyncio.sleep(0)


class Host(Server):
    """A host of the group `group`. `plan(host, call)` is awaited for each call, and returns the answer's
    (status, headers, body), or None to end the connection with no answer. `calls` holds all of them."""

    def __init__(self, name, group, record, plan, address="127.0.0.1"):
        super().__init__(address)
        self.name, self.group, self.record, self.plan, self.calls = name, group, record, plan, []
        self.zone = "lisboa-1"

    async def respond(self, first, headers, body, reader):
        call = {"id": headers.get("x-request-id"), "key": headers.get("idempotency-key")}
        call |= {"body": body, "at": self.record.now(), "host": self.name, "answered": None}
        self.calls.append(call)
        self.record("call", host=self.name, group=self.group, id=call["id"])
        answer = await self.plan(self, call)
        if answer is None or reader.at_eof() or reader.exception():
            self.record("call ends with no answer", host=self.name, id=call["id"], relay_left=reader.at_eof())
            return None
        self.record("answer", host=self.name, id=call["id"], status=answer[0], body=answer[2].decode())
        call["status"], call["answered"] = answer[0], self.record.now()
        return answer_bytes(*answer)

    def entry(self, status="active"):
        """The host in discovery's form."""
        entry = {"name": self.name, "address": self.place, "zone": self.zone, "type": "large"}
        return entry | {"group": self.group, "status": status, "weight": 1.0, "since_ms": 0}


class Platform(Server):
    """Discovery with its versions and watches, and the address for notices."""

    def __init__(self, record, entries=()):
        super().__init__()
        self.record, self.notices, self.asked, self.told = record, [], [], []
        self.entries, self.index, self.changes = {one["name"]: one for one in entries}, 1, []
        self.changed = asyncio.Event()

    def change(self, *entries):
        """Makes changes known, as one version; a host that has left is dropped from the list."""
        self.index += 1
        for entry in entries:
            self.record("list changes", host=entry["name"], status=entry["status"], group=entry["group"])
            self.changes.append((self.index, entry))
            if entry["status"] == "left":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def respond(self, first, headers, body, reader):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        if method == "POST" and path == "/v1/notices":
            return self.take_notices(body)
        if method != "GET" or path != "/v1/endpoints":
            return answer_bytes(404)
        fields = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        known = int(fields["index"]) if "index" in fields else None
        self.asked.append((self.record.now(), known))
        if known is not None and known >= self.index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(int(fields.get("wait", 0)), 60_000) / 1000)
        answer = self.whole()
        if known is not None and 1 <= known <= self.index:
            entries = {entry["name"]: entry for at, entry in self.changes if at > known}
            answer = {"index": self.index, "snapshot": False, "endpoints": list(entries.values())}
        if answer["endpoints"]:
            self.record("list told", index=answer["index"], hosts=len(answer["endpoints"]))
            self.told.append((self.record.now(), answer["index"]))
        return answer_bytes(200, body=json.dumps(answer).encode())

    def take_notices(self, body):
        try:
            notices = [json.loads(line) for line in body.splitlines() if line]
            for notice in notices:
                self.record("notice", **notice)
                self.notices.append(notice | {"at": self.record.now()})
        except (ValueError, TypeError):
            return answer_bytes(400)
        return answer_bytes(204)

    def notice_of(self, name):
        return next((notice for notice in self.notices if notice["id"] == name), None)


class Client:
    """Hands messages in on connections that are kept, as many as are busy at once. An answer is awaited for
    400 ms; then the connection is closed."""

    def __init__(self, place, record, wait_s=0.4):
        self.place, self.record, self.wait_s, self.idle, self.count = place, record, wait_s, [], 0

    async def submit(self, name, lane, group, body=b"x", left_ms=8000, key=None):
        """The status of the answer, 0 where none came. Where the relay has closed a kept connection, the request is
        sent once more on a new one."""
        lines = [f"POST /{lane} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {name}", f"X-Class: {lane}"]
        lines += ["X-Tenant: acme", f"X-Deadline: {left_ms}m", f"Idempotency-Key: {key or 'k-' + name}"]
        lines += [f"Content-Length: {len(body)}", f"Envelope: dest={group}", "", ""]
        data = "\r\n".join(lines).encode() + body
        status = 0
        is_kept = bool(self.idle)
        status = await self.exchange(data, is_kept)
        if not status and is_kept:
            status = await self.exchange(data, False)
        self.record("client hears", id=name, lane=lane, status=status)
        return status

    async def exchange(self, data, is_kept):
        writer = answer = None
        try:
            async with asyncio.timeout(self.wait_s):
                reader, writer = self.idle.pop() if is_kept else await asyncio.open_connection(*self.place)
                writer.write(data)
                answer = await read_message(reader)
        except (OSError, TimeoutError):
            pass
        if answer is None:
            if writer:
                writer.close()
            return 0
        if answer[1].get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        return int(answer[0].split(" ")[1])

    def close(self):
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


async def ask(place, method, path, within_s=1.0):
    """(status, body) of a call on a connection of its own; (0, b"") where no answer came."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*place)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            answer = await read_message(reader)
            return (int(answer[0].split(" ")[1]), answer[2]) if answer else (0, b"")
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer:
            writer.close()


def free_place(address="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()


class Relay:
    """One relay, started with the deploy file's `run` line. Its folder outlasts its processes."""

    def __init__(self, record, platform, relay_settings, limits=None, shares_socket=False):
        self.record, self.platform, self.settings = record, platform, relay_settings
        self.limits = LIMITS | (limits or {})
        self.folder = Path(tempfile.mkdtemp(prefix="courseroute-review-"))
        (self.folder / "state").mkdir()
        (self.folder / "tmp").mkdir()
        self.place, self.ops_place, self.known = free_place(), free_place(), None
        self.processes, self.process, self.starts = [], None, 0
        self.listener = socket.create_server(self.place, backlog=512) if shares_socket else None

    def start(self):
        """Starts a process. `known` is the list that the configuration names, by default the present one."""
        self.starts += 1
        config = {"name": "n0", "listen": "{}:{}".format(*self.place), "ops": "{}:{}".format(*self.ops_place)}
        config |= {"discovery": self.platform.place, "seed": f"8c1f30d27a5be{self.starts:03x}"}
        config |= {"limits": self.limits, "known": self.known or self.platform.whole(), "settings": self.settings}
        path = self.folder / f"config-{self.starts}.json"
        path.write_text(json.dumps(config))
        env = os.environ | {"ROUTER_NAME": "n0", "ROUTER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        env |= {"ROUTER_STATE": str(self.folder / "state"), "ROUTER_DISCOVERY": self.platform.place}
        env |= {"ROUTER_LISTEN": config["listen"], "ROUTER_OPS": config["ops"]}
        if self.listener:
            env["ROUTER_SOCKET_FD"] = "5"
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                close_fds=self.listener is None,
                preexec_fn=self.pass_listener if self.listener else None,
            )
        self.processes.append(self.process)
        self.record("relay starts", pid=self.process.pid)
        return self.process

    def pass_listener(self):
        os.dup2(self.listener.fileno(), 5)
        os.set_inheritable(5, True)

    async def ready(self, within_s=10.0):
        """Whether `GET /ready` says yes in time."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if (await ask(self.place, "GET", "/ready"))[0] == 200:
                self.record("relay ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def kill(self, number=signal.SIGKILL, process=None):
        process = process or self.process
        self.record("signal", name=signal.Signals(number).name, pid=process.pid)
        process.send_signal(number)

    def events(self):
        """The relay's log."""
        return [json.loads(line) for line in (self.folder / "log").read_bytes().splitlines() if line[:1] == b"{"]

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(10)
        if self.listener:
            self.listener.close()
        if os.environ.get("KEEP"):
            print("kept:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(function, folder, within_s=115):
    """Runs `await function(record, trouble)`, which returns the exit code, and ends the process with it."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case begins", trouble=trouble)

    async def run():
        async with asyncio.timeout(within_s):
            return await function(record, trouble)

    try:
        code = asyncio.run(run())
    except Exception as cause:  # the case could not run
        record("could not run", cause=repr(cause))
        code = NOT_RUN
    record("case ends", code=code)
    sys.exit(code)
