"""A day of the emulator: the schema of its TOML file, the schedule of its faults and its generated arrivals.

No socket and no clock: the same file and seed give the same arrivals and faults, byte for byte, on any
machine.
"""

import os
from fnmatch import fnmatchcase
from typing import Annotated, Literal, NamedTuple

import msgspec
import numpy as np

from courseroute.checked import Bad, Count, Form, Mistake, Positive, Share, Span, made, read, span
from courseroute.run.setup import KindTerms, LaneTerms, Log, Rules, Sending

S = 1_000_000_000
HOST_FAULTS = {
    "refuse",
    "silent",
    "hang",
    "reset-before",
    "reset-after",
    "answer-lost",
    "spoilt",
    "slow",
    "errors",
    "shut",
    "drain",
    "leave",
    "replace",
    "pause-reports",
    "limit",
    "answer-copied",
}
PROCESS_FAULTS = {
    "system-calls",
    "held-up",
    "disk-errors",
    "clock-step",
}  # caused in a relay by emulator/shims
RELAY_FAULTS = PROCESS_FAULTS | {
    "kill",
    "restart",
    "restart-in-use",
    "pause",
    "disk-full",
    "wipe",
    "reload",
    "crowd",
    "requests-late",
}
PLATFORM_FAULTS = {
    "directory-down",
    "directory-late",
    "directory-crowded",
    "watches-silent",
    "notices-down",
    "notices-unanswered",
}
TRAFFIC_FAULTS = {"burst", "hot", "hot-client"}
FAULT_KINDS = HOST_FAULTS | RELAY_FAULTS | PLATFORM_FAULTS | TRAFFIC_FAULTS
# Settings of randomly drawn faults, by kind: the range of `by` in nanoseconds, `share` and `factor`.
RANDOM_BY_NS = {
    "answer-copied": (0, 500_000_000),
    "requests-late": (100_000_000, 350_000_000),
    "held-up": (20_000_000, 150_000_000),
    "clock-step": (S, 3600 * S),
}
RANDOM_SHARE = {"system-calls": 0.01, "held-up": 0.01, "requests-late": 0.5, "notices-unanswered": 0.3}
RANDOM_FACTOR = {"slow": 5.0, "burst": 3.0, "limit": 0.5}
OUTAGES = {"refuse", "silent", "hang", "reset-before", "shut"}  # a destination is cold after these
# Faults without a duration.
INSTANT_FAULTS = {
    "kill",
    "restart",
    "restart-in-use",
    "wipe",
    "reload",
    "replace",
    "leave",
    "watches-silent",
    "clock-step",
}
FaultKind = Literal[tuple(sorted(FAULT_KINDS))]


class RelaySettings(Form, kw_only=True):
    """The number of relays and the resource limits of each."""

    count: Annotated[int, msgspec.Meta(ge=1, le=32)] = 1
    memory_mb: Count = 192
    descriptors: Annotated[int, msgspec.Meta(ge=16)] = 512
    disk_mb: Positive = 16.0
    noticed_after: Span = "1.5s"  # clients are still routed to a dead relay for this long


class Partner(Form, kw_only=True):
    """One destination, or `count` equal ones: its hosts and their capacity."""

    count: Count = 1
    hosts: Count = 1
    kind: str = "plain"
    areas: list[str] = msgspec.field(default_factory=lambda: ["a"])  # assigned to the hosts in turn
    pace: Span = "40ms"  # median service time
    spread: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.3  # sigma of the log-normal service time
    concurrency: Count = 8  # calls that a host serves at once
    queue: Annotated[int, msgspec.Meta(ge=0)] = 16  # calls that wait at a host beyond these
    connections: Count = 64  # open connections of a host; further ones are refused
    idle_close: Span = "10s"  # a host closes connections that are idle for this long
    handshake: Span = "0ms"  # extra latency of the first call on a connection
    limit: Positive | None = None  # calls per second, of all relays together
    window: Span = "1s"  # period over which the limit is counted
    aligned: bool = False  # windows begin at whole multiples of `window`; otherwise the window slides
    refused_count: bool = False  # refused calls count against the limit
    wait: Span | None = None  # requested from the caller with a refusal
    reports: bool = False  # answers report the limit and what is left of it
    remembers: Span = "5s"  # repeats of an idempotency key are ignored for this long
    stays_down: Span = "10s"  # overloaded while cold, it refuses all calls for this long
    share: Positive = 1.0  # weight in the traffic, relative to the other destinations


