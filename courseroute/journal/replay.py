"""What a journal's records, read in order, leave standing: held messages, ends owed, recent ends. No I/O.

Used by the desk at its start and by the tools, so that both read a folder alike.
"""
from collections import OrderedDict

from courseroute.journal.frames import BACK, CALL, OVER, OWED, TAKEN


class Kept:
    """A message that is held: the fields of its record, its body, its legs as [host, sent at, ending]."""
    __slots__ = ("told", "body", "legs")

    def __init__(self, told, body):
        self.told, self.body, self.legs = told, body, []


class Replay:
    def __init__(self, most_ends=None):
        """`most_ends`: how many ends are remembered, the newest ones; None for all."""
        self.held, self.owed, self.ends, self.most_ends = {}, {}, OrderedDict(), most_ends
        self.doubtful = set()       # held messages whose calls, or end, may stand in bytes that can't be read

    def damage(self):
        self.doubtful.update(self.held)

    def feed(self, kind, told, body):
        if kind not in (TAKEN, CALL, BACK, OWED, OVER):
            return
        name = told[0]
        kept = self.held.get(name)
        if kind == TAKEN and kept is None and name not in self.ends:
            self.held[name] = Kept(told, body)
        elif kind == CALL and kept is not None and len(kept.legs) == told[1]:
            kept.legs.append(list(told[2:]))
        elif kind == CALL and kept is not None and told[1] < len(kept.legs) and told[4] is not None:
            kept.legs[told[1]][2] = told[4]     # a copy: the outcome's own record may be gone
        elif kind == BACK and kept is not None and told[1] < len(kept.legs):
            kept.legs[told[1]][2] = told[2]
        elif kind in (OWED, OVER):
            self.held.pop(name, None)
            self.owed.pop(name, None)
            if kind == OWED:
                self.owed[name] = tuple(told[1:3])
            self.ends[name] = told[1]
            if self.most_ends is not None and len(self.ends) > self.most_ends:
                self.ends.popitem(last=False)

    def gone(self, name):
        """Nothing of it stands in the journal any more."""
        self.held.pop(name, None)
        self.owed.pop(name, None)

    def finish(self):
        """No more records come: what is doubtful gets a leg that may have run, nobody knows when."""
        for name in sorted(self.doubtful & self.held.keys()):
            self.held[name].legs.append(["", 0, None])
        return self
