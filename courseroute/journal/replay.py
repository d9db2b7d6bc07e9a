"""Rebuilds state from journal records: open messages, pending notices and recently closed messages. No I/O.

Used by the tracker at startup and by the tools, so that both interpret a folder the same way.
"""

from collections import OrderedDict

from courseroute.journal.frames import BACK, CALL, OVER, OWED, TAKEN

UNSENT = "unsent"


class Kept:
    """An open message: the fields of its accepting record, its body, its recorded attempts by number."""

    __slots__ = ("told", "body", "attempts", "doubtful")

    def __init__(self, told, body):
        self.told, self.body, self.attempts = told, body, {}
        self.doubtful = False  # records of its attempts may be in unreadable bytes

    @property
    def legs(self):
        """The attempts as [host, sent at, ending]. An attempt without a record was not sent, as the
        record is written first. If records may be lost, such an attempt may have run at an unknown time, and
        so may one after the last recorded attempt."""
        count = max(self.attempts, default=-1) + 1 + self.doubtful
        missing = None if self.doubtful else UNSENT
        return [self.attempts.get(n) or ["", 0, missing] for n in range(count)]


class Replay:
    """Applies records in order; its maps then hold the state, by message name."""

    def __init__(self, most_ends=None):
        """`most_ends`: how many recently closed messages are remembered; None for all."""
        self.held, self.owed, self.ends, self.most_ends = {}, {}, OrderedDict(), most_ends
        self.doubtful = set()  # open messages whose attempts or closing record may be unreadable

    def damage(self):
        """Called for unreadable bytes: records of all messages that are open now may be lost."""
        self.doubtful.update(self.held)

    def feed(self, kind, fields, body):
        """Applies one record; kinds that do not concern messages are ignored."""
        if kind not in (TAKEN, CALL, BACK, OWED, OVER):
            return
        name = fields[0]
        message = self.held.get(name)
        if kind == TAKEN and message is None and name not in self.ends:
            self.held[name] = Kept(fields, body)
        elif kind == CALL and message is not None:
            message.attempts.setdefault(fields[1], list(fields[2:]))
        elif kind == BACK and message is not None and fields[1] in message.attempts:
            message.attempts[fields[1]][2] = fields[2]
        elif kind in (OWED, OVER):
            self.held.pop(name, None)
            self.owed.pop(name, None)
            if kind == OWED:
                self.owed[name] = tuple(fields[1:3])
            self.ends[name] = fields[1]
            if self.most_ends is not None and len(self.ends) > self.most_ends:
                self.ends.popitem(last=False)

    def finish(self):
        """Called after the last record; returns self."""
        for name in self.doubtful & self.held.keys():
            self.held[name].doubtful = True
        return self