class Traffic(Form, kw_only=True):
    """The load: how many messages arrive, how they are composed and how clients retry."""

    rate: Positive = 20.0  # messages per second
    arrivals: Literal["poisson", "even"] = "poisson"
    lanes: dict[str, Positive]  # weight of each lane
    body: Annotated[int, msgspec.Meta(ge=0, le=65536)] = 200  # bytes
    customers: Count = 4  # c0, c1, ...
    keys: Count = 50  # distinct ordering keys of ordered lanes
    answer_within: Span = "400ms"  # a client retries after that
    again: Annotated[int, msgspec.Meta(ge=0)] = 4  # retries of a message
    connections: Annotated[int, msgspec.Meta(ge=1, le=256)] = (
        32  # at most, from a client process to each relay
    )


class Fault(Form, kw_only=True):
    """One fault: its kind, its time and what it affects."""

    kind: FaultKind
    at: Span
    lasts: Span | None = None
    where: str = "*"  # pattern for destinations, hosts (destination.host) or relays (n0); * and ? match any
    share: Share = 1.0  # of the calls that are affected
    factor: Positive = 1.0  # slow, burst: multiplies; limit: the true limit becomes that share of itself
    told: Positive | None = None  # limit: reports tell that share of the true limit
    ran: bool | None = None  # reset-after, errors: whether the message is executed; drawn if absent
    # directory-late: delay of each answer; directory-crowded: duration of each new call; answer-copied: delay
    # of the duplicate after the answer; requests-late: longest time in transit; held-up: longest delay of a
    # system call; clock-step: step of the wall clock
    by: Span = "1s"
    back: bool = False  # clock-step: steps backwards

    def faults(self):
        if self.kind not in INSTANT_FAULTS and self.lasts is None:
            yield "lasts", "nothing", f"a span: the duration of {self.kind}"
        if self.kind in ("slow", "burst") and self.factor == 1.0:
            yield "factor", "1.0", f"a number other than 1; with 1, {self.kind} has no effect"
        if self.kind == "limit" and self.factor == 1.0 and self.told is None:
            yield "factor", "1.0", "a number other than 1, or `told`; otherwise the fault has no effect"


class RandomFaults(Form, kw_only=True):
    """Faults generated from the seed, in addition to those listed. Intervals and durations vary by half."""

    kinds: list[FaultKind]  # one that is listed twice is drawn twice as often
    every: Span = "4s"  # mean interval
    lasts: Span = "2s"  # mean duration
    since: Span = "2s"  # time of the first one


class Day(Form, kw_only=True):
    """The whole file of a day."""

    about: str = ""
    seed: int = 1
    lasts: Span = "20s"  # until the last arrival
    workers: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1  # processes that run the partners and clients
    relays: RelaySettings = msgspec.field(default_factory=RelaySettings)
    partners: dict[str, Partner]
    traffic: Traffic
    lanes: dict[str, LaneTerms]
    quotas: dict[str, Positive] = {}  # customer -> messages per second
    kinds: dict[str, KindTerms] = msgspec.field(default_factory=lambda: {"plain": KindTerms()})
    rules: Rules = msgspec.field(default_factory=Rules)
    sending: Sending = msgspec.field(default_factory=Sending)
    log: Log = msgspec.field(default_factory=Log)
    faults_drawn: RandomFaults | None = None
    fault: list[Fault] = []

    def faults(self):
        for name in self.traffic.lanes:
            if name not in self.lanes:
                yield f"traffic.lanes.{name}", repr(name), "a lane of the file: " + ", ".join(self.lanes)
        for name, lane in self.lanes.items():
            if lane.deadline is None:
                yield f"lanes.{name}.deadline", "nothing", "a span: the time that clients allow"
        for name in self.quotas:
            if name not in customers(self):
                yield f"quotas.{name}", repr(name), "a customer: " + ", ".join(customers(self)[:12])
        for name, partner in self.partners.items():
            if partner.kind not in self.kinds:
                allowed = "a kind of the file: " + ", ".join(self.kinds)
                yield f"partners.{name}.kind", repr(partner.kind), allowed
        if not self.partners:
            yield "partners", "none", "one table for each partner, such as [partners.insurer]"
        relays = [f"n{i}" for i in range(self.relays.count)]
        hosts = [host.name for dst in destinations(self) for host in dst.hosts]
        names = [dst.name for dst in destinations(self)]
        for at, fault in enumerate(self.fault):
            allowed = (
                names + hosts
                if fault.kind in HOST_FAULTS
                else relays
                if fault.kind in RELAY_FAULTS
                else customers(self)
                if fault.kind == "hot-client"
                else names
            )
            anywhere = fault.kind in PLATFORM_FAULTS | {"burst"}
            if not anywhere and not any(fnmatchcase(name, fault.where) for name in allowed):
                yield f"fault[{at}].where", repr(fault.where), "one of " + ", ".join(allowed[:12])
            if span(fault.at) >= span(self.lasts):
                yield f"fault[{at}].at", fault.at, f"a time before the last arrival, {self.lasts}"


