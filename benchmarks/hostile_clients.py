"""Measures a relay beside clients that cost it much: its peak memory, and how long others wait.

    python benchmarks/hostile_clients.py memory --memory 96 --descriptors 512 --clients 600
    python benchmarks/hostile_clients.py flood --memory 96 --descriptors 128

`memory` keeps many connections open, each of which sends part of a request, and opens those again that the
relay closes. `flood` sends requests on one connection at full speed, beside a client that asks 50 times a
second. Both start a relay process for each kind of client, on loopback, for a few seconds.
"""

import argparse
import http.client
import itertools
import os
import select
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from courseroute.emulator.relays import encode_setup
from courseroute.emulator.scripted_peers import ScriptedPeers
from courseroute.run.setup import KindTerms, LaneTerms, Limits, Sending, Setup

DURATION_S = 4.0
POLL_MS = 20
READY_WITHIN_S = 1.0  # an operator waits no longer
HEAD_BYTES, BODY_BYTES = 15_800, 65_536
SMALL_CHUNKS = 10_000
NAMES = itertools.count()


def head(*fields, length=BODY_BYTES):
    """A request's head, with a new message id."""
    lines = [
        "POST /notice HTTP/1.1",
        "Host: r",
        f"X-Request-Id: m{next(NAMES)}",
        "X-Deadline: 8000m",
        f"Envelope: dest=7\r\nContent-Length: {length}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def many_fields(name):
    """Fields of few bytes up to the limit of a head; `name(number)` names each."""
    fields, size = [], 0
    while size < HEAD_BYTES:
        fields.append(f"{name(len(fields))}:")
        size += len(fields[-1]) + 2
    return fields


def chunked():
    """A body of one-byte chunks."""
    start = b"POST /notice HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n"
    return start + b"1\r\nx\r\n" * SMALL_CHUNKS


DIFFERENT, EQUAL = many_fields(lambda number: f"{number:x}"), many_fields(lambda number: "a")
UNFINISHED = {  # what each connection sends
    "silent": lambda: b"",
    "half a line": lambda: b"POST /not",
    "half a body": lambda: head() + b"x" * (BODY_BYTES // 2),
    "nearly a whole body": lambda: head() + b"x" * 65_000,
    "many fields, half a body": lambda: head(*DIFFERENT) + b"x" * 100,
    "equal fields, half a body": lambda: head(*EQUAL) + b"x" * 100,
    "many fields, half a head": lambda: head(*DIFFERENT)[:-2],
    "whole bodies": lambda: head() + b"x" * BODY_BYTES,
    "one-byte chunks": chunked,
}
FLOODS = {  # what the connection sends, again and again
    "ready": lambda: b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n" * 200,
    "valid messages": lambda: b"".join(head(length=0) for _ in range(100)),
    "new destinations": lambda: b"".join(
        head(length=0).replace(b"dest=7", b"dest=%d" % (next(NAMES) + 8)) for _ in range(100)
    ),
    "unknown classes": lambda: head(length=0).replace(b"/notice", b"/class%d" % next(NAMES)) * 100,
    "noise": lambda: b"\0noise\r\n\r\n",
    "empty lines": lambda: b"\r\n" * 30_000,
    "many fields": lambda: head(*DIFFERENT, length=0),
    "one-byte chunks": lambda: chunked() + b"0\r\n\r\n",
}


def free_address():
    with socket.socket() as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        return free_socket.getsockname()


class MeasuredRelay:
    """A relay process before hosts that answer as `plan` says."""

    def __init__(self, memory_mb, descriptors, plan):
        self.peers, self.address, self.operators = ScriptedPeers(), free_address(), free_address()
        self.peers.plan = plan
        folder = Path(tempfile.mkdtemp())
        (folder / "state").mkdir()
        setup = Setup(
            listen="{}:{}".format(*self.address),
            directory="{}:{}".format(*self.peers.discovery),
            ops="{}:{}".format(*self.operators),
            state=str(folder / "state"),
            limits=Limits(memory_mb=memory_mb, descriptors=descriptors, disk_mb=3),
            sending=Sending(slots=30, room=1500),
            lanes={"notice": LaneTerms(deadline="8s", effect="retriable")},
            kinds={"k": KindTerms()},
        )
        (folder / "relay.toml").write_bytes(encode_setup(setup))
        environ = os.environ | {"ROUTER_CONFIG": str(folder / "relay.toml")}
        with open(folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "courseroute"], env=environ, stdout=log, stderr=log
            )
        while not self.is_ready():
            time.sleep(0.05)

    def is_ready(self):
        """Whether it answers an operator in time that it is ready."""
        connection = http.client.HTTPConnection(*self.operators, timeout=READY_WITHIN_S)
        try:
            connection.request("GET", "/ops/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def peak_mb(self):
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))

    def close(self):
        self.process.kill()
        self.process.wait()
        self.peers.close()


