"""What operators ordered, in a file of the relay's folder that both processes of an upgrade read and write.

The file holds the bans of hosts and whether the relay is drained. A change is made under a lock of its own,
whichever process owns the journal, and is in the file before the operator's call is answered. The handle of
the file that was read last stays open: that file has no name any more once another one has replaced it, so a
look at the handle tells whether the file has changed.
"""

import contextlib
import errno
import os
import time
from dataclasses import dataclass

import msgspec

from courseroute.decisions.host_bans import HostBan
from courseroute.journal.checked_file import CheckedFile
from courseroute.journal.lock import try_lock

NAME, LOCK_FILE, BAD = "overrides", "overrides.lock", "overrides.bad"
VERSIONS = 1, 1  # the oldest and the newest that are read
LOCK_WITHIN_S, LOCK_POLL_S = 0.4, 0.005  # another process needs the lock for one small write


class Overrides(msgspec.Struct, frozen=True):
    """The file's content. `is_drained`: the relay is drained until an operator ends that."""

    bans: list[HostBan] = []
    is_drained: bool = False


@dataclass
class Abandonment:
    """Set by whoever no longer waits for a change, which must not take effect any more."""

    is_set: bool = False


class OverridesFile:
    """The overrides in a folder. `overrides`: as they were read last."""

    def __init__(self, disk, max_bytes, syncs, log_event):
        """`max_bytes`: of the content; see `journal.disk.Disk` for `disk`."""
        self.file = CheckedFile(disk, NAME, VERSIONS, syncs)
        self.disk, self.max_bytes, self.log_event = disk, max_bytes, log_event
        self.overrides, self.handle = Overrides(), None
        self.read_failed = False

    def has_changed(self):
        """Whether there is another file than the one that was read last."""
        if self.handle is None:
            return os.path.exists(self.disk.path(NAME))
        return os.fstat(self.handle).st_nlink == 0

    def read(self):
        """Reads the file again, and returns the Overrides. Raises OSError where it can't be read; what was
        read last stays then."""
        handle, overrides = self.load()
        self.close()
        self.handle, self.overrides = handle, overrides
        return overrides

    def load(self):
        """(open handle or None, Overrides) of the file as it is. Raises OSError where it can't be read; one
        that is damaged is renamed, and counts as missing."""
        try:
            handle = os.open(self.disk.path(NAME), os.O_RDONLY)
        except FileNotFoundError:
            return None, Overrides()
        try:
            content = self.file.parse(os.pread(handle, os.fstat(handle).st_size, 0))
            return handle, msgspec.json.decode(content.data, type=Overrides)
        except ValueError as error:  # msgspec's errors are of this type
            os.close(handle)
            self.log_event("overrides not read, set aside", error=str(error)[:200])
            with contextlib.suppress(OSError):
                self.disk.rename(NAME, BAD)
            return None, Overrides()
        except OSError:
            os.close(handle)
            raise

    def read_if_changed(self):
        """Whether the file had changed and was read. A failure is logged once, and the next look tries again:
        what was read last stays in force."""
        try:
            if not self.has_changed():
                return False
            self.read()
            self.read_failed = False
            return True
        except OSError as error:
            if not self.read_failed:
                self.read_failed = True
                self.log_event("overrides not read, the last ones stay", error=str(error)[:200])
            return False

    def change(self, change, now, abandonment):
        """Replaces the overrides by `change(overrides)`, applied to what the file holds now. Raises OSError
        where that can't be done in time; nothing has changed then, nor where the Abandonment was set before.
        Blocks, and leaves this object as it is: it may run in a thread, and is followed by
        `read_if_changed`."""
        lock = self.lock()
        try:
            handle, before = self.load()
            if handle is not None:
                os.close(handle)
            after = change(before)
            if after != before:
                data = msgspec.json.encode(after)
                self.file.write(data, now, lambda: not abandonment.is_set)
        finally:
            os.close(lock)

    def fits(self, bans):
        """Whether so many bans have room in the file."""
        return len(msgspec.json.encode(Overrides(bans))) <= self.max_bytes

    def lock(self):
        """The handle of the lock on changes; OSError where another process keeps it."""
        end = time.monotonic() + LOCK_WITHIN_S
        while (handle := try_lock(self.disk.path(LOCK_FILE))) is None:
            if time.monotonic() >= end:
                raise TimeoutError(errno.ETIMEDOUT, "another process changes the overrides")
            time.sleep(LOCK_POLL_S)
        return handle

    def close(self):
        """Closes the file that was read last."""
        if self.handle is not None:
            os.close(self.handle)
            self.handle = None
