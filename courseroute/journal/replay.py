"""What a journal's records, read in order, leave standing: held messages, ends owed, recent ends. No I/O.

Used by the desk at its start and by the tools, so that both read a folder alike.
"""

from collections import OrderedDict

from courseroute.journal.frames import BACK, CALL, OVER, OWED, TAKEN

UNSENT = "unsent"


class Kept:
    """A message that is held: the fields of its record, its body, its attempts by number."""

    __slots__ = ("told", "body", "attempts", "doubtful")

    def __init__(self, told, body):
        self.told, self.body, self.attempts = told, body, {}
        self.doubtful = False  # records of its attempts may stand in bytes that can't be read

    @property
    def legs(self):
        """The attempts as [host, sent at, ending]. One with no record was not sent, as that is written first;
        where records may be lost it may have run, nobody knows when, and so may one behind the last."""
        count = max(self.attempts, default=-1) + 1 + self.doubtful
        missing = None if self.doubtful else UNSENT
        return [self.attempts.get(n) or ["", 0, missing] for n in range(count)]


class Replay:
    def __init__(self, most_ends=None):
        """`most_ends`: how many ends are remembered, the newest ones; None for all."""
        self.held, self.owed, self.ends, self.most_ends = {}, {}, OrderedDict(), most_ends
        self.doubtful = set()  # held messages whose attempts, or end, may stand in bytes that can't be read

    def damage(self):
        self.doubtful.update(self.held)

    def feed(self, kind, told, body):
        if kind not in (TAKEN, CALL, BACK, OWED, OVER):
            return
        name = told[0]
        kept = self.held.get(name)
        if kind == TAKEN and kept is None and name not in self.ends:
            self.held[name] = Kept(told, body)
        elif kind == CALL and kept is not None:
            kept.attempts.setdefault(told[1], list(told[2:]))
        elif kind == BACK and kept is not None and told[1] in kept.attempts:
            kept.attempts[told[1]][2] = told[2]
        elif kind in (OWED, OVER):
            self.held.pop(name, None)
            self.owed.pop(name, None)
            if kind == OWED:
                self.owed[name] = tuple(told[1:3])
            self.ends[name] = told[1]
            if self.most_ends is not None and len(self.ends) > self.most_ends:
                self.ends.popitem(last=False)

    def finish(self):
        """No more records come."""
        for name in self.doubtful & self.held.keys():
            self.held[name].doubtful = True
        return self
