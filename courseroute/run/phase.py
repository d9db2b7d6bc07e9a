"""The phases of a relay's process, in the order in which it passes them, and what each signal and each drain
call does in each of them."""

import enum


class Phase(enum.Enum):
    """What the process does now. `is_ready`: whether it serves, as operators' readiness call reports."""

    STARTING = "starting"  # nothing is open yet but the operators' address
    WAITING = "waiting"  # another process uses the folder, this one is ready to take it over
    RECOVERING = "recovering"  # the journal is replayed and its messages are scheduled
    SERVING = "serving"
    DRAINING = "draining"  # an operator empties the relay: clients go elsewhere, accepted messages go on
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


class Trigger(enum.Enum):
    """What comes from outside and may change the phase."""

    DRAIN_START = "drain start"
    DRAIN_STOP = "drain stop"
    TERMINATE = "SIGTERM or SIGINT"
    RELOAD = "SIGHUP"


class Reaction(enum.Enum):
    """What the process does at a trigger."""

    DRAIN = "clients are seen off, /ready says no"
    SERVE = "clients are kept again, /ready says yes"
    RECORD = "recorded for the process that serves, or is going to"
    REFUSE = "the call is answered with a no"
    LEAVE = "shut down, or hand over where a successor waits"
    END = "end at once"
    RELOAD = "read the configuration"
    RELOAD_LATER = "read the configuration once it serves"
    NOTHING = "nothing"


R = Reaction
# Phase -> the Reactions to the Triggers, in their order.
REACTIONS = {
    Phase.STARTING: (R.RECORD, R.RECORD, R.END, R.RELOAD_LATER),
    Phase.WAITING: (R.RECORD, R.RECORD, R.END, R.RELOAD_LATER),
    Phase.RECOVERING: (R.RECORD, R.RECORD, R.END, R.RELOAD_LATER),
    Phase.SERVING: (R.DRAIN, R.SERVE, R.LEAVE, R.RELOAD),
    Phase.DRAINING: (R.DRAIN, R.SERVE, R.LEAVE, R.RELOAD),
    Phase.LEAVING: (R.DRAIN, R.REFUSE, R.NOTHING, R.RELOAD),
    Phase.HANDING_OVER: (R.RECORD, R.RECORD, R.NOTHING, R.RELOAD),
    Phase.HANDED_OVER: (R.RECORD, R.RECORD, R.NOTHING, R.RELOAD),
    Phase.CLOSING: (R.REFUSE, R.REFUSE, R.NOTHING, R.RELOAD),
    Phase.ENDED: (R.REFUSE, R.REFUSE, R.NOTHING, R.NOTHING),
}


def reaction_to(trigger, phase):
    """The Reaction to a Trigger in a Phase."""
    return REACTIONS[phase][list(Trigger).index(trigger)]