class HostSpec(NamedTuple):
    """One host of a destination."""

    name: str  # insurer-0.1
    index: int
    area: str


class Destination(NamedTuple):
    """One destination, its number on the wire, its settings and its hosts."""

    number: int
    name: str  # insurer-0
    form: Partner
    hosts: tuple


class ScheduledFault(NamedTuple):
    """One scheduled fault: its times in nanoseconds from the day's start and the names of what it affects."""

    kind: str
    begin: int
    end: int
    targets: tuple
    fault: Fault


class Arrival(NamedTuple):
    """One message that a client submits."""

    n: int  # its number in the day, from 0
    at: int  # nanoseconds from the day's start
    lane: str
    dst: int  # number of the destination
    customer: str
    key: str  # ordering key, empty unless the lane is ordered
    relay: float  # random number in [0, 1) that selects the relay
    body: int  # bytes


def load(path, **changed):
    """The Day in a file. `changed` replaces top-level values (seed=3). Raises Bad with every mistake."""
    content = load_with_base(str(path), ()) | {
        name: value for name, value in changed.items() if value is not None
    }
    return made(content, Day, str(path))


def load_with_base(path, descendants):
    """The content of a file merged over that of its `base`, a file in the same folder. Tables are merged key
    by key. `descendants` are the files that lead here by their `base`, to detect a cycle."""
    content = read(path)
    base = content.pop("base", None)
    if base is None:
        return content
    base_path = os.path.join(os.path.dirname(path), str(base))
    if base_path in descendants or not isinstance(base, str):
        raise Bad(
            path, [Mistake("base", repr(base), "another day's file that does not refer back to this one")]
        )
    return merge(load_with_base(base_path, (*descendants, path, base_path)), content)


def merge(base, override):
    """`override` over `base`; where both are maps, key by key."""
    if not (isinstance(base, dict) and isinstance(override, dict)):
        return override
    return base | {
        name: merge(base[name], value) if name in base else value for name, value in override.items()
    }


def customers(day):
    """The names of all customers."""
    return [f"c{i}" for i in range(day.traffic.customers)]


def destinations(day):
    """All destinations with their hosts, numbered from 1 in the file's order."""
    result = []
    for name, form in day.partners.items():
        for i in range(form.count):
            own_name = f"{name}-{i}"
            hosts = tuple(
                HostSpec(f"{own_name}.{h}", h, form.areas[h % len(form.areas)]) for h in range(form.hosts)
            )
            result.append(Destination(len(result) + 1, own_name, form, hosts))
    return result


