"""What became of the messages since the process began: each counted once, where it happens.

Told by the desk and by the calls to hosts, read for staff. No clock, no I/O. For each lane, handed in and
restored = delivered + refused + failed + held.
"""

WORDS = {"delivered": "served", "returned": "refused", "failed": "failed", "over": "failed"}


class Tally:
    def __init__(self, lanes):
        self.ends = {lane: dict.fromkeys(WORDS.values(), 0) for lane in lanes}
        self.calls = 0          # calls written whole to hosts

    def end(self, lane, state):
        """A message's one end: delivered, returned (refused at the door too), failed, or over without any."""
        if lane in self.ends:       # one restored may be of a lane that the settings no longer have
            self.ends[lane][WORDS[state]] += 1

    def called(self):
        self.calls += 1

    def figures(self, held, known, excluded):
        """(name, count) of all that is reported; `held` messages, `known` and `excluded` hosts."""
        for lane, counts in self.ends.items():
            for word, count in counts.items():
                yield f"requests.{lane}.{word}", count
        yield from (("attempts", self.calls), ("in_flight", held), ("hosts_known", known),
                    ("hosts_excluded", excluded))
