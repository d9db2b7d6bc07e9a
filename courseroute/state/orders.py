"""What staff ordered, in a file of the folder: hosts that get nothing, and whether the relay empties itself.

Called by `run.relay`. Both processes of an upgrade read and write it, whichever holds the journal: a change
is made under a short lock of its own, written beside and renamed, so that it is whole before anyone says yes.
"""
import contextlib
import fcntl
import os
import time

import orjson

NAME, SPARE, LOCK = "orders", "orders.new", "orders.lock"
TRIES, PAUSE = 20, 0.005        # for the lock: another process keeps it for the time of one small write


class Orders:
    def __init__(self, folder, most, syncs=False):
        """`most`: bytes the file may have, so that bans of hosts that left for good don't pile up."""
        self.folder, self.most, self.syncs, self.seen = folder, most, syncs, None
        self.told, self.bad = ({}, False), None     # as last read; why the file could not be read, if so

    def path(self, name):
        return os.path.join(self.folder, name)

    def changed(self):
        """Whether the file is another than the one last read here."""
        return self.stamp() != self.seen

    def stamp(self):
        try:
            told = os.stat(self.path(NAME))
        except OSError:
            return None
        return told.st_mtime_ns, told.st_ino, told.st_size

    def read(self):
        """(hosts down -> Unix time in ns since when, draining). Where the file can't be read, as last read: a
        missing descriptor must end no ban."""
        self.seen, self.bad = self.stamp(), None
        try:
            with open(self.path(NAME), "rb") as file:
                told = orjson.loads(file.read(self.most + 1))
            down = {str(host): int(since) for host, since in told["down"].items()}
            self.told = down, bool(told["drain"])
        except FileNotFoundError:
            self.told = {}, False
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as cause:
            self.bad = str(cause) or type(cause).__name__
        return dict(self.told[0]), self.told[1]

    def change(self, host=None, since=None, drain=None, listed=None):
        """One order, whole on the disk before it returns: `host` is down since then, or up again (None).
        Where the file is full the oldest bans that `listed(host)` does not know give way; they are returned.
        OSError where it can't be written."""
        with self.alone():
            down, drains = self.read()
            if host is not None:
                if since is None:
                    down.pop(host, None)
                else:
                    down.setdefault(host, since)
            gone, data = [], self.text(down, drains if drain is None else drain)
            for old in sorted(down, key=down.get) if len(data) > self.most else ():
                if len(data) > self.most and old != host and not listed(old):
                    gone.append(old)
                    del down[old]
                    data = self.text(down, drains if drain is None else drain)
            if len(data) > self.most:
                raise OSError("too many hosts are down by hand")
            self.write(data)
            self.seen = self.stamp()
            return gone

    def text(self, down, drain):
        return orjson.dumps({"down": down, "drain": drain})

    def write(self, data):
        try:
            with open(self.path(SPARE), "wb") as file:
                file.write(data)
                file.flush()
                if self.syncs:
                    os.fsync(file.fileno())
            os.replace(self.path(SPARE), self.path(NAME))
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(self.path(SPARE))
            raise

    @contextlib.contextmanager
    def alone(self):
        handle = os.open(self.path(LOCK), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            for left in reversed(range(TRIES)):
                try:
                    fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                except OSError:
                    if not left:
                        raise
                    time.sleep(PAUSE)
            yield
        finally:
            os.close(handle)
