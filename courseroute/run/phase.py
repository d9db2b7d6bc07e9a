"""The phases of a relay's process, in the order in which it passes them."""

import enum


class Phase(enum.Enum):
    """What the process does now. `is_ready`: whether it serves, as operators' readiness call reports."""

    STARTING = "starting"  # nothing is open yet but the operators' address
    WAITING = "waiting"  # another process uses the folder, this one is ready to take it over
    RECOVERING = "recovering"  # the journal is replayed and its messages are scheduled
    SERVING = "serving"
    LEAVING = "leaving"  # asked to stop: still serves, accepts what can be sent in time
    HANDING_OVER = "handing over"  # a successor waits: nothing more is sent, calls that are out return
    HANDED_OVER = "handed over"  # the successor has the folder; requests that were read in part are answered
    CLOSING = "closing"  # no new calls; requests in progress are answered
    ENDED = "ended"

    @property
    def is_ready(self):
        return self in (Phase.WAITING, Phase.SERVING, Phase.LEAVING, Phase.HANDING_OVER)

    @property
    def holds_nothing(self):
        """Whether the process has accepted nothing yet, so that it may end at once."""
        return self in (Phase.STARTING, Phase.WAITING, Phase.RECOVERING)
