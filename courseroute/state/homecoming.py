"""What came of calls that were out when a relay let its folder go: told by the old process to the new one.

Called by `run.relay` and the desk. The old process creates the file, locked, with the calls that are out in
its first line, and appends a line for each that ends; the lock goes with its process, however that ends. The
new one reads what is new now and then. A line that is not whole yet is left for the next look.
"""
import contextlib
import os

import orjson

from courseroute.journal.lock import taken

NAME, LINE = "home", 256        # the file; bytes that a call may take in it


class Teller:
    """The old process's side; OSError where the file can't be made."""

    def __init__(self, folder, out):
        """`out`: (message, leg's number) of each call that is out."""
        path = os.path.join(folder, NAME)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        self.lock = taken(path)
        self.handle = os.open(path, os.O_WRONLY | os.O_APPEND)
        self.write(sorted(out))

    def write(self, told):
        os.write(self.handle, orjson.dumps(told) + b"\n")

    def tell(self, *outcome):
        """What `Desk.returned` is told; one that can't be written counts as never told: it may have run."""
        with contextlib.suppress(OSError):
            self.write(outcome)


class Listener:
    """The new process's side. `out`: calls not told of yet, empty where no process is left to tell of any."""

    def __init__(self, folder):
        self.path, self.handle, self.rest, self.out = os.path.join(folder, NAME), None, b"", set()
        try:
            self.handle = os.open(self.path, os.O_RDONLY)
        except OSError:
            return
        if not self.ended():
            first = os.read(self.handle, 1 << 20).partition(b"\n")[0]
            os.lseek(self.handle, len(first) + 1, os.SEEK_SET)
            self.out = {(name, n) for name, n in orjson.loads(first)}

    def ended(self):
        """Whether the old process is gone."""
        lock = taken(self.path)
        if lock is not None:
            os.close(lock)
        return lock is not None

    def lines(self):
        """What was appended since the last look."""
        while data := os.read(self.handle, 1 << 16):
            self.rest += data
        *whole, self.rest = self.rest.split(b"\n")
        return [orjson.loads(line) for line in whole]

    def hear(self):
        """Outcomes that are new, as `Desk.returned` takes them; once the old process is gone, of each call it
        left untold that it may have run."""
        ended = self.ended()        # before the last look at the file
        told = [outcome for outcome in self.lines() if (outcome[0], outcome[1]) in self.out]
        self.out.difference_update((outcome[0], outcome[1]) for outcome in told)
        if ended:
            told += [[name, n, None, "reset", 0, False, 0, None, None] for name, n in sorted(self.out)]
            self.out.clear()
        return told

    def close(self):
        """Nothing more is to be told."""
        if self.handle is not None:
            os.close(self.handle)
            with contextlib.suppress(OSError):
                os.unlink(self.path)
