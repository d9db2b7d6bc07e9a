"""The journal: an append-only log in numbered segment files, compacted in slices and replayed at startup.

The order of operations ensures that a crash between any two system calls loses no record and never revives a
closed message: a record is written completely before the event it describes takes effect; the live records
of a segment are copied to the newest segment (and synced, if syncing is enabled) before the segment is
removed; a closing record lists the segments that still hold records of the message, and compaction keeps
copying it while one of those segments exists. Called by `state.tracker`, which supplies the live records of a
message (`refresh`), and by `run.relay`, which runs compaction (`step`).
"""

import contextlib
import itertools
import random
import time
from typing import NamedTuple

from courseroute.journal import frames, old, plan
from courseroute.journal.frames import BACK, CALL, MEMORY, OVER, OWED, TAKEN, record
from courseroute.journal.live_message import LiveMessage

PREFIX = "seg-"
# Compaction slices, and steps of them, run in a row before a record is refused for lack of space: while the
# process stands still, a slice is a single step.
MAX_URGENT_SLICES, MAX_URGENT_STEPS = 16, 1024
ENTRIES_PER_YIELD = 256  # messages examined between two checks of the clock
ATTEMPT_KINDS = (CALL, BACK)
DAMAGE = b"?"  # the kind that `read` yields for a range that could not be read


class Full(Exception):
    """The record does not fit into the journal, or could not be written."""


class DamagedRange(NamedTuple):
    """A byte range that could not be read. It may have held attempts and closing records of messages that
    were accepted earlier."""

    segment: int
    at: int
    size: int


def random_salt():
    return random.SystemRandom().getrandbits(32)


