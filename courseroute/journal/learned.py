"""What a relay learned of its partners, in a file of its own: versioned, checksummed, never half written.

One line of JSON with the version, the time it was learned and the checksum of what follows, then what the
module told (`Dispatcher.memory`). It is written beside, synced and renamed. A file of an older version is
read; one that is broken, or of a newer version, is set aside under another name and the relay starts without
it. What age makes of it is the module's (`Dispatcher.recall`).
"""

import contextlib

import orjson
import xxhash

from courseroute.journal.disk import Disk

NAME, SPARE, BAD = "learned", "learned.new", "learned.bad"
VERSION, OLDEST = 2, 1
MOST = 1 << 20


class Learned:
    def __init__(self, folder, say, most=MOST, syncs=True, disk=None):
        """`most`: bytes the file may have; what is longer is not kept."""
        self.disk, self.say, self.most, self.syncs = disk or Disk(folder), say, most, syncs
        self.kept = b"[]"

    def keep(self, told, now):
        """Writes it where it changed; OSError where the folder can't be written, the old file then stands."""
        text = orjson.dumps(told)
        if text == self.kept or len(text) > self.most:
            return False
        head = {"version": VERSION, "at": now, "check": xxhash.xxh64_hexdigest(text)}
        handle = self.disk.create(SPARE)
        try:
            view = memoryview(orjson.dumps(head) + b"\n" + text)
            while view:
                view = view[self.disk.write(handle, view) :]
            if self.syncs:
                self.disk.sync(handle)
        finally:
            self.disk.close(handle)
        self.disk.rename(SPARE, NAME)
        self.kept = text
        return True

    def read(self):
        """(what was learned, when); ([], 0) where there is nothing to go by."""
        with contextlib.suppress(OSError):
            self.disk.remove(SPARE)
        try:
            data = self.disk.read(NAME)
        except OSError:
            return [], 0
        try:
            line, _, text = data.partition(b"\n")
            head = orjson.loads(line)
            if not OLDEST <= head["version"] <= VERSION:
                raise ValueError(f"version {head['version']}")
            if xxhash.xxh64_hexdigest(text) != head["check"]:
                raise ValueError("its checksum is wrong")
            told = orjson.loads(text)
            if not isinstance(told, list):
                raise ValueError("not a list")
            self.kept = text
            return told, int(head["at"])
        except (ValueError, KeyError, TypeError) as cause:
            self.say("learned state not read, set aside", error=str(cause)[:200])
            with contextlib.suppress(OSError):
                self.disk.rename(NAME, BAD)
            return [], 0
