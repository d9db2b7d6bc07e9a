"""A clock that continues across restarts of the process and is unaffected by steps of the wall clock.

Timestamps in the journal are readings of this clock, in nanoseconds close to Unix time. They come from
the monotonic clock, which no step changes and which runs on from one process to the next while the machine
stays up, plus an offset that the folder stores together with the boot id. A new offset is taken from
the wall clock where the folder has none, or the machine was rebooted; the time that has passed since is then
unknown.
"""

import contextlib
import time
from pathlib import Path

import msgspec
import xxhash

NAME, SPARE = "clock", "clock.new"
BYTES = 512  # size of the file on disk, in whole sectors
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class SavedOffset(msgspec.Struct):
    """The file's content: the offset to the monotonic clock of that boot, which stood at `monotonic_ns`."""

    boot: str
    offset_ns: int
    monotonic_ns: int


class Clock:
    """`now()` in nanoseconds; `continues`: whether readings of earlier processes are comparable."""

    def __init__(self, offset_ns, continues):
        self.offset_ns, self.continues = offset_ns, continues

    def now(self):
        """The current reading in nanoseconds."""
        return time.monotonic_ns() + self.offset_ns


def open_clock(disk, boot=None, syncs=False):
    """The clock saved in the folder, or a new one if none was saved since this boot. If the folder is not
    writable, the next process starts a new clock; nothing else is affected. Raises OSError where there is a
    saved one that can't be read."""
    boot = boot_id() if boot is None else boot
    saved = read(disk)
    if saved and boot and saved.boot == boot and saved.monotonic_ns <= time.monotonic_ns():
        return Clock(saved.offset_ns, continues=True)
    offset_ns = time.time_ns() - time.monotonic_ns()
    with contextlib.suppress(OSError):
        write(disk, SavedOffset(boot, offset_ns, time.monotonic_ns()), syncs)
    return Clock(offset_ns, continues=False)


def boot_id():
    """The id of the current boot of the machine, or "" if unknown."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def read(disk):
    """The file's content, or None if it is missing or damaged. Raises OSError if it can't be read."""
    try:
        check, _, data = disk.read(NAME).partition(b"\n")
        if check.decode("latin-1") != xxhash.xxh64_hexdigest(data):
            return None
        return msgspec.json.decode(data, type=SavedOffset)
    except (FileNotFoundError, msgspec.DecodeError):
        return None


def write(disk, saved, syncs):
    """Replaces the file atomically through a temporary file."""
    data = msgspec.json.encode(saved)
    unwritten = memoryview(xxhash.xxh64_hexdigest(data).encode() + b"\n" + data)
    handle = disk.create(SPARE)
    try:
        while unwritten:
            unwritten = unwritten[disk.write(handle, unwritten) :]
        if syncs:
            disk.sync(handle)
    finally:
        disk.close(handle)
    disk.rename(SPARE, NAME)
