"""An in-memory disk with fault injection, for tests and crash tests of the journal.

It counts calls that change it. At a given call it simulates a crash of the process (`Crash`, before, after or
part-way through a write), raises an error, writes short, or is full. All written data survives a crash of the
process; only synced data survives a power failure.
"""

import errno


class Crash(Exception):
    """Simulates the end of the process at this call."""


class FaultyDisk:
    """Files of one folder in memory, with the interface of `disk.Disk`; `room`: maximum bytes, or None."""

    def __init__(self, room=None):
        self.files, self.synced, self.handles, self.next = {}, {}, {}, 3
        self.calls, self.room = 0, room
        self.crash_at, self.part = None, 1.0  # call number, and the fraction of it that still happens
        self.fails = {}  # call -> errno
        self.short = set()  # calls that write half

    def step(self, act):
        """Runs one call that changes the disk; `act` gets the fraction that happens."""
        self.calls += 1
        if self.calls == self.crash_at:
            if self.part:
                act(self.part)
            raise Crash
        if code := self.fails.get(self.calls):
            raise OSError(code, errno.errorcode[code])
        return act(0.5 if self.calls in self.short else 1.0)

    def used(self):
        """Total bytes of all files."""
        return sum(map(len, self.files.values()))

    def names(self):
        return sorted(self.files)

    def size(self, name):
        return len(self.data(name))

    def data(self, name):
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def create(self, name):
        def act(part):
            self.files[name] = bytearray()
            return self.open(name)

        return self.step(act)

    def open(self, name):
        self.next += 1
        self.handles[self.next] = self.files[name]
        return self.next

    def write(self, handle, data):
        def act(part):
            count = max(1, int(len(data) * part)) if part > 0 else 0
            if self.room is not None:
                count = min(count, self.room - self.used())
                if count <= 0:
                    raise OSError(errno.ENOSPC, "full")
            self.handles[handle] += data[:count]
            return count

        return self.step(act)

    def truncate(self, handle, size):
        def act(part):
            del self.handles[handle][size:]

        self.step(act)

    def cut(self, name, size):
        def act(part):
            del self.data(name)[size:]

        self.step(act)

    def sync(self, handle):
        def act(part):
            for name, data in self.files.items():
                if data is self.handles[handle]:
                    self.synced[name] = bytes(data)

        self.step(act)

    def sync_folder(self):
        self.step(lambda part: None)

    def duplicate(self, handle):
        self.next += 1
        self.handles[self.next] = self.handles[handle]
        return self.next

    def close(self, handle):
        self.handles.pop(handle, None)

    def read(self, name, at=0, size=-1):
        data = bytes(self.data(name))
        return data[at:] if size < 0 else data[at : at + size]

    def rename(self, name, other):
        def act(part):
            self.files[other] = self.files.pop(name)
            if name in self.synced:
                self.synced[other] = self.synced.pop(name)

        self.step(act)

    def remove(self, name):
        def act(part):
            self.data(name)
            del self.files[name]
            self.synced.pop(name, None)

        self.step(act)

    def after(self, power_cut=False):
        """The disk as the next process finds it; after a power failure, with synced data only."""
        other = FaultyDisk(self.room)
        surviving = self.synced if power_cut else self.files
        other.files = {name: bytearray(data) for name, data in surviving.items()}
        other.synced = {name: bytes(data) for name, data in other.files.items()}
        return other
