"""Faults inside a Python process that a test starts, as its environment asks for them.

WALL_CLOCK_STEP_S steps its wall clock by so many seconds; the monotonic clock runs on. SIGNAL_AT_IMPORT, as
`15 h11`, sends it that signal when it first imports that module. SYSTEM_CALL_FAULTS, as `7 0.01`, has that
share of its calls on TCP connections and files fail, come short, or be held up for up to 0.15 s, drawn from
that seed. SLOW_CALLS, as `accept 0.04`, makes each call of that name on a TCP socket take so many seconds
more.
"""

import errno
import os
import random
import socket
import sys
import time

step_ns = int(float(os.environ.get("WALL_CLOCK_STEP_S", "0")) * 1e9)
if step_ns:
    real_time_ns = time.time_ns
    time.time_ns = lambda: real_time_ns() + step_ns
    time.time = lambda: time.time_ns() / 1e9


class SignalAtImport:
    """A finder that finds nothing, and sends the signal when its module is looked for."""

    def __init__(self, number, module):
        self.number, self.module = int(number), module

    def find_spec(self, name, path=None, target=None):
        if name == self.module:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), self.number)


if told := os.environ.get("SIGNAL_AT_IMPORT"):
    sys.meta_path.insert(0, SignalAtImport(*told.split()))


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
MOST_HELD_UP_S = 0.15


class SystemCallFaults:
    def __init__(self, seed, share):
        self.draw, self.share = random.Random(int(seed)), float(share)

    def wrap(self, owner, name, shorten=None):
        """`shorten`: makes the call's arguments those of a call that does only a part."""
        call = getattr(owner, name)

        def with_faults(*args):
            if not is_struck(args[0]) or self.draw.random() >= self.share:
                return call(*args)
            kind = self.draw.choice(("fail", "fail", "short", "held up"))
            if kind == "held up":
                time.sleep(self.draw.uniform(0, MOST_HELD_UP_S))
            elif kind == "short" and shorten:
                return call(*shorten(args, self.draw))
            elif kind == "fail" and ERRORS[name]:
                code = getattr(errno, self.draw.choice(ERRORS[name]))
                raise OSError(code, os.strerror(code))
            return call(*args)

        setattr(owner, name, with_faults)

    def install(self):
        self.wrap(socket.socket, "accept")
        self.wrap(socket.socket, "connect")
        self.wrap(socket.socket, "send", part_of_data)
        self.wrap(socket.socket, "recv", part_of_size)
        self.wrap(os, "write", part_of_data)
        self.wrap(os, "fdatasync")


def slow_down(name, seconds):
    call = getattr(socket.socket, name)

    def slow(sock, *args):
        if is_struck(sock):
            time.sleep(seconds)
        return call(sock, *args)

    setattr(socket.socket, name, slow)


def is_struck(target):
    """Not the log, nor the pair of sockets by which trio wakes its own loop."""
    return target.family == socket.AF_INET if isinstance(target, socket.socket) else target > 2


def part_of_data(args, draw):
    target, data, *rest = args
    return target, memoryview(data)[: draw.randint(1, max(1, len(data)))], *rest


def part_of_size(args, draw):
    target, size, *rest = args
    return target, draw.randint(1, size), *rest


if told := os.environ.get("SYSTEM_CALL_FAULTS"):
    SystemCallFaults(*told.split()).install()

if told := os.environ.get("SLOW_CALLS"):
    name, seconds = told.split()
    slow_down(name, float(seconds))
