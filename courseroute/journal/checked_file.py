"""A small file that is versioned, checksummed and replaced atomically.

One line of JSON with the version, the time it was written and the checksum of what follows, then the content.
It is written to a spare file, synced and renamed, so that a reader finds the old content or the new one.
"""

import contextlib
from typing import NamedTuple

import orjson
import xxhash


class Content(NamedTuple):
    """What a file holds, and when it was written, in nanoseconds of the relay's clock."""

    data: bytes
    at: int


class CheckedFile:
    """The file `name` of a `journal.disk.Disk`; `versions`: the oldest and the newest that are read, of which
    the newest is written."""

    def __init__(self, disk, name, versions, syncs):
        self.disk, self.name, self.spare, self.syncs = disk, name, name + ".new", syncs
        self.oldest_version, self.version = versions

    def write(self, data, at, may_replace=lambda: True):
        """Replaces the content. Raises OSError where that fails; the old content then remains, as it does
        where `may_replace()`, called last, is false. Returns whether the content was replaced."""
        head = {"version": self.version, "at": at, "check": xxhash.xxh64_hexdigest(data)}
        handle = self.disk.create(self.spare)
        try:
            unwritten = memoryview(orjson.dumps(head) + b"\n" + data)
            while unwritten:
                unwritten = unwritten[self.disk.write(handle, unwritten) :]
            if self.syncs:
                self.disk.sync(handle)
        finally:
            self.disk.close(handle)
        if not may_replace():
            return False
        self.disk.rename(self.spare, self.name)
        return True

    def read(self):
        """The Content. Raises FileNotFoundError where there is none, ValueError where it is damaged or of
        another version, any other OSError where it can't be read."""
        return self.parse(self.disk.read(self.name))

    def parse(self, file_content):
        """The Content in the bytes of a file; ValueError as above."""
        line, _, data = file_content.partition(b"\n")
        try:
            head = orjson.loads(line)
            version, at, check = int(head["version"]), int(head["at"]), head["check"]
        except (KeyError, TypeError) as error:
            raise ValueError(f"no head: {error!r}") from None
        if not self.oldest_version <= version <= self.version:
            raise ValueError(f"version {version}")
        if xxhash.xxh64_hexdigest(data) != check:
            raise ValueError("its checksum is wrong")
        return Content(data, at)

    def remove_spare(self):
        """Removes what a write that was cut short has left."""
        with contextlib.suppress(OSError):
            self.disk.remove(self.spare)
