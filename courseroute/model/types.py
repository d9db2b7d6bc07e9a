"""Plain records that the decisions keep. Times are whole nanoseconds. No figure or choice stands here."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Lane:
    name: str
    target: int = 0
    deadline: int = 0
    effect: str = "non-retriable"  # retriable, keyed or non-retriable
    group: str = "cell"  # keyed: the hosts that know a repeat: all, zone or cell
    window: int = 0
    value: float = 1.0
    late_value: float = 0.0
    ordered: bool = False
    calls: object = None  # histogram of delivered calls' times


@dataclass(slots=True, eq=False)
class Message:
    name: str
    dst: object
    lane: Lane
    deadline: int
    key: str | None = None
    customer: str | None = None
    again: bool = False
    over_share: bool = False
    seq: int = 0  # its place in booking order
    due: int = 0
    lined: bool = False  # its slot has come, it stands in line
    route: object = None  # where it is booked and held, None else
    sent: int = 0  # legs so far
    out: int = 0  # legs without an outcome
    first: int | None = None  # send time of the first leg that may have run or is out
    ran: bool = False  # some leg's outcome leaves that open
    last_host: object = None
    over: bool = False


@dataclass(slots=True, eq=False)
class Call:
    host: object
    at: int
    size: int = 0
    left: int = 0


@dataclass(slots=True, eq=False)
class Leg:
    msg: Message
    n: int
    host: object
    at: int
    until: int
    call: Call
    first: int | None = None  # dispatch time of the first that may have run, if this repeats it


@dataclass(slots=True, eq=False)
class Host:
    name: str
    index: int
    dst: object
    route: object
    kind: str = ""
    area: str = ""
    rate: float | None = None
    listed: bool = True  # may get new work
    gone: int | None = None  # no more on the list since
    calls: int = 0
    legs: dict = field(default_factory=dict)
    open_call: Call | None = None
    times: object = None  # histogram of delivered calls' times
    heard: int = 0  # last delivered
    evidence: float = 0.0  # of the sequential test
    ill: int | None = None  # first failure since the last delivery
    out: int = 0  # how long its last spell without delivery was
    aside: int = 0  # last set aside at
    rest: int = 0  # nothing is sent before
    trial: bool = False  # returned, but nothing delivered yet
    climb: int | None = None  # climbing since


@dataclass(slots=True, eq=False)
class Route:
    index: int
    dst: object
    per_call: int = 1
    hosts: list = field(default_factory=list)
    second: int = 0  # the cursor: start of the second with room
    used: float = 0.0  # and its bookings
    riders: int = 0  # messages in the last booked call
    wait: int = 0  # told wait's end
    refused: int | None = None  # last refusal; None while nothing binds
    headroom: float = 0.0
    learned: float = 0.0
    reported: float | None = None
    cut: int = 0
    strict: bool = False  # it refused all for a second
    heard: int = 0  # last delivered
    booked: float = 0.0  # headroom under which the held ones were booked
    grown: int = 0
    spent_from: int = 0
    spent: int = 0
    calls: int = 0
    served: object = None
    before: object = None  # deliveries over longer spans
    usual: float = 0.0  # deliveries a second before the last outage
    held: dict = field(default_factory=dict)  # messages booked here and not sent, in booking order
    next: int | None = None  # the soonest slot of those, while one is awaited
    line: list = field(default_factory=list)  # those whose slot has come, a heap by booking order


@dataclass(slots=True, eq=False)
class Destination:
    where: str | None
    routes: list = field(default_factory=list)
    stranded: list = field(default_factory=list)  # messages without a host to book on


@dataclass(slots=True, eq=False)
class Turn:
    """A key's messages in the order taken, and the rest the key must keep."""

    line: deque = field(default_factory=deque)
    rest: int = 0


def parts(thing, names):
    return [getattr(thing, name) for name in names]


def set_parts(thing, names, values):
    for name, value in zip(names, values, strict=False):  # an older life may have told of fewer
        setattr(thing, name, value)
