"""The settings of a relay: the platform's JSON and an installation's TOML file both become one Setup.

`Setup.terms()` is the plain map of settings that is passed to the dispatcher; settings missing in the file
are absent there. Used by `run.config`; the emulator (`courseroute.emulator`) writes such files for its
relays.
"""

import re
from typing import Annotated, Literal

import msgspec

from courseroute.checked import Count, Form, Place, Positive, Share, Span, span, span_text

SPANS = re.compile(
    r"(target|deadline|window|connect_within|idle_close|stay_away|tick|drain_grace|ask_within|"
    r"cold|fall|turn_gap)"
)
MAX_MEGABYTES, MAX_DESCRIPTORS = 1 << 20, 1 << 20
Seed = Annotated[str, msgspec.Meta(pattern="^[0-9a-fA-F]{0,32}$", description="up to 32 hexadecimal digits")]
Number = Annotated[int, msgspec.Meta(ge=0)]


class Limits(Form, kw_only=True):
    """Resource limits of the relay."""

    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEGABYTES)] = 192
    descriptors: Annotated[int, msgspec.Meta(ge=16, le=MAX_DESCRIPTORS)] = 1024
    disk_mb: Annotated[float, msgspec.Meta(gt=0, le=MAX_MEGABYTES)] = 64.0


class Log(Form, kw_only=True):
    """The event log of the relay."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["json", "console"] = "json"


class Sync(Form, kw_only=True):
    """When the journal is synced to disk, which protects it from power failure; a process crash loses nothing
    in any case."""

    sync: Literal["off", "interval", "each"] = "off"
    every: Span = "50ms"


class Fleet(Form, kw_only=True):
    """The position of this relay among those that share the partners' limits."""

    relays: Count = 1
    number: Number = 0
    area: str = ""

    def faults(self):
        if self.number >= self.relays:
            yield "number", str(self.number), f"0 to {self.relays - 1}, as there are {self.relays} relays"


class Sending(Form, kw_only=True):
    """How messages may be sent."""

    slots: Number | None = None
    room: Number | None = None
    legs: Number | None = None
    cancel: bool | None = None
    copies: bool | None = None
    connect_within: Span | None = None
    idle_close: Span | None = None
    stay_away: Span | None = None
    tick: Span | None = None
    listed_rates: bool = False
    rough: bool = False
    over_share: Share | None = None


class Rules(Form, kw_only=True):
    """Guarantees the relay must meet."""

    drain_grace: Span | None = None
    ask_within: Span | None = None
    cold: Span | None = None
    cold_from: Share | None = None
    overload: Positive | None = None
    fall: Span | None = None
    turn_gap: Span | None = None


class LaneTerms(Form, kw_only=True):
    """The settings of one lane."""

    target: Span | None = None
    deadline: Span | None = None
    effect: Literal["retriable", "keyed", "non-retriable"] = "non-retriable"
    group: Literal["all", "zone", "cell"] | None = None
    window: Span | None = None
    value: float | None = None
    late_value: float | None = None
    ordered: bool | None = None

    def faults(self):
        if self.effect == "keyed" and self.window is None:
            yield "window", "nothing", "a span, as the lane is keyed: how long a partner knows a repeat"


class KindTerms(Form, kw_only=True):
    """The settings of one kind of host."""

    apart: bool = False
    per_call: Count = 1


class Setup(Form, kw_only=True):
    """One relay's configuration."""

    name: str = "relay"
    listen: Place
    directory: Place
    ops: Place | None = None  # for operators; none: off
    state: str
    seed: Seed = ""  # empty: random at each start
    limits: Limits = msgspec.field(default_factory=Limits)
    log: Log = msgspec.field(default_factory=Log)
    journal: Sync = msgspec.field(default_factory=Sync)
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    sending: Sending = msgspec.field(default_factory=Sending)
    rules: Rules = msgspec.field(default_factory=Rules)
    lanes: dict[str, LaneTerms]
    kinds: dict[str, KindTerms] = {}
    customers: dict[str, Annotated[float, msgspec.Meta(ge=0)]] = {}

    def faults(self):
        if not self.lanes:
            yield "lanes", "none", "one table a lane, as [lanes.notice]"

    def terms(self):
        """The dispatcher's settings: durations in whole nanoseconds, missing settings absent."""
        terms = {}
        for part in (self.fleet, self.sending, self.rules):
            terms |= plain(part)
        if not terms["area"]:
            del terms["area"]
        terms["kinds"] = {name: plain(kind) for name, kind in self.kinds.items()}
        terms["customers"] = dict(self.customers)
        terms["lanes"] = {name: plain(lane) for name, lane in self.lanes.items()}
        return terms


def plain(part):
    """A section as a map without missing settings, durations in nanoseconds."""
    return {
        name: span(value) if SPANS.fullmatch(name) else value
        for name, value in msgspec.structs.asdict(part).items()
        if value is not None
    }


def layout_of(terms):
    """A `terms` map (as `model.terms.parse_settings` reads the platform's settings) in the layout of a
    file."""

    def shaped(form, part):
        return {
            name: span_text(value) if SPANS.fullmatch(name) else value
            for name, value in part.items()
            if name in form.__struct_fields__
        }

    parts = (("fleet", Fleet), ("sending", Sending), ("rules", Rules))
    return {
        **{name: shaped(form, terms) for name, form in parts},
        "lanes": {name: shaped(LaneTerms, lane) for name, lane in terms.get("lanes", {}).items()},
        "kinds": {name: shaped(KindTerms, kind) for name, kind in terms.get("kinds", {}).items()},
        "customers": terms.get("customers", {}),
    }
