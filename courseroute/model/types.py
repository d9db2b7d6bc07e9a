"""Records that the dispatcher keeps. Times are in nanoseconds. No constant or decision is defined here."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Lane:
    """A message class and its delivery rules."""

    name: str
    target: int = 0
    deadline: int = 0
    effect: str = "non-retriable"  # retriable, keyed or non-retriable
    group: str = "cell"  # keyed: which hosts recognise a repeated key: all, zone or cell
    window: int = 0
    value: float = 1.0
    late_value: float = 0.0
    ordered: bool = False
    call_durations: object = None  # histogram of delivered calls


@dataclass(slots=True, eq=False)
class Message:
    """An accepted message that has no final answer yet, or still has open attempts."""

    name: str
    destination: object
    lane: Lane
    deadline: int
    key: str | None = None
    customer: str | None = None
    is_retry: bool = False
    over_share: bool = False  # beyond its tenant's quota
    booking_number: int = 0  # position in booking order
    due_at: int = 0
    is_queued: bool = False  # its time has come and it is in the route's queue
    route: object = None  # where it is booked and held, else None
    attempts_made: int = 0
    pending: int = 0  # attempts without an outcome
    first_uncertain_at: int | None = None  # start of the first attempt that may have run or is pending
    may_have_run: bool = False  # the outcome of some attempt does not rule it out
    last_host: object = None
    is_closed: bool = False
    awaits_notice: bool = False  # closed, and its key waits until its notice is accepted


@dataclass(slots=True, eq=False)
class Call:
    """A request to a host that carries one or more messages."""

    host: object
    started_at: int
    message_count: int = 0
    pending: int = 0  # messages without an outcome


@dataclass(slots=True, eq=False)
class Attempt:
    """One try to deliver a message, as part of a call."""

    message: Message
    number: int
    host: object
    started_at: int
    expires_at: int
    call: Call
    first_uncertain_at: int | None = None  # start of the first attempt that may have run, if this repeats it


@dataclass(slots=True, eq=False)
class Host:
    """An endpoint of a destination."""

    name: str
    index: int
    destination: object
    route: object
    kind: str = ""
    area: str = ""
    listed_rate: float | None = None
    listed: bool = True  # may get new messages, as discovery tells
    banned: bool = False  # taken out of service by an operator
    gone_since: int | None = None  # when it left the endpoint list
    active_calls: int = 0
    attempts: dict = field(default_factory=dict)
    open_call: Call | None = None
    durations: object = None  # histogram of delivered calls
    last_delivered_at: int = 0
    evidence: float = 0.0  # sum of the sequential test
    failing_since: int | None = None  # start of the first failure since the last delivery
    outage_length: int = 0  # how long it last went without a delivery
    ejected_at: int = 0  # when it was last ejected
    not_before: int = 0  # nothing is sent before this time
    wakes_at: int = 0  # the not_before for which an event is scheduled
    probing: bool = False  # was ejected and has delivered nothing since
    slow_start_since: int | None = None  # start of the slow start after an outage
    unsolicited_at: int | None = None  # when it last sent bytes that no call asked for
    trust_losses: int = 0  # how often it began to
    clean_rests: int = 0  # of its connections, since then
    delivery_bodies: tuple = ()  # checksums of its latest deliveries, while all of them differ
    answers_alike: bool = False  # it has answered two calls with the same body

    @property
    def accepts_calls(self):
        return self.listed and not self.banned


@dataclass(slots=True, eq=False)
class Route:
    """Hosts that share a send budget and a booking cursor."""

    index: int
    destination: object
    per_call: int = 1
    hosts: list = field(default_factory=list)
    next_second: int = 0  # booking cursor: start of the second that has room
    booked_sends: float = 0.0  # sends booked in that second
    call_messages: int = 0  # messages in the last booked call
    wait_until: int = 0  # end of the wait that the host requested
    refused_at: int | None = None  # last refusal; None while no budget applies
    headroom: float = 0.0  # share of the limit that the budget uses
    learned_rate: float = 0.0
    reported_limit: float | None = None  # by load reports, smoothed
    limit_confirmed: bool = False  # a second report agreed with it
    deviating_limit: float | None = None  # of the last report, if it was far from that limit
    cut_at: int = 0  # last cut of the headroom
    refuses_all: bool = False  # refused everything for a second
    last_delivered_at: int = 0
    booked_headroom: float = 0.0  # headroom under which the held messages were booked
    grown_at: int = 0  # last growth of the headroom
    charged_from: int = 0  # start of the second from which charged_sends counts
    charged_sends: int = 0
    active_calls: int = 0
    recent_deliveries: object = None  # counter over seconds
    usual_deliveries: object = None  # counter over longer spans
    usual_rate: float = 0.0  # deliveries a second before the last outage
    held_messages: dict = field(default_factory=dict)  # booked here and not sent, in booking order
    next_due: int | None = None  # earliest due time of those, while an event for it is scheduled
    queue: list = field(default_factory=list)  # heap by booking order of those that are due


@dataclass(slots=True, eq=False)
class Destination:
    """A group of hosts that can each deliver its messages."""

    name: str | None
    routes: list = field(default_factory=list)
    without_host: list = field(default_factory=list)  # messages without a host to book on


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Messages of one ordering key in order of arrival, and the time before which none may be sent."""

    queue: deque = field(default_factory=deque)
    not_before: int = 0
