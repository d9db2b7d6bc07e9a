"""What became of the messages since the process began, as operators read it.

Each change of a message's state is counted once, where it happens: it enters, and it ends. So of all that
entered, what has not ended is in flight.
"""

import enum


class Outcome(enum.StrEnum):
    """How a message ended."""

    SERVED = "served"  # delivered
    REFUSED = "refused"  # at once, or handed back by a notice
    FAILED = "failed"


# Final states of the tracker; None: withdrawn, as it could not be written. Over: the host said that the
# message is no longer wanted.
OUTCOMES = {
    "delivered": Outcome.SERVED,
    "returned": Outcome.REFUSED,
    None: Outcome.REFUSED,
    "failed": Outcome.FAILED,
    "over": Outcome.FAILED,
}


class Figures:
    """Counts of one process. `lanes`: the names of the message classes that the settings have."""

    def __init__(self, lanes):
        self.ended = {lane: dict.fromkeys(Outcome, 0) for lane in lanes}
        self.entered = 0  # accepted, refused at once, or restored from an earlier process
        self.attempts = 0  # written whole to hosts

    @property
    def in_flight(self):
        return self.entered - sum(sum(counts.values()) for counts in self.ended.values())

    def enter(self):
        """A message is held from now on, or its refusal follows."""
        self.entered += 1

    def end(self, lane, state):
        """A message that had entered has its final state."""
        counts = self.ended.setdefault(lane, dict.fromkeys(Outcome, 0))
        counts[OUTCOMES[state]] += 1

    def refuse(self, lane):
        """A message is refused without having been held."""
        self.enter()
        self.end(lane, "returned")

    def attempt_written(self):
        """The last byte of an attempt was written to its host."""
        self.attempts += 1

    def text(self, in_flight, hosts_known, hosts_excluded):
        """All figures, a line each."""
        values = {
            f"requests.{lane}.{outcome}": count
            for lane, counts in self.ended.items()
            for outcome, count in counts.items()
        }
        values |= {
            "attempts": self.attempts,
            "in_flight": in_flight,
            "hosts_known": hosts_known,
            "hosts_excluded": hosts_excluded,
        }
        return "".join(f"relay.{name}={value}\n" for name, value in values.items())
