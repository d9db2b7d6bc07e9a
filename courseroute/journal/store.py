"""The journal: numbered segments that are appended to, compacted in slices, and read back whole.

The order of what is done, so that a crash between any two system calls loses no record and brings no ended
message back: a record is written whole before what it tells of happens; a segment's live records are copied
to the newest one (and synced, where that is asked for) before the segment is removed; the record of an end
names the segments that still hold the message, and is copied on while one of them stands. Called by the desk,
which says what is live (`refresh`), and by `run.relay` (`step`).
"""
import contextlib
import random
import time
from typing import NamedTuple

from courseroute.journal import frames, old, plan
from courseroute.journal.frames import BACK, CALL, MEMORY, OVER, OWED, TAKEN, record

PREFIX = "seg-"
AT_ONCE = 16            # slices of compaction at once, where a record would not fit without them
LOOKED_AT = 256         # messages looked at between two looks at the clock
LEGS = (CALL, BACK)
DAMAGE = b"?"           # a stretch that could not be read, as a record of its own kind
GONE = b"-"             # so a message none of whose records stands: it is over


class Full(Exception):
    """The record does not fit, or could not be written."""


class Loss(NamedTuple):
    """Bytes that could not be read: they may have told of calls and ends of messages taken on before them."""
    segment: int
    at: int
    size: int


class Entry:
    """A live message: its bytes in the segment it began in, and in others; the segments that hold its
    taking-on or its end, copies that count no more among them; whether its end is owed."""
    __slots__ = ("number", "size", "others", "holds", "owed")

    def __init__(self, number, holds=(), owed=False):
        self.number, self.size, self.others, self.owed = number, 0, None, owed
        self.holds = (*holds, number) if number not in holds else holds

    def add(self, number, size):
        if number == self.number:
            self.size += size
        elif self.others is None:
            self.others = {number: size}
        else:
            self.others[number] = self.others.get(number, 0) + size

    def inside(self, number):
        """Its bytes in that segment."""
        return self.size if number == self.number else (self.others or {}).get(number, 0)


def draw_salt():
    return random.SystemRandom().getrandbits(32)


