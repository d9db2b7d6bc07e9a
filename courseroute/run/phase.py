"""The phases of a relay's process, in the order in which it passes them."""

import enum


class Phase(enum.Enum):
    """What the process does now. `is_ready`: whether it serves, as operators' readiness call reports."""

    STARTING = "starting"  # nothing is open yet but the operators' address
    RECOVERING = "recovering"  # the journal is replayed and its messages are scheduled
    SERVING = "serving"
    LEAVING = "leaving"  # asked to stop: still serves, accepts what can be sent in time
    CLOSING = "closing"  # no new calls; requests in progress are answered
    ENDED = "ended"

    @property
    def is_ready(self):
        return self in (Phase.SERVING, Phase.LEAVING)

    @property
    def holds_nothing(self):
        """Whether the process has accepted nothing yet, so that it may end at once."""
        return self in (Phase.STARTING, Phase.RECOVERING)