class Crowd:
    """Connections that each send the bytes of `make()`, and are opened again when they are closed."""

    def __init__(self, address, count, make):
        self.address, self.count, self.make, self.unsent = address, count, make, {}

    def turn(self):
        """Opens what is missing, then sends and reads once where that is possible."""
        while len(self.unsent) < self.count:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self.unsent[sock] = memoryview(self.make())
        poll = select.poll()
        by_number = {sock.fileno(): sock for sock in self.unsent}
        for number, sock in by_number.items():
            poll.register(number, select.POLLIN | (select.POLLOUT if self.unsent[sock] else 0))
        for number, events in poll.poll(POLL_MS):
            self.use(by_number[number], events)

    def use(self, sock, events):
        try:
            if events & select.POLLOUT and self.unsent[sock]:
                self.unsent[sock] = self.unsent[sock][sock.send(self.unsent[sock]) :]
            if events & ~select.POLLOUT and not sock.recv(65_536):
                raise EOFError
        except BlockingIOError:
            pass
        except (OSError, EOFError):
            del self.unsent[sock]
            sock.close()


def measure_memory(options):
    print(f"memory of {options.memory} MB, {options.descriptors} descriptors, {options.clients} connections")
    for name, make in UNFINISHED.items():
        relay = MeasuredRelay(options.memory, options.descriptors, lambda call: "hang")
        before, crowd, in_time = relay.peak_mb(), Crowd(relay.address, options.clients, make), []
        end, next_call = time.time() + DURATION_S, 0.0
        while time.time() < end:
            crowd.turn()
            if time.time() > next_call:
                next_call = time.time() + DURATION_S / 8
                in_time.append(relay.is_ready())
        late = in_time.count(False)
        print(
            f"{name:28} {before:6.1f} -> {relay.peak_mb():6.1f} MB, operators late {late} of {len(in_time)}"
        )
        relay.close()


def flood(address, make, ended):
    """Sends at full speed on one connection, which is opened again when it is closed."""
    crowd = Crowd(address, 1, lambda: b"".join(make() for _ in range(10)))
    while not ended.is_set():
        crowd.turn()
        for sock, unsent in crowd.unsent.items():
            if not unsent:
                crowd.unsent[sock] = memoryview(crowd.make())


def measure_flood(options):
    print(f"memory of {options.memory} MB, {options.descriptors} descriptors, one connection at full speed")
    for name, make in FLOODS.items():
        relay = MeasuredRelay(options.memory, options.descriptors, lambda call: (200, {}))
        ended = threading.Event()
        flooding = threading.Thread(target=flood, args=(relay.address, make, ended))
        flooding.start()
        waits, end = [], time.time() + DURATION_S
        connection = http.client.HTTPConnection(*relay.address, timeout=3)
        while time.time() < end:
            begun = time.perf_counter()
            fields = {"X-Request-Id": f"o{next(NAMES)}", "X-Deadline": "8000m", "Envelope": "dest=7"}
            connection.request("POST", "/notice", b"x", fields)
            connection.getresponse().read()
            waits.append(time.perf_counter() - begun)
            time.sleep(0.02)
        ended.set()
        flooding.join()
        waits.sort()
        median, longest = waits[len(waits) // 2] * 1000, waits[-1] * 1000
        print(f"{name:20} {relay.peak_mb():6.1f} MB, others wait {median:4.0f} ms, at most {longest:4.0f} ms")
        relay.close()


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("memory", "flood"))
    parser.add_argument("--memory", type=int, default=96, help="MB")
    parser.add_argument("--descriptors", type=int, default=512)
    parser.add_argument("--clients", type=int, default=600)
    options = parser.parse_args()
    {"memory": measure_memory, "flood": measure_flood}[options.what](options)


if __name__ == "__main__":
    main()