class Journal:
    """The journal of one folder.

    `disk` is the file system interface, `most` the maximum size on disk in bytes, `relay` the relay's name,
    `syncs` whether records are synced to disk, `clock` a monotonic clock in nanoseconds and `make_salt` the
    source of segment salts. `refresh(name)` returns the live records of a message, or an empty list if it has
    none; `remembered(name)` tells whether the closing record of a message must be kept. Both are set by the
    owner before compaction runs.
    """

    def __init__(self, disk, most, relay="", syncs=False, clock=time.monotonic_ns, make_salt=random_salt):
        self.disk, self.most, self.relay, self.syncs, self.clock = disk, most, relay, syncs, clock
        self.make_salt, self.salt = make_salt, 0
        self.max_segment_bytes = plan.segment_size(most)
        self.always_fits_below = most - plan.reserve(most) - plan.SECTOR_BYTES  # total size in bytes
        self.segments = {}  # number -> [size, live bytes]
        # closing_by_segment: segment -> [(segment of a closing record that lists it, bytes of that record)]
        self.entries, self.closing_by_segment = {}, {}
        self.handle, self.newest, self.live = None, 0, 0
        self.refresh = None
        self.remembered = None
        self.is_closed = False
        self.compaction = None  # the generator of the compaction in progress
        self.steps = 0  # of all compactions
        self.total_bytes, self.dead_bytes_checked = 0, 0  # the second: at the last search without a victim
        self.unsynced_handles = []  # handles of closed segments that are not synced yet
        self.has_unsynced, self.losses, self.compacted, self.copied, self.written = False, [], 0, 0, 0

    # Reading.

    def read(self):
        """Yields the records of earlier processes in order, as (kind, fields, body), and (DAMAGE,
        DamagedRange, b"") for each unreadable range. Truncates segments whose last write was interrupted by a
        crash. Raises Newer if a file has an unsupported version. After an OSError it may be called again, and
        begins anew."""
        self.reset_accounting()
        names = self.disk.names()
        if old.NAME in names:
            self.convert_legacy_log(names)
        without_header = []
        for name in self.segment_names():
            data = self.disk.read(name)
            number = frames.header_of(data, name)
            if number is None or name != self.segment_name(number):
                if self.is_torn_header(data, name):
                    self.disk.remove(name)
                else:
                    self.losses.append(DamagedRange(self.segment_number(name), 0, len(data)))
                    without_header.append(name)
                    yield DAMAGE, self.losses[-1], b""
                continue
            self.set_segment_size(number, len(data))
            last = name == self.segment_names()[-1]
            for one in frames.scan(data):
                if one.kind is not None:
                    self.account(one.kind, one.told, number, one.end - one.at)
                    yield one.kind, one.told, one.body
                elif one.torn or last and one.end == len(data) and data[one.at : one.at + 2] != frames.RECORD:
                    self.disk.cut(name, one.at)
                    self.set_segment_size(number, one.at)
                else:
                    self.losses.append(DamagedRange(number, one.at, one.end - one.at))
                    yield DAMAGE, self.losses[-1], b""
            self.newest = max(self.newest, number)
        for name in without_header:  # only now, as a repeated read must find the damage again
            self.disk.rename(name, f"bad-{name}")

    def reset_accounting(self):
        """Forgets all segments and records."""
        self.segments, self.entries, self.closing_by_segment, self.losses = {}, {}, {}, []
        self.newest, self.total_bytes = 0, 0

    def segment_names(self):
        """The file names of the segments, oldest first."""
        return [name for name in self.disk.names() if name.startswith(PREFIX)]

    def segment_name(self, number):
        return f"{PREFIX}{number:010d}"

    def segment_number(self, name):
        """The number in a segment's file name, 0 if it has none."""
        digits = name.removeprefix(PREFIX)
        return int(digits) if digits.isdigit() else 0

    def is_torn_header(self, data, name):
        """Whether a crash during the creation of a segment left a partial header. All of the header is known
        except the salt."""
        begin = frames.header(self.segment_number(name), self.relay, 0)[: len(data)]
        return len(data) < frames.HEADER.size and data[: frames.SALT_AT] == begin[: frames.SALT_AT]

    def convert_legacy_log(self, names):
        """Converts the single-file log of an earlier version. Segments found beside that log come from an
        interrupted conversion and are discarded."""
        for name in self.segment_names():
            frames.header_of(self.disk.read(name, 0, 64), name)  # raises Newer before anything is removed
            self.disk.remove(name)
        for kind, fields, body in old.records(self.disk.read(old.NAME)):
            self.write(record(kind, fields, body))
        if self.handle is not None:
            self.sync()
            self.disk.close(self.handle)
            self.handle = None
        for name in (old.SPARE, old.NAME):
            if name in names:
                self.disk.remove(name)
        self.reset_accounting()

    # Space.

    def segment_table(self):
        """The segments in the form that the compaction policy takes."""
        return [plan.Segment(number, *self.segments[number]) for number in sorted(self.segments)]

    def room(self, size):
        """Whether a new message of `size` bytes can be accepted."""
        if not plan.may_accept(self.live, size, self.most):
            return False
        if not plan.fits(self.total_bytes, size, self.most, True):
            self.free_space(size)
        return plan.fits(self.total_bytes, size, self.most, True)

    def free_space(self, size, reserved=True):
        """Runs compaction slices until `size` bytes fit, so that a record which could fit is not refused, but
        not more than both MAX_URGENT_SLICES and MAX_URGENT_STEPS."""
        first_step = self.steps
        for number in itertools.count():
            if number >= MAX_URGENT_SLICES and self.steps - first_step >= MAX_URGENT_STEPS:
                return
            if plan.fits(self.total_bytes, size, self.most, reserved) or not self.step(hurry=True):
                return

    @property
    def size(self):
        """Bytes on disk, including the allowance for partially filled sectors."""
        return self.total_bytes

    def set_segment_size(self, number, size):
        """Records the size of a segment in bytes; None if it was removed."""
        if number in self.segments:
            self.total_bytes -= self.segments[number][0] + plan.SECTOR_BYTES
        if size is not None:
            self.segments.setdefault(number, [0, 0])[0] = size
            self.total_bytes += size + plan.SECTOR_BYTES

    # Writing.

    def write(self, *parts):
        """Appends all given records, or raises Full and leaves none of their bytes in the journal."""
        if not parts:
            return
        size, reserved = sum([part.size for part in parts]), parts[0].kind == TAKEN
        if self.total_bytes + size > self.always_fits_below and not plan.fits(
            self.total_bytes, size, self.most, reserved
        ):
            self.free_space(size, reserved)
            if not plan.fits(self.total_bytes, size, self.most, reserved):
                raise Full("the journal is full")
        self.append(parts)
        for part in parts:
            self.account(part.kind, part.told, self.newest, part.size)

    def append(self, parts):
        """Writes records to the newest segment without accounting for them; starts a new segment if the
        newest one has reached its maximum size."""
        if self.is_closed:
            raise Full("the journal is closed")
        if self.handle is None or self.segments[self.newest][0] >= self.max_segment_bytes:
            self.begin()
        data = (
            parts[0].sealed(self.salt)
            if len(parts) == 1
            else b"".join([part.sealed(self.salt) for part in parts])
        )
        segment, size = self.segments[self.newest], len(data)
        start = segment[0]
        try:
            self.write_all(data)
        except OSError as cause:
            self.undo_write(start)
            raise Full(str(cause)) from None
        segment[0] = start + size
        self.total_bytes += size
        self.written += size
        self.has_unsynced = True

    def write_all(self, data):
        """Writes all of `data` to the newest segment, repeating short writes."""
        count = self.disk.write(self.handle, data)
        while count < len(data):
            count += self.disk.write(self.handle, memoryview(data)[count:])

    def undo_write(self, size):
        """Truncates the newest segment to `size` bytes after a failed write. If that fails as well, closes
        the segment; the incomplete record at its end is then detected when it is read."""
        try:
            self.disk.truncate(self.handle, size)
        except OSError:
            self.close_segment()

    def close_segment(self):
        """Closes the newest segment. With syncing enabled, its handle stays open until it has been synced."""
        if self.handle is not None:
            if self.syncs and self.has_unsynced:
                self.unsynced_handles.append(self.handle)
            else:
                self.disk.close(self.handle)
            self.handle = None

    def begin(self):
        """Starts a new segment, under a number that no existing or earlier file of this journal has."""
        self.close_segment()
        number, salt = self.newest + 1, self.make_salt()
        head = frames.header(number, self.relay, salt)
        try:
            self.handle = self.disk.create(self.segment_name(number))
            self.write_all(head)
        except OSError as cause:
            if self.handle is not None:
                self.disk.close(self.handle)
                self.handle = None
                try:
                    self.disk.remove(self.segment_name(number))
                except OSError:
                    pass
            raise Full(str(cause)) from None
        self.newest, self.salt = number, salt
        self.set_segment_size(number, len(head))
        self.has_unsynced = True

    # Accounting of live bytes by segment.

    def account(self, kind, fields, number, size):
        """Accounts for a record in segment `number`, and for the earlier records of its message that it
        supersedes."""
        if kind == MEMORY:
            return
        name = fields[0]
        entry = self.entries.get(name)
        if kind == OVER:
            if entry is not None:
                self.subtract_live(entry)
                del self.entries[name]
            existing = [seg for seg in fields[2:] if seg != number and seg in self.segments]
            if existing:
                self.segments[number][1] += size
                self.closing_by_segment.setdefault(max(existing), []).append((number, size))
            return
        if kind == OWED and (entry is None or not entry.notice_pending):
            self.replace_entry(name, entry, number, True)
            entry = self.entries[name]
        elif entry is None:
            if kind != TAKEN:
                return
            entry = self.entries[name] = LiveMessage(number)
        elif kind not in ATTEMPT_KINDS and number not in entry.holding_segments:
            entry.holding_segments = (*entry.holding_segments, number)
        entry.add(number, size)
        self.segments[number][1] += size

    def replace_entry(self, name, entry, number, notice_pending):
        """Restarts the accounting of a message. Its earlier records are no longer live, but their segments
        remain listed as holding the message."""
        if entry is not None:
            self.subtract_live(entry)
        self.entries[name] = LiveMessage(number, entry.holding_segments if entry else (), notice_pending)

    def subtract_live(self, entry):
        """Subtracts the bytes of a message from the live bytes of its segments."""
        if entry.first_segment in self.segments:
            self.segments[entry.first_segment][1] -= entry.first_bytes
        for number, size in (entry.other_bytes or {}).items():
            if number in self.segments:
                self.segments[number][1] -= size

    def over(self, name, state):
        """Makes the closing record of a message, which lists the segments that still hold the message."""
        entry = self.entries.get(name)
        return record(OVER, [name, state, *self.existing_segments(entry)])

    def existing_segments(self, entry):
        """Numbers of the segments that hold the message and still exist; `entry` may be None."""
        return [seg for seg in entry.holding_segments if seg in self.segments] if entry else []

    # Compaction.

    def wants(self):
        """Whether a compaction slice is worthwhile. The segments are examined only if the amount of dead
        bytes has changed enough since the last search that found no victim."""
        if self.compaction is not None:
            return True
        if not plan.may_pay_off(self.total_bytes, self.most):
            return False
        dead = self.total_bytes - sum([live for _, live in self.segments.values()])
        if abs(dead - self.dead_bytes_checked) < self.max_segment_bytes // 8:
            return False
        if plan.victim(self.segment_table(), self.most) is not None:
            return True
        self.dead_bytes_checked = dead
        return False

    def step(self, hurry=False):
        """Runs one slice of compaction; False if no segment is eligible or the slice failed."""
        if self.compaction is None:
            number = plan.victim(self.segment_table(), self.most, hurry)
            if number is None:
                return False
            self.compaction = self.compact(number)
        end = self.clock() + plan.SLICE_NS
        try:
            for _ in self.compaction:
                self.steps += 1
                if self.clock() >= end:
                    return True
        except (Full, OSError):
            self.compaction = None
            return False
        self.compaction = None
        return True

    def compact(self, number):
        """Copies the live records of a segment to the newest one, then the closing records that are still
        needed, and removes the segment. A generator that yields regularly so that the caller can check the
        clock. Live records are generated from memory rather than read back, as most records in the file are
        dead."""
        for i, name in enumerate(list(self.entries)):
            entry = self.entries.get(name)
            if entry is not None and entry.bytes_in(number):
                if parts := self.refresh(name):
                    self.copy_records(parts)
                yield
            elif i % ENTRIES_PER_YIELD == 0:
                yield
        for one in self.closing_records(self.disk.read(self.segment_name(number))):
            if one is not None and one.told[0] not in self.entries:
                existing = [seg for seg in one.told[2:] if seg in self.segments and seg != number]
                if existing or self.remembered(one.told[0]):
                    self.copy_records([record(OVER, [*one.told[:2], *existing])])
            yield
        if self.syncs:  # the copies must be on disk first, whatever a concurrent sync has covered so far
            self.sync()
        self.disk.remove(self.segment_name(number))
        self.segment_removed(number)
        self.compacted += 1

    def closing_records(self, data):
        """Yields the closing records of a segment, and None at intervals. If the segment is damaged, yields
        those that can be read."""
        try:
            yield from frames.skim(data, OVER)
        except ValueError:
            yield from (one for one in frames.scan(data) if one.kind == OVER)

    def copy_records(self, parts):
        """Appends all live records of a message, or none of them; its older copies are no longer live."""
        size = sum([part.size for part in parts])
        if not plan.fits(self.total_bytes, size, self.most, False):
            raise Full("no room to compact")
        self.append(parts)
        self.copied += size
        name = parts[0].told[0]
        if parts[0].kind != OVER:
            before = self.entries.get(name)
            self.replace_entry(name, before, self.newest, before is not None and before.notice_pending)
        for part in parts:
            self.account(part.kind, part.told, self.newest, part.size)

    def segment_removed(self, number):
        """Drops a removed segment from the accounting. Closing records that were kept only because of this
        segment are no longer live."""
        self.set_segment_size(number, None)
        del self.segments[number]
        for seg, size in self.closing_by_segment.pop(number, ()):
            if seg in self.segments:
                self.segments[seg][1] -= size

    # Syncs. The handle of a closed, unsynced segment stays in `unsynced_handles` until a sync of it succeeds.

    def sync(self):
        """Syncs everything written so far to disk; raises OSError if that fails."""
        handles = (
            [*self.unsynced_handles, self.handle] if self.handle is not None else self.unsynced_handles[:]
        )
        for handle in handles:
            self.disk.sync(handle)
        self.disk.sync_folder()
        self.has_unsynced = False
        self.release(self.unsynced_handles[:])

    def release(self, handles):
        """Closes handles of closed segments that have been synced."""
        for handle in handles:
            if handle in self.unsynced_handles:
                self.unsynced_handles.remove(handle)
                self.disk.close(handle)

    def handles_to_sync(self):
        """(duplicated handles, closed handles): the first are for the caller to sync outside the event loop
        and to close; the second are those of `unsynced_handles` that this covers, for `release`."""
        closed = self.unsynced_handles[:]
        pending = closed if self.handle is None or not self.has_unsynced else [*closed, self.handle]
        self.has_unsynced = False
        return [self.disk.duplicate(handle) for handle in pending], closed

    def close(self):
        """Closes all files without syncing them. Nothing can be written until `reopen`."""
        self.close_segment()
        self.release(self.unsynced_handles[:])
        self.is_closed = True

    def reopen(self):
        """Goes on after `close`. Raises OSError where another process has changed the segments since."""
        sizes = {self.segment_number(name): self.disk.size(name) for name in self.segment_names()}
        if sizes != {number: size for number, (size, _) in self.segments.items()}:
            raise OSError("another process has used the journal")
        self.is_closed = False

    def check_readable(self):
        """Reads all segments, which another process may be writing and removing, and changes nothing. Raises
        OSError where one can't be read, Newer where one is of a later version."""
        for name in self.segment_names():
            with contextlib.suppress(FileNotFoundError):
                frames.header_of(self.disk.read(name), name)
