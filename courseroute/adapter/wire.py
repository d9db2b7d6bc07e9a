"""The simulator's protocol: decodes events into calls of a Dispatcher and encodes the actions it returns."""

import re
import traceback

from courseroute.decide import Dispatcher
from courseroute.model.terms import parse_bool, parse_settings

NS_PER_US = 1000
ENDINGS = {
    "delivered": "delivered",
    "app_error": "error",
    "shed": "full",
    "expired": "timeout",
    "dial_failed": "unreachable",
    "dropped": "reset",
    "revoked": "cancelled",
    "unused": "unsent",
}
STATES = {"0": "draining", "1": "ready", "2": "gone"}
SCOPES = {"0": "changes", "1": "full", "2": "saved", "3": "failed"}


class MalformedLine(Exception):
    """A line that does not follow the protocol."""


def parse_fields(line):
    """Splits a line into its tag and a map of its fields."""
    parts = line.split("\t")
    found = {}
    for part in parts[1:]:
        name, eq, value = part.partition("=")
        if not eq:
            raise MalformedLine(f"field without '=' in {parts[0]}: {part[:60]!r}")
        found[name] = value
    return parts[0], found


def required_field(found, name, convert=str):
    """The converted value of a field; MalformedLine if it is missing or invalid."""
    try:
        return convert(found[name])
    except KeyError:
        raise MalformedLine(f"field {name} is missing") from None
    except ValueError:
        raise MalformedLine(f"field {name} is not of type {convert.__name__}: {found[name][:60]!r}") from None


def parse_report(text):
    """A host's load report; None if it is absent or incomplete."""
    if not text or text == "-":
        return None
    values = dict(pair.split(":", 1) for pair in text.split(",") if ":" in pair)
    try:
        return {"left": float(values["x0"]), "limit": float(values["x1"])}
    except (KeyError, ValueError):
        return None


def parse_entry(found, listed_rates):
    """An entry of the endpoint list as the dispatcher takes it."""
    rate = float(found["power-hint"]) if listed_rates and found.get("power-hint") else None
    return (
        found["host"],
        STATES.get(found.get("state", "1"), "ready"),
        found.get("area", ""),
        rate,
        found.get("type", ""),
        found.get("cell", ""),
    )


def encode_action(relay_id, action, now):
    """The line for an action; times are in microseconds, rounded up where they are delays."""
    kind = action[0]
    head = f"\twho={relay_id}"
    if kind == "send":
        return f"DISPATCH{head}\thandle={action[1]}\thost={action[2]}\ttry-until={action[3] // NS_PER_US}"
    if kind == "wake":
        return f"ARM{head}\tlabel=1\tafter={max(1, -(-action[1] // NS_PER_US))}"
    if kind == "push back":
        return f"REJECT{head}\thandle={action[1]}\tretry-after={-(-action[2] // NS_PER_US)}"
    if kind == "fail":
        return f"LOSE{head}\thandle={action[1]}"
    if kind == "cancel":
        return f"CANCEL{head}\thandle={action[1]}\tn={action[2]}"
    if kind == "close":
        return f"CLOSE{head}\thost={action[1]}"
    if kind == "watch":
        return f"TAIL{head}\tactive=1"
    if kind == "log":
        return f"REMARK{head}\tmessage={action[1]}"
    raise ValueError(f"no wire form for {kind!r}")