class Journal:
    def __init__(self, disk, most, relay="", syncs=False, clock=time.monotonic_ns, draw=draw_salt):
        self.disk, self.most, self.relay, self.syncs, self.clock = disk, most, relay, syncs, clock
        self.draw, self.salt = draw, 0
        self.size_of_segment = plan.segment_size(most)
        self.roomy = most - plan.reserve(most) - plan.SECTORS   # below that everything fits
        self.segments = {}              # number -> [size, live bytes]
        self.entries, self.ended_in = {}, {}    # ended_in: segment -> [(segment of the end's record, bytes)]
        self.handle, self.newest, self.live = None, 0, 0
        self.refresh = None             # a method: the records of a message that is held or owed, else []
        self.sound = True               # nothing odd was met where it was read ahead
        self.remembered = None          # a method: whether a message's end is still to be known
        self.work = None                # the compaction under way
        self.total, self.dead_seen = 0, 0       # bytes on the disk; the dead ones when none paid to compact
        self.left = []                  # handles of closed segments that are not synced yet
        self.unsynced, self.losses, self.compacted, self.copied, self.written = False, [], 0, 0, 0

    # Reading.

    def read(self):
        """Yields all records of earlier lives in order, as (kind, fields, body); DAMAGE with a Loss where
        bytes are bad; GONE of a message that was read ahead and is over. Ends that a crash tore are cut off.
        Newer where a file is of a later version."""
        names = self.disk.names()
        if old.NAME in names:
            self.convert(names)
        names = self.names()
        self.let_go(names)
        for name in names:
            if self.number(name) in self.segments:
                continue
            data = self.disk.read(name)
            number = frames.header_of(data, name)
            if number is None or name != self.name(number):
                if self.is_torn_start(data, name):
                    self.disk.remove(name)
                else:
                    self.losses.append(Loss(self.number(name), 0, len(data)))
                    self.disk.rename(name, f"bad-{name}")
                    yield DAMAGE, self.losses[-1], b""
                continue
            self.sized(number, len(data))
            for one in frames.scan(data):
                if one.kind is not None:
                    yield self.placed(one, number)
                elif one.torn or name == names[-1] and one.end == len(data) and (
                        data[one.at:one.at + 2] != frames.RECORD):
                    self.disk.cut(name, one.at)
                    self.sized(number, one.at)
                else:
                    self.losses.append(Loss(number, one.at, one.end - one.at))
                    yield DAMAGE, self.losses[-1], b""
            self.newest = max(self.newest, number)
        for name in [name for name, entry in self.entries.items() if not self.standing(entry)]:
            self.forget(self.entries.pop(name))
            yield GONE, [name], b""

    def read_ahead(self):
        """The records, as `read` has them, of one more closed segment of a journal that another writes; None
        where there is none. Touches nothing; what looks odd, and all behind it, is left to `read`. OSError
        where one can't be read: those behind it must not be read before it."""
        for name in self.names()[:-1] if self.sound else ():
            if self.number(name) in self.segments:
                continue
            try:
                data = self.disk.read(name)
            except FileNotFoundError:       # compacted meanwhile: its live records stand behind
                continue
            found = list(frames.scan(data)) if frames.header_of(data, name) == self.number(name) else [None]
            self.sound = all(one is not None and one.kind is not None for one in found)
            if not self.sound:
                return None
            self.sized(self.number(name), len(data))
            return [self.placed(one, self.number(name)) for one in found]
        return None

    def placed(self, one, number):
        self.place(one.kind, one.told, number, one.end - one.at)
        return one.kind, one.told, one.body

    def let_go(self, names):
        """Segments that were read ahead and are gone since."""
        for number in [number for number in self.segments if self.name(number) not in names]:
            self.removed(number)

    def look(self):
        """Raises Newer where a segment is of a later version; touches nothing, another may write here."""
        for name in self.names():
            with contextlib.suppress(OSError):
                frames.header_of(self.disk.read(name, 0, frames.HEADER.size), name)

    def names(self):
        return [name for name in self.disk.names() if name.startswith(PREFIX)]

    def name(self, number):
        return f"{PREFIX}{number:010d}"

    def number(self, name):
        digits = name.removeprefix(PREFIX)
        return int(digits) if digits.isdigit() else 0

    def is_torn_start(self, data, name):
        """A crash just as the segment began left a part of its header, all of it but for the salt known."""
        begin = frames.header(self.number(name), self.relay, 0)[:len(data)]
        return len(data) < frames.HEADER.size and data[:frames.SALT_AT] == begin[:frames.SALT_AT]

    def convert(self, names):
        """The log of an earlier version, turned over: while it stands, segments are a torn try to do so."""
        for name in self.names():
            frames.header_of(self.disk.read(name, 0, 64), name)     # a newer one is not touched
            self.disk.remove(name)
        for kind, told, body in old.records(self.disk.read(old.NAME)):
            self.write(record(kind, told, body))
        if self.handle is not None:
            self.sync()
            self.disk.close(self.handle)
            self.handle = None
        for name in (old.SPARE, old.NAME):
            if name in names:
                self.disk.remove(name)
        self.segments, self.entries, self.ended_in, self.newest, self.total = {}, {}, {}, 0, 0

    # Room.

    def table(self):
        return [plan.Segment(number, *self.segments[number]) for number in sorted(self.segments)]

    def room(self, size):
        """Whether a message with so many bytes may still be taken on."""
        if not plan.may_take(self.live, size, self.most):
            return False
        if not plan.fits(self.total, size, self.most, True):
            self.make_room(size)
        return plan.fits(self.total, size, self.most, True)

    def make_room(self, size, reserved=True):
        """Compacts at once, for some slices: better than to turn away what would fit."""
        for _ in range(AT_ONCE):
            if plan.fits(self.total, size, self.most, reserved) or not self.step(hurry=True):
                return

    @property
    def size(self):
        return self.total

    def sized(self, number, size):
        """A segment has so many bytes now; None: it is gone."""
        if number in self.segments:
            self.total -= self.segments[number][0] + plan.SECTORS
        if size is not None:
            self.segments.setdefault(number, [0, 0])[0] = size
            self.total += size + plan.SECTORS

    # Writing.

    def write(self, *parts):
        """Writes whole records, or raises Full with nothing of them left behind."""
        if not parts:
            return
        size, reserved = sum([part.size for part in parts]), parts[0].kind == TAKEN
        if self.total + size > self.roomy and not plan.fits(self.total, size, self.most, reserved):
            self.make_room(size, reserved)
            if not plan.fits(self.total, size, self.most, reserved):
                raise Full("the journal is full")
        self.append(parts)
        for part in parts:
            self.place(part.kind, part.told, self.newest, part.size)

    def append(self, parts):
        if self.handle is None or self.segments[self.newest][0] >= self.size_of_segment:
            self.begin()
        data = parts[0].sealed(self.salt) if len(parts) == 1 else b"".join(
            [part.sealed(self.salt) for part in parts])
        segment, size = self.segments[self.newest], len(data)
        start = segment[0]
        try:
            self.put(data)
        except OSError as cause:
            self.take_back(start)
            raise Full(str(cause)) from None
        segment[0] = start + size
        self.total += size
        self.written += size
        self.unsynced = True

    def put(self, data):
        count = self.disk.write(self.handle, data)
        while count < len(data):
            count += self.disk.write(self.handle, memoryview(data)[count:])

    def take_back(self, size):
        """Nothing of a failed write may stay; where even that fails the segment is closed: what is torn at
        its end is seen when it is read."""
        try:
            self.disk.truncate(self.handle, size)
        except OSError:
            self.leave()

    def leave(self):
        """Closes the newest segment; where syncs are asked for its handle stays until that was done."""
        if self.handle is not None:
            if self.syncs and self.unsynced:
                self.left.append(self.handle)
            else:
                self.disk.close(self.handle)
            self.handle = None

    def begin(self):
        """A new segment; its number is one that no file has or had."""
        self.leave()
        number, salt = self.newest + 1, self.draw()
        head = frames.header(number, self.relay, salt)
        try:
            self.handle = self.disk.create(self.name(number))
            self.put(head)
        except OSError as cause:
            if self.handle is not None:
                self.disk.close(self.handle)
                self.handle = None
                try:
                    self.disk.remove(self.name(number))
                except OSError:
                    pass
            raise Full(str(cause)) from None
        self.newest, self.salt = number, salt
        self.sized(number, len(head))
        self.unsynced = True

    # What is live: bytes by segment.

    def place(self, kind, told, number, size):
        """A record stands in that segment; what it makes of its message's other records."""
        if kind == MEMORY:
            return
        name = told[0]
        entry = self.entries.get(name)
        if kind == OVER:
            if entry is not None:
                self.forget(entry)
                del self.entries[name]
            standing = [seg for seg in told[2:] if seg != number and seg in self.segments]
            if standing:
                self.segments[number][1] += size
                self.ended_in.setdefault(max(standing), []).append((number, size))
            return
        if kind == OWED and (entry is None or not entry.owed):
            self.begin_anew(name, entry, number, True)
            entry = self.entries[name]
        elif entry is None:
            if kind != TAKEN:
                return
            entry = self.entries[name] = Entry(number)
        elif kind not in LEGS and number not in entry.holds:
            entry.holds = (*entry.holds, number)
        entry.add(number, size)
        self.segments[number][1] += size

    def begin_anew(self, name, entry, number, owed):
        """What a message had before counts no more, but the segments still hold it."""
        if entry is not None:
            self.forget(entry)
        self.entries[name] = Entry(number, entry.holds if entry else (), owed)

    def forget(self, entry):
        if entry.number in self.segments:
            self.segments[entry.number][1] -= entry.size
        for number, size in (entry.others or {}).items():
            if number in self.segments:
                self.segments[number][1] -= size

    def over(self, name, state):
        """The record of an end: it names the segments that still hold the message."""
        entry = self.entries.get(name)
        return record(OVER, [name, state, *self.standing(entry)])

    def standing(self, entry):
        return [seg for seg in entry.holds if seg in self.segments] if entry else []

    # Compaction.

    def wants(self):
        """Whether a slice of compaction would pay; looked at closely only where enough has died since."""
        if self.work is not None:
            return True
        if not plan.pays(self.total, self.most):
            return False
        dead = self.total - sum([live for _, live in self.segments.values()])
        if abs(dead - self.dead_seen) < self.size_of_segment // 8:
            return False
        if plan.victim(self.table(), self.most) is not None:
            return True
        self.dead_seen = dead
        return False

    def step(self, hurry=False):
        """One slice of compaction; False where there is nothing to do, or no way to do it."""
        if self.work is None:
            number = plan.victim(self.table(), self.most, hurry)
            if number is None:
                return False
            self.work = self.compact(number)
        end = self.clock() + plan.SLICE
        try:
            for _ in self.work:
                if self.clock() >= end:
                    return True
        except (Full, OSError):
            self.work = None
            return False
        self.work = None
        return True

    def compact(self, number):
        """Writes what is live of one segment to the newest, from memory, then the ends that still matter, and
        removes it; a stop now and then. No record of a message is read for it: most are dead."""
        for i, name in enumerate(list(self.entries)):
            entry = self.entries.get(name)
            if entry is not None and entry.inside(number):
                if parts := self.refresh(name):
                    self.copy(parts)
                yield
            elif i % LOOKED_AT == 0:
                yield
        for one in self.ends(self.disk.read(self.name(number))):
            if one is not None and one.told[0] not in self.entries:
                standing = [seg for seg in one.told[2:] if seg in self.segments and seg != number]
                if standing or self.remembered(one.told[0]):
                    self.copy([record(OVER, [*one.told[:2], *standing])])
            yield
        if self.syncs:      # before what was copied goes, whatever a sync beside the loop has done so far
            self.sync()
        self.disk.remove(self.name(number))
        self.removed(number)
        self.compacted += 1

    def ends(self, data):
        """The records of ends in a segment, None now and then; of a damaged one those that can be read."""
        try:
            yield from frames.skim(data, OVER)
        except ValueError:
            yield from (one for one in frames.scan(data) if one.kind == OVER)

    def copy(self, parts):
        """A message's live records at their new place, all or none; its older ones count no more."""
        size = sum([part.size for part in parts])
        if not plan.fits(self.total, size, self.most, False):
            raise Full("no room to compact")
        self.append(parts)
        self.copied += size
        name = parts[0].told[0]
        if parts[0].kind != OVER:
            before = self.entries.get(name)
            self.begin_anew(name, before, self.newest, before is not None and before.owed)
        for part in parts:
            self.place(part.kind, part.told, self.newest, part.size)

    def removed(self, number):
        self.sized(number, None)
        del self.segments[number]
        for seg, size in self.ended_in.pop(number, ()):
            if seg in self.segments:
                self.segments[seg][1] -= size

    # Syncs: what was left unsynced stays open, and in `left`, until a sync of it came back.

    def sync(self):
        """All that is written is safe; OSError where it is not."""
        handles = [*self.left, self.handle] if self.handle is not None else self.left[:]
        for handle in handles:
            self.disk.sync(handle)
        self.disk.sync_folder()
        self.unsynced = False
        self.release(self.left[:])

    def release(self, handles):
        for handle in handles:
            if handle in self.left:
                self.left.remove(handle)
                self.disk.close(handle)

    def to_sync(self):
        """(handles to be synced beside the event loop and closed there, those of `left` among what they stand
        for)."""
        left = self.left[:]
        now = left if self.handle is None or not self.unsynced else [*left, self.handle]
        self.unsynced = False
        return [self.disk.duplicate(handle) for handle in now], left

    def close(self):
        self.leave()
        self.release(self.left[:])


