"""The file of learned partner state: versioned, checksummed and replaced atomically.

One line of JSON with the version, the time it was learned and the checksum of what follows, then the
state itself (`Dispatcher.learned_state`). It is written to a temporary file, synced and renamed. A file of an
older version is read; a damaged file or one of a newer version is renamed and the relay starts without it.
The dispatcher accounts for the age of the state (`Dispatcher.restore_learned_state`).
"""

import contextlib

import orjson
import xxhash

from courseroute.journal.disk import Disk

NAME, SPARE, BAD = "learned", "learned.new", "learned.bad"
VERSION, OLDEST = 2, 1
MAX_BYTES = 1 << 20


class Learned:
    """Saves and loads the learned state of one relay."""

    def __init__(self, folder, log_event, most=MAX_BYTES, syncs=True, disk=None):
        """`most`: maximum size of the state in bytes; a larger state is not saved."""
        self.disk, self.log_event, self.most, self.syncs = disk or Disk(folder), log_event, most, syncs
        self.saved = b"[]"

    def keep(self, state, now):
        """Saves the state if it changed; returns whether it did. Raises OSError if the folder is not
        writable; the old file then remains."""
        text = orjson.dumps(state)
        if text == self.saved or len(text) > self.most:
            return False
        head = {"version": VERSION, "at": now, "check": xxhash.xxh64_hexdigest(text)}
        handle = self.disk.create(SPARE)
        try:
            unwritten = memoryview(orjson.dumps(head) + b"\n" + text)
            while unwritten:
                unwritten = unwritten[self.disk.write(handle, unwritten) :]
            if self.syncs:
                self.disk.sync(handle)
        finally:
            self.disk.close(handle)
        self.disk.rename(SPARE, NAME)
        self.saved = text
        return True

    def read(self):
        """(state, time it was learned in ns), or ([], 0) if there is no usable file. Raises OSError where
        there is one that can't be read."""
        with contextlib.suppress(OSError):
            self.disk.remove(SPARE)
        try:
            data = self.disk.read(NAME)
        except FileNotFoundError:
            return [], 0
        try:
            line, _, text = data.partition(b"\n")
            head = orjson.loads(line)
            if not OLDEST <= head["version"] <= VERSION:
                raise ValueError(f"version {head['version']}")
            if xxhash.xxh64_hexdigest(text) != head["check"]:
                raise ValueError("its checksum is wrong")
            state = orjson.loads(text)
            if not isinstance(state, list):
                raise ValueError("not a list")
            self.saved = text
            return state, int(head["at"])
        except (ValueError, KeyError, TypeError) as cause:
            self.log_event("learned state not read, set aside", error=str(cause)[:200])
            with contextlib.suppress(OSError):
                self.disk.rename(NAME, BAD)
            return [], 0