class SimulatorAdapter:
    def __init__(self, errors):
        self.errors = errors
        self.relays = {}  # relay id -> (Dispatcher, whether rates are listed)
        self.endpoint_lists = {}
        self.reset()

    def reset(self):
        self.now = 0
        self.replies = []
        self.active_relays = {}
        self.missing_entries = 0
        self.current_list = None

    def read_line(self, line):
        """Handles one line; returns the reply if the line completes a batch, else None."""
        tag, _, rest = line.partition("\t")
        if tag == "CONFIGURE":
            return self.configure(rest)
        tag, found = parse_fields(line)
        if self.missing_entries:
            if tag != "ENTRY":
                raise MalformedLine(f"{tag} where an ENTRY was expected")
            required_field(found, "host")
            self.current_list.append(found)
            self.missing_entries -= 1
        elif tag == "BEGIN_BATCH":
            self.reset()
            self.now = required_field(found, "at-time", int) * NS_PER_US
        elif tag == "YOUR_TURN":
            for relay_id in self.active_relays:
                self.notify_dispatcher(relay_id, "end_batch")
            return "".join(reply + "\n" for reply in self.replies) + "OK\n"
        elif tag == "DEFINE_LIST":
            self.current_list = self.endpoint_lists[required_field(found, "sheet", int)] = []
            self.missing_entries = required_field(found, "members-list", int)
        else:
            self.handle_event(tag, found)
        return None

    def configure(self, rest):
        parts = dict(part.split("=", 1) for part in rest.split("\t") if "=" in part)
        relay_id = required_field(parts, "who", int)
        try:
            terms = parse_settings({k[8:] if k.startswith("options=") else k: v for k, v in parts.items()})
            self.relays[relay_id] = (
                Dispatcher(required_field(parts, "seed", int), terms),
                terms["listed_rates"],
            )
        except MalformedLine:
            raise
        except Exception as cause:
            self.report_fatal(relay_id, cause)
            return
        self.notify_dispatcher(relay_id, "start")

    def handle_event(self, tag, found):
        if tag not in ("VIEW", "INBOUND", "DROPPED", "FIRED", "DESTROY", "CLOSED_ATTEMPT"):
            return
        relay_id = required_field(found, "who", int)
        if relay_id not in self.relays:
            return
        if tag == "DESTROY":
            del self.relays[relay_id]
            self.active_relays.pop(relay_id, None)
        elif tag == "FIRED":
            self.notify_dispatcher(relay_id, "wake")
        elif tag == "INBOUND":
            self.notify_dispatcher(
                relay_id,
                "accept",
                required_field(found, "handle"),
                found.get("destination", ""),
                found.get("lane", ""),
                required_field(found, "client-deadline", int) * NS_PER_US,
                found.get("entity"),
                found.get("user-group"),
                parse_bool(found.get("is-retry", "0")),
            )
        elif tag == "DROPPED":
            self.notify_dispatcher(relay_id, "withdraw", required_field(found, "handle"))
        elif tag == "CLOSED_ATTEMPT":
            ending = ENDINGS.get(required_field(found, "ending"), "reset")
            wait = int(found.get("detail") or 0) * 1000 * NS_PER_US if ending == "full" else 0
            self.notify_dispatcher(
                relay_id,
                "attempt_ended",
                required_field(found, "handle"),
                required_field(found, "n", int),
                required_field(found, "host"),
                ending,
                int(found.get("delay-seen") or 0) * NS_PER_US,
                wait,
                parse_report(found.get("usage")),
                parse_bool(found.get("over", "0")),
            )
        else:
            scope = SCOPES.get(required_field(found, "scope"), "failed")
            listed = self.relays[relay_id][1]
            entries = (
                [] if scope == "failed" else self.endpoint_lists.get(required_field(found, "sheet", int), [])
            )
            self.notify_dispatcher(
                relay_id, "update_endpoints", scope, [parse_entry(entry, listed) for entry in entries]
            )

    def notify_dispatcher(self, relay_id, method, *arguments):
        if relay_id not in self.relays:
            return
        self.active_relays[relay_id] = True
        try:
            actions = getattr(self.relays[relay_id][0], method)(self.now, *arguments)
            self.replies += [encode_action(relay_id, action, self.now) for action in actions]
        except Exception as cause:
            self.report_fatal(relay_id, cause)

    def report_fatal(self, relay_id, cause):
        traceback.print_exc(file=self.errors)
        text = re.sub(r"\s+", " ", f"{type(cause).__name__}: {cause}")
        self.replies.append(f"FATAL\twho={relay_id}\tmessage={text[:300]}")
        self.relays.pop(relay_id, None)


def serve(source, sink, errors):
    """Answers batches until the input ends. Returns the exit status: 2 after a malformed line, else 0."""
    adapter = SimulatorAdapter(errors)
    for raw in source:
        line = raw.decode("utf-8", "replace").rstrip("\r\n")
        if not line:
            continue
        try:
            reply = adapter.read_line(line)
        except (MalformedLine, ValueError, KeyError) as cause:
            print(f"courseroute: malformed line: {cause}", file=errors)
            return 2
        if reply is not None:
            sink.write(reply.encode())
            sink.flush()
    return 0