def scheduled_faults(day):
    """All faults of the day, listed and random ones, in order of their beginning."""
    result = [schedule(day, fault) for fault in day.fault]
    if drawn := day.faults_drawn:
        rng = np.random.default_rng([day.seed, 1])
        at = span(drawn.since)
        while at < span(day.lasts):
            kind = str(rng.choice(drawn.kinds))
            names = target_names(day, kind)
            fault = Fault(
                kind=kind,
                at=f"{at}ns",
                where=str(rng.choice(names)) if names else "*",
                lasts=f"{int(span(drawn.lasts) * rng.uniform(0.5, 1.5))}ns",
                by=random_by(kind, rng),
                back=bool(kind == "clock-step" and rng.random() < 0.5),
                share=RANDOM_SHARE.get(kind, 1.0),
                factor=RANDOM_FACTOR.get(kind, 1.0),
            )
            result.append(schedule(day, fault))
            at += int(span(drawn.every) * rng.uniform(0.5, 1.5))
    return sorted(result, key=lambda one: (one.begin, one.kind, one.targets))


def random_by(kind, rng):
    """The value of `by` of a random fault."""
    return f"{int(rng.uniform(*RANDOM_BY_NS[kind]))}ns" if kind in RANDOM_BY_NS else "1s"


def target_names(day, kind):
    """What a random fault of that kind may affect; empty where it names no target."""
    if kind in RELAY_FAULTS:
        return [f"n{i}" for i in range(day.relays.count)]
    if kind == "hot-client":
        return customers(day)
    return [] if kind in PLATFORM_FAULTS | {"burst"} else [dst.name for dst in destinations(day)]


def schedule(day, fault):
    """The ScheduledFault of a fault. A host fault names hosts; and destinations, if it affects all of their
    hosts."""
    begin = span(fault.at)
    end = begin + (span(fault.lasts) if fault.lasts else 0)
    if fault.kind in RELAY_FAULTS | {"hot-client"}:
        names = [name for name in target_names(day, fault.kind) if fnmatchcase(name, fault.where)]
    elif fault.kind in HOST_FAULTS:
        names = [dst.name for dst in destinations(day) if fnmatchcase(dst.name, fault.where)]
        names += [
            host.name
            for dst in destinations(day)
            for host in dst.hosts
            if dst.name in names or fnmatchcase(host.name, fault.where)
        ]
    else:
        names = [dst.name for dst in destinations(day) if fnmatchcase(dst.name, fault.where)]
    return ScheduledFault(fault.kind, begin, end, tuple(names), fault)


def arrivals(day):
    """Every message of the day in order of time, generated from the seed."""
    rng = np.random.default_rng([day.seed, 0])
    all_destinations, lanes, all_customers = destinations(day), list(day.traffic.lanes), customers(day)
    dst_shares = np.array([dst.form.share for dst in all_destinations])
    lane_shares = np.array([day.traffic.lanes[name] for name in lanes])
    lane_shares = lane_shares / lane_shares.sum()
    traffic_faults = [scheduled for scheduled in scheduled_faults(day) if scheduled.kind in TRAFFIC_FAULTS]
    result, at, end = [], 0.0, span(day.lasts)
    while True:
        rate, shares, senders = day.traffic.rate, dst_shares, []
        for scheduled in traffic_faults:
            if scheduled.begin <= at < scheduled.end:
                if scheduled.kind == "burst":
                    rate *= scheduled.fault.factor
                elif scheduled.kind == "hot-client":
                    senders = scheduled.targets if rng.random() < scheduled.fault.share else []
                else:
                    is_hot = np.array([dst.name in scheduled.targets for dst in all_destinations])
                    others, hot, hot_share = (
                        shares * ~is_hot,
                        shares * is_hot,
                        min(scheduled.fault.share, 0.9),
                    )
                    shares = others / max(others.sum(), 1e-9) * (1 - hot_share) + hot / hot.sum() * hot_share
        at += (rng.exponential(1 / rate) if day.traffic.arrivals == "poisson" else 1 / rate) * S
        if at >= end:
            return result
        lane = lanes[int(rng.choice(len(lanes), p=lane_shares))]
        dst = all_destinations[int(rng.choice(len(all_destinations), p=shares / shares.sum()))].number
        key = f"key-{int(rng.integers(day.traffic.keys))}" if day.lanes[lane].ordered else ""
        senders = senders or all_customers
        customer = senders[int(rng.integers(len(senders)))]
        result.append(
            Arrival(len(result), int(at), lane, dst, customer, key, float(rng.random()), day.traffic.body)
        )
