"""Injects faults into a Python process. Python imports it at start if its folder is first in PYTHONPATH.

These environment variables configure the faults:

- WALL_CLOCK_STEP_S: steps the wall clock by so many seconds; the monotonic clock is left alone.
- SIGNAL_AT_IMPORT, for example `15 h11`: sends the process that signal when it first imports that module.
- SYSTEM_CALL_FAULTS, for example `7 0.01`: a seed and a share of the system calls on TCP sockets and files.
  Calls of that share fail, handle only a part of the data, or are delayed by up to 0.15 s.
- SLOW_CALLS, for example `accept 0.04`: delays each call of that name on a TCP socket by so many seconds.
- FAULTS_FILE: a JSON file that may change while the process runs, with any of wall_clock_step_s;
  system_call_share; held_up_share and held_up_s, the share of calls to delay and the longest delay;
  disk_fails, whether each write and sync of a file fails; disk_stalls_s, for how long each stands still.
- FAULTS_SEED: the seed of the random draws.
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
    "recv": (),  # an error would lose an answer that the host has written and recorded as sent
    "write": ("ENOSPC", "EIO", "EDQUOT"),
    "fdatasync": ("EIO", "ENOSPC"),
}
DISK_CALLS = ("write", "fdatasync")
MAX_DELAY_S = 0.15
CHECK_INTERVAL_NS = 10_000_000  # between two checks whether the file changed
real_time_ns, monotonic_ns = time.time_ns, time.monotonic_ns


class Faults:
    """The active faults. They are read again when the file at `path` changes."""

    def __init__(self, path=None, **values):
        self.path, self.fixed = path, values
        self.modified_at, self.next_check_at = None, 0
        self.set(values)

    def set(self, values):
        """Sets the faults from the map that the file holds; what is missing is off."""
        self.wall_clock_step_ns = int(values.get("wall_clock_step_s", 0.0) * 1e9)
        self.system_call_share = values.get("system_call_share", 0.0)
        self.held_up_share, self.held_up_s = values.get("held_up_share", 0.0), values.get("held_up_s", 0.0)
        self.disk_fails = values.get("disk_fails", False)
        self.disk_stalls_s = values.get("disk_stalls_s", 0.0)

    def current(self):
        """Returns the faults, after reading the file again if it changed."""
        if self.path and monotonic_ns() >= self.next_check_at:
            self.next_check_at = monotonic_ns() + CHECK_INTERVAL_NS
            modified_at = os.stat(self.path).st_mtime_ns
            if modified_at != self.modified_at:
                self.modified_at = modified_at
                with open(self.path) as file:
                    self.set(self.fixed | json.load(file))
        return self


class FailingCalls:
    """Wraps the calls on TCP sockets and files so that a random share of them goes wrong."""

    def __init__(self, faults, seed):
        self.faults, self.draw = faults, random.Random(seed)

    def wrap(self, owner, name, shorten=None):
        """Replaces the method or function `name` of `owner`.

        `shorten`: function that reduces the arguments to those of a call for only a part of the data.
        """
        call = getattr(owner, name)

        def with_faults(*args):
            if not is_affected(args[0]):
                return call(*args)
            faults = self.faults.current()
            if faults.disk_fails and name in DISK_CALLS:
                self.fail(name)
            if name in DISK_CALLS:
                time.sleep(faults.disk_stalls_s)
            if self.draw.random() < faults.held_up_share:
                time.sleep(self.draw.uniform(0, faults.held_up_s))
            if self.draw.random() >= faults.system_call_share:
                return call(*args)
            kind = self.draw.choice(("fail", "fail", "short", "held up"))
            if kind == "held up":
                time.sleep(self.draw.uniform(0, MAX_DELAY_S))
            elif kind == "short" and shorten:
                return call(*shorten(args, self.draw))
            elif kind == "fail" and ERRORS[name]:
                self.fail(name)
            return call(*args)

        setattr(owner, name, with_faults)

    def fail(self, name):
        """Raises an OSError that this system call may raise."""
        code = getattr(errno, self.draw.choice(ERRORS[name]))
        raise OSError(code, os.strerror(code))

    def install(self):
        """Wraps all calls that can fail."""
        self.wrap(socket.socket, "accept")
        self.wrap(socket.socket, "connect")
        self.wrap(socket.socket, "send", part_of_data)
        self.wrap(socket.socket, "recv", part_of_size)
        self.wrap(os, "write", part_of_data)
        self.wrap(os, "fdatasync")


class SignalAtImport:
    """An import finder that finds nothing, but sends a signal when its module is first looked up."""

    def __init__(self, number, module):
        self.number, self.module = int(number), module

    def find_spec(self, name, path=None, target=None):
        if name == self.module:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), self.number)


def is_affected(target):
    """Whether calls on this socket or file descriptor may fail.

    Excluded are the standard streams, which carry the log, and the socket pair by which trio wakes its loop.
    """
    return target.family == socket.AF_INET if isinstance(target, socket.socket) else target > 2


def part_of_data(args, draw):
    """Cuts the data to send or write at a random length of at least one byte, if there is any."""
    target, data, *rest = args
    return target, memoryview(data)[: draw.randint(1, max(1, len(data)))], *rest


def part_of_size(args, draw):
    """Reduces the number of bytes to receive at random, to at least one."""
    target, size, *rest = args
    return target, draw.randint(1, size), *rest


def step_wall_clock(faults):
    """Makes time.time and time.time_ns deviate by the current step."""
    time.time_ns = lambda: real_time_ns() + faults.current().wall_clock_step_ns
    time.time = lambda: time.time_ns() / 1e9


def slow_down(name, seconds):
    """Delays each call of a method of TCP sockets."""
    call = getattr(socket.socket, name)

    def slow(sock, *args):
        if is_affected(sock):
            time.sleep(seconds)
        return call(sock, *args)

    setattr(socket.socket, name, slow)


def install(environ):
    """Installs the faults that the environment variables ask for."""
    path, values = environ.get("FAULTS_FILE"), {}
    if step := environ.get("WALL_CLOCK_STEP_S"):
        values["wall_clock_step_s"] = float(step)
    seed = int(environ.get("FAULTS_SEED", "0"))
    if calls := environ.get("SYSTEM_CALL_FAULTS"):
        seed, share = calls.split()
        seed, values["system_call_share"] = int(seed), float(share)
    faults = Faults(path, **values)
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
