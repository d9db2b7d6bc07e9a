"""The clock that continues across restarts: which processes share one, and the effect of a damaged file."""

import errno
import time

import pytest

from courseroute.journal.faulty import FaultyDisk
from courseroute.run.clock import NAME, open_clock

HOUR_NS = 3600 * 10**9


@pytest.fixture
def wall_clock(monkeypatch):
    """`wall_clock(ns)` steps the wall clock; the monotonic clock is unaffected."""
    real, step = time.time_ns, [0]
    monkeypatch.setattr(time, "time_ns", lambda: real() + step[0])
    return lambda ns: step.__setitem__(0, step[0] + ns)


@pytest.mark.parametrize("step_ns", [0, HOUR_NS, -HOUR_NS])
def test_the_clock_continues_after_a_restart_despite_steps_of_the_wall_clock(wall_clock, step_ns):
    disk = FaultyDisk()
    first = open_clock(disk, "boot-1")
    before = first.now()
    wall_clock(step_ns)
    second = open_clock(disk, "boot-1")
    assert not first.continues and second.continues
    assert 0 <= second.now() - before < HOUR_NS


@pytest.mark.parametrize("boot", ["boot-2", ""])
def test_a_new_clock_starts_after_a_reboot(boot):
    disk = FaultyDisk()
    open_clock(disk, "boot-1")
    assert not open_clock(disk, boot).continues and open_clock(disk, boot).continues == bool(boot)


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: data[:-1],
        lambda data: b"",
        lambda data: data.replace(b"boot-1", b"boot-2"),
        lambda data: b"\xff" + data,
    ],
)
def test_a_damaged_file_is_ignored(damage):
    disk = FaultyDisk()
    open_clock(disk, "boot-1")
    disk.files[NAME] = bytearray(damage(bytes(disk.files[NAME])))
    assert not open_clock(disk, "boot-1").continues
    assert open_clock(disk, "boot-1").continues


def test_a_file_from_a_later_monotonic_time_is_ignored(monkeypatch):
    disk = FaultyDisk()
    open_clock(disk, "boot-1")
    monkeypatch.setattr(time, "monotonic_ns", lambda: 5)
    assert not open_clock(disk, "boot-1").continues


@pytest.mark.parametrize("call", range(1, 5))
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_failed_write_affects_only_the_clock_of_the_next_process(call, code):
    disk = FaultyDisk()
    disk.fails = {call: code}
    assert open_clock(disk, "boot-1").now() > 0
    written = NAME in disk.files
    assert open_clock(disk, "boot-1").continues == written
