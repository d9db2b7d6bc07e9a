"""Faults inside a Python process, as its environment asks for them; put its folder first in PYTHONPATH.

WALL_CLOCK_STEP_S steps its wall clock by so many seconds; the monotonic clock runs on. SIGNAL_AT_IMPORT, as
`15 h11`, sends it that signal when it first imports that module. SYSTEM_CALL_FAULTS, as `7 0.01`, has that
share of its calls on TCP connections and files fail, come short, or be held up for up to 0.15 s, drawn from
that seed. SLOW_CALLS, as `accept 0.04`, makes each call of that name on a TCP socket take so many seconds
more.

FAULTS_FILE names a JSON file that may change while the process runs, with any of: wall_clock_step_s;
system_call_share; held_up_share and held_up_s, the share of calls that are held up and for how long at the
most; disk_fails, whether each write and sync of a file fails. FAULTS_SEED: what the draws come from.
"""

import errno
import json
import os
import random
import socket
import sys
import time

ERRORS = {
    "accept": (
        "ECONNABORTED",
        "EINTR",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPERM",
        "EPROTO",
        "ETIMEDOUT",
    ),
    "connect": (
        "EADDRNOTAVAIL",
        "ECONNREFUSED",
        "EHOSTUNREACH",
        "ENETUNREACH",
        "ETIMEDOUT",
        "ENOBUFS",
        "EINTR",
    ),
    "send": ("ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS", "ENOMEM"),
    "recv": (),  # an error here would take an answer with it that its host has written and counts
    "write": ("ENOSPC", "EIO", "EDQUOT"),
    "fdatasync": ("EIO", "ENOSPC"),
}
DISK_CALLS = ("write", "fdatasync")
MOST_HELD_UP_S = 0.15
LOOK_EVERY_NS = 10_000_000  # at the file, if it changed
real_time_ns, monotonic_ns = time.time_ns, time.monotonic_ns


class Faults:
    """What is to go wrong at present; read anew from `path` where it changes."""

    def __init__(self, path=None, **told):
        self.path, self.fixed = path, told
        self.read_at, self.look_at = None, 0
        self.set(told)

    def set(self, told):
        self.wall_clock_step_ns = int(told.get("wall_clock_step_s", 0.0) * 1e9)
        self.system_call_share = told.get("system_call_share", 0.0)
        self.held_up_share, self.held_up_s = told.get("held_up_share", 0.0), told.get("held_up_s", 0.0)
        self.disk_fails = told.get("disk_fails", False)

    def now(self):
        """These, as the file has them."""
        if self.path and monotonic_ns() >= self.look_at:
            self.look_at = monotonic_ns() + LOOK_EVERY_NS
            changed = os.stat(self.path).st_mtime_ns
            if changed != self.read_at:
                self.read_at = changed
                with open(self.path) as file:
                    self.set(self.fixed | json.load(file))
        return self


class FailingCalls:
    """Wraps the calls on TCP sockets and files."""

    def __init__(self, faults, seed):
        self.faults, self.draw = faults, random.Random(seed)

    def wrap(self, owner, name, shorten=None):
        """`shorten`: makes the call's arguments those of a call that does only a part."""
        call = getattr(owner, name)

        def with_faults(*args):
            if not is_struck(args[0]):
                return call(*args)
            faults = self.faults.now()
            if faults.disk_fails and name in DISK_CALLS:
                self.fail(name)
            if self.draw.random() < faults.held_up_share:
                time.sleep(self.draw.uniform(0, faults.held_up_s))
            if self.draw.random() >= faults.system_call_share:
                return call(*args)
            kind = self.draw.choice(("fail", "fail", "short", "held up"))
            if kind == "held up":
                time.sleep(self.draw.uniform(0, MOST_HELD_UP_S))
            elif kind == "short" and shorten:
                return call(*shorten(args, self.draw))
            elif kind == "fail" and ERRORS[name]:
                self.fail(name)
            return call(*args)

        setattr(owner, name, with_faults)

    def fail(self, name):
        code = getattr(errno, self.draw.choice(ERRORS[name]))
        raise OSError(code, os.strerror(code))

    def install(self):
        self.wrap(socket.socket, "accept")
        self.wrap(socket.socket, "connect")
        self.wrap(socket.socket, "send", part_of_data)
        self.wrap(socket.socket, "recv", part_of_size)
        self.wrap(os, "write", part_of_data)
        self.wrap(os, "fdatasync")


class SignalAtImport:
    """A finder that finds nothing, and sends the signal when its module is looked for."""

    def __init__(self, number, module):
        self.number, self.module = int(number), module

    def find_spec(self, name, path=None, target=None):
        if name == self.module:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), self.number)


def is_struck(target):
    """Not the log, nor the pair of sockets by which trio wakes its own loop."""
    return target.family == socket.AF_INET if isinstance(target, socket.socket) else target > 2


def part_of_data(args, draw):
    target, data, *rest = args
    return target, memoryview(data)[: draw.randint(1, max(1, len(data)))], *rest


def part_of_size(args, draw):
    target, size, *rest = args
    return target, draw.randint(1, size), *rest


def step_wall_clock(faults):
    time.time_ns = lambda: real_time_ns() + faults.now().wall_clock_step_ns
    time.time = lambda: time.time_ns() / 1e9


def slow_down(name, seconds):
    call = getattr(socket.socket, name)

    def slow(sock, *args):
        if is_struck(sock):
            time.sleep(seconds)
        return call(sock, *args)

    setattr(socket.socket, name, slow)


def install(environ):
    path, told = environ.get("FAULTS_FILE"), {}
    if step := environ.get("WALL_CLOCK_STEP_S"):
        told["wall_clock_step_s"] = float(step)
    seed = int(environ.get("FAULTS_SEED", "0"))
    if calls := environ.get("SYSTEM_CALL_FAULTS"):
        seed, share = calls.split()
        seed, told["system_call_share"] = int(seed), float(share)
    faults = Faults(path, **told)
    if path or step:
        step_wall_clock(faults)
    if path or calls:
        FailingCalls(faults, seed).install()
    if signal := environ.get("SIGNAL_AT_IMPORT"):
        sys.meta_path.insert(0, SignalAtImport(*signal.split()))
    if slow := environ.get("SLOW_CALLS"):
        name, seconds = slow.split()
        slow_down(name, float(seconds))


install(os.environ)
