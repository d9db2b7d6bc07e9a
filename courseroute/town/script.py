"""A town's day: the TOML file's form, its faults resolved to times, its arrivals drawn from the seed.

No socket and no clock: the same file gives the same arrivals and faults, byte for byte, on any machine.
"""

import os
from fnmatch import fnmatchcase
from typing import Annotated, Literal, NamedTuple

import msgspec
import numpy as np

from courseroute.checked import Bad, Count, Form, Mistake, Positive, Share, Span, made, read, span
from courseroute.run.setup import KindTerms, LaneTerms, Log, Rules, Sending

S = 1_000_000_000
AT_HOSTS = {
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
IN_PROCESS = {"system-calls", "held-up", "disk-errors", "clock-step"}  # of a relay: town/shims cause them
AT_RELAYS = IN_PROCESS | {
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
AT_PLATFORM = {
    "directory-down",
    "directory-late",
    "directory-crowded",
    "watches-silent",
    "notices-down",
    "notices-unanswered",
}
IN_TRAFFIC = {"burst", "hot", "hot-client"}
KINDS = AT_HOSTS | AT_RELAYS | AT_PLATFORM | IN_TRAFFIC
# Of drawn faults: `by` in nanoseconds, the least and the most, and the share of calls that they strike.
DRAWN_BY = {
    "answer-copied": (0, 20_000_000),
    "requests-late": (100_000_000, 350_000_000),
    "held-up": (20_000_000, 150_000_000),
    "clock-step": (S, 3600 * S),
}
DRAWN_SHARE = {"system-calls": 0.01, "held-up": 0.01, "requests-late": 0.5, "notices-unanswered": 0.3}
DRAWN_FACTOR = {"slow": 5.0, "burst": 3.0, "limit": 0.5}
OUTAGES = {"refuse", "silent", "hang", "reset-before", "shut"}  # after these a destination is cold
# These have no length.
MOMENTS = {
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
Kind = Literal[tuple(sorted(KINDS))]


class Relays(Form, kw_only=True):
    """The relays, and what each may use."""

    count: Annotated[int, msgspec.Meta(ge=1, le=32)] = 1
    memory_mb: Count = 192
    descriptors: Annotated[int, msgspec.Meta(ge=16)] = 512
    disk_mb: Positive = 16.0
    noticed_after: Span = "1.5s"  # the front goes on with a dead relay for so long


class Partner(Form, kw_only=True):
    """One destination, or `count` alike: its hosts and what they can do."""

    count: Count = 1
    hosts: Count = 1
    kind: str = "plain"
    areas: list[str] = msgspec.field(default_factory=lambda: ["a"])  # hosts in turn
    pace: Span = "40ms"  # median service time
    spread: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.3  # sigma of its logarithm
    concurrency: Count = 8  # calls a host serves at once
    queue: Annotated[int, msgspec.Meta(ge=0)] = 16
    connections: Count = 64  # a host holds; more are refused
    idle_close: Span = "10s"
    handshake: Span = "0ms"  # the first call of a connection waits so long
    limit: Positive | None = None  # calls a second, all relays together
    window: Span = "1s"  # over which the limit counts
    aligned: bool = False  # windows begin at whole multiples; else the last `window` counts
    refused_count: bool = False  # refused calls use the limit up
    wait: Span | None = None  # told with a refusal
    reports: bool = False  # answers tell the limit and what is left
    remembers: Span = "5s"  # a repeated key is dropped for so long
    stays_down: Span = "10s"  # pushed over when cold, it refuses all for so long
    share: Positive = 1.0  # of the traffic, against the others


class Traffic(Form, kw_only=True):
    rate: Positive = 20.0  # messages a second
    arrivals: Literal["poisson", "even"] = "poisson"
    lanes: dict[str, Positive]  # share of each lane
    body: Annotated[int, msgspec.Meta(ge=0, le=65536)] = 200
    customers: Count = 4  # c0, c1, ...
    keys: Count = 50  # of ordered lanes
    answer_within: Span = "400ms"  # a client hands in again after that
    again: Annotated[int, msgspec.Meta(ge=0)] = 4  # times a message is handed in again
    connections: Annotated[int, msgspec.Meta(ge=1, le=256)] = 32  # a client process keeps to each relay


class Fault(Form, kw_only=True):
    kind: Kind
    at: Span
    lasts: Span | None = None
    where: str = "*"  # destination, host (destination.host) or relay (n0); * and ? stand for any
    share: Share = 1.0  # of the calls it strikes
    factor: Positive = 1.0  # slow, burst: so many times; limit: the true limit becomes that share
    told: Positive | None = None  # limit: reports tell that share of the true limit
    ran: bool | None = None  # reset-after, errors: whether the message has run; else drawn
    by: Span = "1s"  # directory-late: each answer; directory-crowded: what a call anew takes;
    # answer-copied: how long behind an answer it is written again; requests-late: on their way at the most;
    # held-up: a call at the most; clock-step: the wall clock
    back: bool = False  # clock-step: backwards

    def faults(self):
        if self.kind not in MOMENTS and self.lasts is None:
            yield "lasts", "nothing", f"a span: a {self.kind} begins and ends"
        if self.kind in ("slow", "burst") and self.factor == 1.0:
            yield "factor", "1.0", f"a number other than 1, as nothing would be {self.kind}"
        if self.kind == "limit" and self.factor == 1.0 and self.told is None:
            yield "factor", "1.0", "another factor, or `told`, as nothing would change"


class Draw(Form, kw_only=True):
    """Faults drawn from the seed, beside those that are written."""

    kinds: list[Kind]
    every: Span = "4s"
    lasts: Span = "2s"
    since: Span = "2s"


class Day(Form, kw_only=True):
    about: str = ""
    seed: int = 1
    lasts: Span = "20s"
    workers: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1  # processes of partners and clients
    relays: Relays = msgspec.field(default_factory=Relays)
    partners: dict[str, Partner]
    traffic: Traffic
    lanes: dict[str, LaneTerms]
    quotas: dict[str, Positive] = {}  # customer -> messages a second that are its share
    kinds: dict[str, KindTerms] = msgspec.field(default_factory=lambda: {"plain": KindTerms()})
    rules: Rules = msgspec.field(default_factory=Rules)
    sending: Sending = msgspec.field(default_factory=Sending)
    log: Log = msgspec.field(default_factory=Log)
    faults_drawn: Draw | None = None
    fault: list[Fault] = []

    def faults(self):
        for name in self.traffic.lanes:
            if name not in self.lanes:
                yield f"traffic.lanes.{name}", repr(name), "a lane of the file: " + ", ".join(self.lanes)
        for name, lane in self.lanes.items():
            if lane.deadline is None:
                yield f"lanes.{name}.deadline", "nothing", "a span: the clients' time"
        for name in self.quotas:
            if name not in customers(self):
                yield f"quotas.{name}", repr(name), "a customer: " + ", ".join(customers(self)[:12])
        for name, partner in self.partners.items():
            if partner.kind not in self.kinds:
                allowed = "a kind of the file: " + ", ".join(self.kinds)
                yield f"partners.{name}.kind", repr(partner.kind), allowed
        if not self.partners:
            yield "partners", "none", "one table a partner, as [partners.insurer]"
        relays = [f"n{i}" for i in range(self.relays.count)]
        hosts = [host.name for dst in destinations(self) for host in dst.hosts]
        names = [dst.name for dst in destinations(self)]
        for at, fault in enumerate(self.fault):
            allowed = (
                names + hosts
                if fault.kind in AT_HOSTS
                else relays
                if fault.kind in AT_RELAYS
                else customers(self)
                if fault.kind == "hot-client"
                else names
            )
            anywhere = fault.kind in AT_PLATFORM | {"burst"}
            if not anywhere and not any(fnmatchcase(name, fault.where) for name in allowed):
                yield f"fault[{at}].where", repr(fault.where), "one of " + ", ".join(allowed[:12])
            if span(fault.at) >= span(self.lasts):
                yield f"fault[{at}].at", fault.at, f"before the last arrival, {self.lasts}"


class HostPlace(NamedTuple):
    name: str  # insurer-0.1
    index: int
    area: str


class Place(NamedTuple):
    """A destination with its number on the wire."""

    number: int
    name: str  # insurer-0
    form: Partner
    hosts: tuple


class Strike(NamedTuple):
    """One fault with its times in nanoseconds from the day's start, and the names it strikes."""

    kind: str
    begin: int
    end: int
    names: tuple
    fault: Fault


class Arrival(NamedTuple):
    n: int
    at: int  # nanoseconds from the day's start
    lane: str
    dst: int
    customer: str
    key: str  # of ordered lanes, else ""
    relay: float  # drawn: which relay the front hands it to
    body: int


def load(path, **changed):
    """The Day in a file; Bad with every mistake. `changed` replaces top-level values (seed=3)."""
    told = with_base(str(path), ()) | {name: value for name, value in changed.items() if value is not None}
    return made(told, Day, str(path))


def with_base(path, above):
    """A file's content over that of the file it names as `base`, beside it: tables are merged key by key."""
    told = read(path)
    base = told.pop("base", None)
    if base is None:
        return told
    beside = os.path.join(os.path.dirname(path), str(base))
    if beside in above or not isinstance(base, str):
        raise Bad(path, [Mistake("base", repr(base), "another day's file, which does not lead back here")])
    return merged(with_base(beside, (*above, path, beside)), told)


def merged(under, over):
    if not (isinstance(under, dict) and isinstance(over, dict)):
        return over
    return under | {
        name: merged(under[name], value) if name in under else value for name, value in over.items()
    }


def customers(day):
    return [f"c{i}" for i in range(day.traffic.customers)]


def destinations(day):
    found = []
    for name, form in day.partners.items():
        for i in range(form.count):
            own = f"{name}-{i}"
            hosts = tuple(
                HostPlace(f"{own}.{h}", h, form.areas[h % len(form.areas)]) for h in range(form.hosts)
            )
            found.append(Place(len(found) + 1, own, form, hosts))
    return found


def strikes(day):
    """All faults of the day, those drawn too, in order of their beginning."""
    found = [strike(day, fault) for fault in day.fault]
    if drawn := day.faults_drawn:
        rng = np.random.default_rng([day.seed, 1])
        at = span(drawn.since)
        while at < span(day.lasts):
            kind = str(rng.choice(drawn.kinds))
            names = names_for(day, kind)
            fault = Fault(
                kind=kind,
                at=f"{at}ns",
                where=str(rng.choice(names)) if names else "*",
                lasts=f"{int(span(drawn.lasts) * rng.uniform(0.5, 1.5))}ns",
                by=drawn_by(kind, rng),
                back=bool(kind == "clock-step" and rng.random() < 0.5),
                share=DRAWN_SHARE.get(kind, 1.0),
                factor=DRAWN_FACTOR.get(kind, 1.0),
            )
            found.append(strike(day, fault))
            at += int(span(drawn.every) * rng.uniform(0.5, 1.5))
    return sorted(found, key=lambda one: (one.begin, one.kind, one.names))


def drawn_by(kind, rng):
    """The `by` of a drawn fault."""
    return f"{int(rng.uniform(*DRAWN_BY[kind]))}ns" if kind in DRAWN_BY else "1s"


def names_for(day, kind):
    if kind in AT_RELAYS:
        return [f"n{i}" for i in range(day.relays.count)]
    if kind == "hot-client":
        return customers(day)
    return [] if kind in AT_PLATFORM | {"burst"} else [dst.name for dst in destinations(day)]


def strike(day, fault):
    """Host faults name hosts, whole destinations too (as then all its hosts are struck at once)."""
    begin = span(fault.at)
    end = begin + (span(fault.lasts) if fault.lasts else 0)
    if fault.kind in AT_RELAYS | {"hot-client"}:
        names = [name for name in names_for(day, fault.kind) if fnmatchcase(name, fault.where)]
    elif fault.kind in AT_HOSTS:
        names = [dst.name for dst in destinations(day) if fnmatchcase(dst.name, fault.where)]
        names += [
            host.name
            for dst in destinations(day)
            for host in dst.hosts
            if dst.name in names or fnmatchcase(host.name, fault.where)
        ]
    else:
        names = [dst.name for dst in destinations(day) if fnmatchcase(dst.name, fault.where)]
    return Strike(fault.kind, begin, end, tuple(names), fault)


def arrivals(day):
    """Every message of the day in order of time, drawn from the seed."""
    rng = np.random.default_rng([day.seed, 0])
    places, lanes, clients = destinations(day), list(day.traffic.lanes), customers(day)
    dst_shares = np.array([dst.form.share for dst in places])
    lane_shares = np.array([day.traffic.lanes[name] for name in lanes])
    lane_shares = lane_shares / lane_shares.sum()
    changes = [one for one in strikes(day) if one.kind in IN_TRAFFIC]
    found, at, end = [], 0.0, span(day.lasts)
    while True:
        rate, shares, whose = day.traffic.rate, dst_shares, []
        for one in changes:
            if one.begin <= at < one.end:
                if one.kind == "burst":
                    rate *= one.fault.factor
                elif one.kind == "hot-client":
                    whose = one.names if rng.random() < one.fault.share else []
                else:
                    rows = np.array([dst.name in one.names for dst in places])
                    rest, hot, part = shares * ~rows, shares * rows, min(one.fault.share, 0.9)
                    shares = rest / max(rest.sum(), 1e-9) * (1 - part) + hot / hot.sum() * part
        at += (rng.exponential(1 / rate) if day.traffic.arrivals == "poisson" else 1 / rate) * S
        if at >= end:
            return found
        lane = lanes[int(rng.choice(len(lanes), p=lane_shares))]
        dst = places[int(rng.choice(len(places), p=shares / shares.sum()))].number
        key = f"key-{int(rng.integers(day.traffic.keys))}" if day.lanes[lane].ordered else ""
        whose = whose or clients
        customer = whose[int(rng.integers(len(whose)))]
        found.append(
            Arrival(len(found), int(at), lane, dst, customer, key, float(rng.random()), day.traffic.body)
        )
