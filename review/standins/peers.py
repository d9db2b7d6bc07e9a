"""Stand-ins for the cases: hosts, platform with discovery, clients, and the relay as a process of its own.

Standard library only, one asyncio loop, loopback addresses and free ports. Every event goes into `record.txt` of the
case's folder; times there are seconds since the case began.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT, BROKEN, NOT_RUN = 0, 1, 2
CLIENT_PATIENCE_S = 0.4
LOST_AFTER_S, SLACK_S = 0.3, 0.05
REASONS = {
    200: "OK",
    204: "No Content",
    202: "Accepted",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class CannotRun(Exception):
    """The case could not be carried out; it says nothing about the relay."""


class Record:
    """The rows of what passed, also written to record.txt."""

    def __init__(self, folder):
        self.began, self.rows = time.monotonic(), []
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        row = {"at": self.now(), "what": what, **fields}
        self.rows.append(row)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{row['at']:9.4f} {what} {text}\n")
        return row

    def of(self, what, **fields):
        return [
            row
            for row in self.rows
            if row["what"] == what and all(row.get(k) == v for k, v in fields.items())
        ]

    def close(self):
        self.file.close()


async def read_message(reader, first=b""):
    """(time of the first byte, first line, headers, body); None at the end of the connection. `first`: a byte that was
    read already."""
    first = first or await reader.read(1)
    if not first:
        return None
    began = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    line, *fields = head.decode("latin-1").split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return began, line, headers, body


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server on a loopback address. `handle(request)` gives the bytes of the answer; None: no answer, and the
    connection stays open in silence; False: the connection is reset."""

    def __init__(self, handle):
        self.handle, self.port, self.server, self.writers = handle, 0, None, set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, backlog=256, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        is_first = True
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.handle((*request, is_first))
                is_first = False
                if answer is False:
                    writer.transport.abort()
                    return
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # cancelled: the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop_listening(self):
        if self.server:
            self.server.close()
            self.server = None

    def die(self):
        """As a process that ends: connections are reset, new ones refused."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    """One host of a destination. `behave(host, call)` is a coroutine that gives what `Server.handle` gives."""

    def __init__(self, name, group, record, behave, kind="large", zone="z"):
        self.name, self.group, self.record, self.behave = name, group, record, behave
        self.kind, self.zone, self.status, self.weight = kind, zone, "active", 1.0
        self.server = Server(self.handle)

    async def handle(self, request):
        began, line, headers, body, _ = request
        if not line.startswith("POST /hook "):
            return response(400)
        call = self.record.add(
            "call",
            host=self.name,
            id=headers.get("x-request-id"),
            key=headers.get("idempotency-key", "-"),
            began=began - self.record.began,
            body=body.decode("latin-1")[:40],
        )
        return await self.behave(self, call)

    def reply(self, call, status, **headers):
        names = [(name.replace("_", "-"), value) for name, value in headers.items()]
        self.record.add("reply", host=self.name, id=call["id"], status=status, **headers)
        return response(status, names)

    def entry(self):
        return {
            "name": self.name,
            "address": self.server.address,
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": self.status,
            "weight": self.weight,
            "since_ms": 0,
        }


class Platform:
    """Discovery and the platform's notices at one address. `mode` is a coroutine that is asked before each call for
    the list is served; it returns None to serve it, or what `Server.handle` gives."""

    def __init__(self, record, hosts):
        self.record, self.hosts, self.index, self.mode = record, hosts, 1, None
        self.one_way_s = 0.0  # how far away it is: a new connection costs two ways before its first request
        self.log = []  # (index, entry)
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def change(self, host, status):
        host.status = status
        self.index += 1
        self.log.append((self.index, host.entry()))
        self.record.add("changed", host=host.name, status=status, index=self.index)
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self):
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [h.entry() for h in self.hosts if h.status != "left"],
        }

    async def handle(self, request):
        _, line, _, body, is_first = request
        await asyncio.sleep(self.one_way_s * (3 if is_first else 1))
        answer = await self.answer(line, body)
        await asyncio.sleep(self.one_way_s)
        return answer

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        if method == "POST" and target == "/v1/notices":
            for text in body.decode().splitlines():
                notice = json.loads(text)
                self.record.add("notice", id=notice["id"], state=notice["state"])
            return response(204)
        if method != "GET" or not target.startswith("/v1/endpoints"):
            return response(404)
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        self.record.add("asked", **query)
        if self.mode is not None and (answer := await self.mode(query)) is not None:
            return answer if answer is not True else None
        if "index" in query:
            known = int(query["index"])
            if known >= self.index:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query.get("wait", 0)) / 1000)
            entries = [entry for index, entry in self.log if index > known]
            listed = {"index": self.index, "snapshot": False, "endpoints": entries}
        else:
            listed = self.snapshot()
        for entry in listed["endpoints"]:
            if entry["status"] != "active":
                self.record.add("told", host=entry["name"], status=entry["status"])
        return response(200, [("Content-Type", "application/json")], json.dumps(listed).encode())


class Clients:
    """Clients of one relay: one request at a time on a connection, connections are kept, 400 ms for an answer."""

    def __init__(self, record, address):
        self.record, self.address, self.free = record, address, []
        self.messages = {}  # id -> {lane, dst, key, at, until, status}

    async def hand(self, lane, dst, left_ms, key=None, body=None, subject=None, tenant="t"):
        """Hands a message in; the status of the answer, None without one."""
        name = uuid.uuid4().hex[:16]
        body = (body or f"body-of-{name}").encode()
        target = f"/{lane}" + (f"?subject={subject}" if subject else "")
        lines = [
            f"POST {target} HTTP/1.1",
            "Host: origin.svc",
            f"X-Request-Id: {name}",
            f"X-Class: {lane}",
            f"X-Tenant: {tenant}",
            f"X-Deadline: {left_ms}m",
            f"Envelope: dest={dst}",
            f"Content-Length: {len(body)}",
        ] + ([f"Idempotency-Key: {key}"] if key else [])
        message = self.messages[name] = {"id": name, "lane": lane, "dst": dst, "key": key, "status": None}
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        for attempt in range(2):
            kept = self.free.pop() if self.free and attempt == 0 else None
            try:
                reader, writer = kept or await asyncio.open_connection(*self.address)
            except OSError:
                self.record.add("unreached", id=name)
                return None
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            message["at"] = self.record.now()
            message["until"] = message["at"] + left_ms / 1000
            self.record.add("hand", id=name, lane=lane, dst=dst, left_ms=left_ms, key=key, subject=subject)
            try:
                writer.write(data)
                answer = await asyncio.wait_for(read_message(reader), CLIENT_PATIENCE_S)
            except asyncio.TimeoutError:  # before OSError, of which it is a subclass
                self.record.add("gave-up", id=name)
                writer.transport.abort()
                return None
            except (OSError, EOFError, asyncio.IncompleteReadError):
                answer = None
            if answer is None:  # closed between two requests: once more on a new connection
                writer.transport.abort()
                if kept:
                    continue
                self.record.add("no-answer", id=name)
                return None
            status = message["status"] = int(answer[1].split(" ")[1])
            self.record.add("answer", id=name, status=status)
            if answer[2].get("connection", "").lower() == "close":
                writer.close()
            else:
                self.free.append((reader, writer))
            return status
        return None

    def taken_on(self):
        return [message for message in self.messages.values() if message["status"] in (200, 202)]

    def lost(self):
        """Messages that were taken on and neither delivered nor ended by a notice 0.3 s after their time was up, with
        the 50 ms by which every limit is longer on sockets."""
        over = {}
        for row in self.record.rows:
            if row["what"] == "notice" or row["what"] == "reply" and row["status"] == 200:
                over.setdefault(row["id"], row["at"])
        found = []
        for message in self.taken_on():
            late = over.get(message["id"], float("inf")) - message["until"]
            if late > LOST_AFTER_S + SLACK_S:
                when = f"{late:.2f} s after its time" if late < float("inf") else "never"
                found.append(f"{message['id']} of {message['lane']} was over {when}")
        return found


class RelayProcess:
    """The relay under test, started by the `run` line of the deploy file."""

    def __init__(self, record, name, folder, platform_address, known, settings, limits=None):
        self.record, self.name, self.process = record, name, None
        self.folder = Path(folder) / name
        (self.folder / "state").mkdir(parents=True)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.config = {
            "name": name,
            "listen": "{}:{}".format(*self.address),
            "discovery": platform_address,
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": settings,
        }
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.command = tomllib.load(file)["run"]

    def write_config(self):
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self.config))
        path.with_suffix(".new").replace(path)
        return path

    async def start(self):
        path = self.write_config()
        environ = os.environ | {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_STATE": str(self.folder / "state"),
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add("relay", name=self.name, now="started")
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun(f"the relay ended with {self.process.returncode}")
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer and " 200 " in answer[1]:
                    self.record.add("relay", name=self.name, now="ready")
                    return self
            await asyncio.sleep(0.1)
        raise CannotRun("the relay was not ready within 30 s")

    def signal(self, number):
        self.record.add("relay", name=self.name, now=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self):
        return (self.folder / "log").read_text(errors="replace")


def run_case(folder, case):
    """Runs the coroutine `case(record, folder)`, which returns the list of violations; gives the exit code."""
    record = Record(folder)
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, scratch), 115))
            code = BROKEN if broken else KEPT
            for text in broken[:10]:
                print("broken:", text)
                record.add("BROKEN", text=text)
            if len(broken) > 10:
                print(f"... and {len(broken) - 10} more")
        except Exception as cause:  # CannotRun, a time-out, or a fault of the case itself
            print("not run:", repr(cause))
        finally:
            if os.environ.get("KEEP_LOGS"):
                for log in Path(scratch).glob("*/log"):
                    Path(os.environ["KEEP_LOGS"], log.parent.name + ".log").write_bytes(log.read_bytes())
    print({KEPT: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code])
    record.add("verdict", code=code, trouble=int(TROUBLE))
    record.close()
    return code


def site_settings(grades, **changes):
    """Settings in the form of the platform's configuration file, with the figures of the first deployment's example."""
    settings = {
        "balancers": 1,
        "me": 0,
        "zone": "z",
        "failure-domains": ["z"],
        "discovery": "on_request",
        "tick": 5000,
        "kinds": ["large", "mixed"],
        "grades": grades,
        "weight-source": "none",
        "over-share-worth": 0.05,
        "load-info": {"how": "answers", "names": ["x0", "x1"]},
        "family-info": {"call-slots": 24, "per-call": [1, 1], "routes-apart": [False, False]},
        "permissions": {
            "cancel": True,
            "connect-timeout": 1_500_000,
            "idle-close": 10_000_000,
            "max-retry-after": 2_000_000,
            "retry-after": True,
            "may-probe": False,
            "parallel-tries": True,
            "open-cap": 400,
            "send-cap": 8,
        },
        "safety": {
            "answer-slack": 20000,
            "ask-within": 10_000_000,
            "cold": 10_000_000,
            "cold-from": 0.25,
            "fall": 1_500_000,
            "overload-factor": 1.5,
            "stop-sending-within": 1_000_000,
        },
    }
    for name, value in changes.items():
        section, _, key = name.partition("__")
        if key:
            settings[section.replace("_", "-")][key.replace("_", "-")] = value
        else:
            settings[section.replace("_", "-")] = value
    return settings


QUOTE_ORDER = {
    "name": "quote-order",
    "effect": "token",
    "group": "all",
    "window": 5_000_000,
    "objective": 2_000_000,
    "deadline": 12_000_000,
    "worth": 1.0,
    "late-value": 0.3,
    "stream": False,
}
STATUS_NOTICE = {
    "name": "status-notice",
    "effect": "pure",
    "group": "all",
    "window": 5_000_000,
    "objective": 1_000_000,
    "deadline": 8_000_000,
    "worth": 2.0,
    "late-value": 0.1,
    "stream": False,
}


async def arrivals(clients, rate, until, draw, tasks, pick):
    """Hands messages in at `rate` a second with exponential gaps until the record's time `until`."""
    record, due = clients.record, clients.record.now()
    while due < until:
        due += draw.expovariate(rate)
        await asyncio.sleep(max(0, due - record.now()))
        tasks.append(asyncio.create_task(clients.hand(**pick())))
