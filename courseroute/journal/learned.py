"""The file of learned partner state: a `CheckedFile` with the list of records as JSON.

The state is `Dispatcher.learned_state`. A file of an older version is read; a damaged file or one of a newer
version is renamed and the relay starts without it. The dispatcher accounts for the age of the state
(`Dispatcher.restore_learned_state`).
"""

import contextlib

import orjson

from courseroute.journal.checked_file import CheckedFile
from courseroute.journal.disk import Disk

NAME, BAD = "learned", "learned.bad"
OLDEST, VERSION = 1, 2
MAX_BYTES = 1 << 20


class Learned:
    """Saves and loads the learned state of one relay."""

    def __init__(self, folder, log_event, most=MAX_BYTES, syncs=True, disk=None):
        """`most`: maximum size of the state in bytes; a larger state is not saved."""
        self.file = CheckedFile(disk or Disk(folder), NAME, (OLDEST, VERSION), syncs)
        self.log_event, self.most = log_event, most
        self.saved = b"[]"

    def keep(self, state, now):
        """Saves the state if it changed; returns whether it did. Raises OSError if the folder is not
        writable; the old file then remains."""
        text = orjson.dumps(state)
        if text == self.saved or len(text) > self.most:
            return False
        self.file.write(text, now)
        self.saved = text
        return True

    def read(self):
        """(state, time it was learned in ns), or ([], 0) if there is no usable file. Raises OSError where
        there is one that can't be read."""
        self.file.remove_spare()
        try:
            content = self.file.read()
            state = orjson.loads(content.data)
            if not isinstance(state, list):
                raise ValueError("not a list")
            self.saved = content.data
            return state, content.at
        except FileNotFoundError:
            return [], 0
        except ValueError as cause:
            self.log_event("learned state not read, set aside", error=str(cause)[:200])
            with contextlib.suppress(OSError):
                self.file.disk.rename(NAME, BAD)
            return [], 0
