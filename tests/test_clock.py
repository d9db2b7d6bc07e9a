"""The clock that outlasts the process: which lives share one, and what a damaged or foreign file does."""

import errno
import time

import pytest

from courseroute.journal.faulty import FaultyDisk
from courseroute.run.clock import NAME, open_clock

HOUR_NS = 3600 * 10**9


@pytest.fixture
def wall_clock(monkeypatch):
    """`wall_clock(ns)` steps it; the monotonic clock runs on."""
    real, step = time.time_ns, [0]
    monkeypatch.setattr(time, "time_ns", lambda: real() + step[0])
    return lambda ns: step.__setitem__(0, step[0] + ns)


@pytest.mark.parametrize("step_ns", [0, HOUR_NS, -HOUR_NS])
def test_readings_of_two_lives_are_as_far_apart_as_real_time(wall_clock, step_ns):
    disk = FaultyDisk()
    first = open_clock(disk, "boot-1")
    before = first.now()
    wall_clock(step_ns)
    second = open_clock(disk, "boot-1")
    assert not first.continues and second.continues
    assert 0 <= second.now() - before < HOUR_NS


@pytest.mark.parametrize("boot", ["boot-2", ""])
def test_a_machine_started_anew_has_another_clock(boot):
    disk = FaultyDisk()
    open_clock(disk, "boot-1")
    assert not open_clock(disk, boot).continues and open_clock(disk, boot).continues == bool(boot)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda data: data[:-1],
        lambda data: b"",
        lambda data: data.replace(b"boot-1", b"boot-2"),
        lambda data: b"\xff" + data,
    ],
)
def test_a_damaged_file_counts_as_none(spoil):
    disk = FaultyDisk()
    open_clock(disk, "boot-1")
    disk.files[NAME] = bytearray(spoil(bytes(disk.files[NAME])))
    assert not open_clock(disk, "boot-1").continues
    assert open_clock(disk, "boot-1").continues


def test_a_file_of_a_monotonic_clock_that_has_gone_back_counts_as_none(monkeypatch):
    disk = FaultyDisk()
    open_clock(disk, "boot-1")
    monkeypatch.setattr(time, "monotonic_ns", lambda: 5)
    assert not open_clock(disk, "boot-1").continues


@pytest.mark.parametrize("call", range(1, 5))
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_folder_that_cannot_be_written_costs_the_clock_of_the_next_life_only(call, code):
    disk = FaultyDisk()
    disk.fails = {call: code}
    assert open_clock(disk, "boot-1").now() > 0
    written = NAME in disk.files
    assert open_clock(disk, "boot-1").continues == written
