"""The simulator's wire: decodes events into calls of a Dispatcher and encodes what it returns."""

import re
import traceback

from courseroute.decide import Dispatcher
from courseroute.model.terms import terms_of, truth

US = 1000
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


class Malformed(Exception):
    pass


def fields(line):
    parts = line.split("\t")
    found = {}
    for part in parts[1:]:
        name, eq, value = part.partition("=")
        if not eq:
            raise Malformed(f"a part without '=' in {parts[0]}: {part[:60]!r}")
        found[name] = value
    return parts[0], found


def need(found, name, kind=str):
    try:
        return kind(found[name])
    except KeyError:
        raise Malformed(f"field {name} is missing") from None
    except ValueError:
        raise Malformed(f"field {name} is no {kind.__name__}: {found[name][:60]!r}") from None


def report_of(text):
    if not text or text == "-":
        return None
    values = dict(pair.split(":", 1) for pair in text.split(",") if ":" in pair)
    try:
        return {"left": float(values["x0"]), "limit": float(values["x1"])}
    except (KeyError, ValueError):
        return None


def entry_of(found, listed_rates):
    rate = float(found["power-hint"]) if listed_rates and found.get("power-hint") else None
    return (
        found["host"],
        STATES.get(found.get("state", "1"), "ready"),
        found.get("area", ""),
        rate,
        found.get("type", ""),
        found.get("cell", ""),
    )


def encode(who, action, now):
    what = action[0]
    head = f"\twho={who}"
    if what == "send":
        return f"DISPATCH{head}\thandle={action[1]}\thost={action[2]}\ttry-until={action[3] // US}"
    if what == "wake":
        return f"ARM{head}\tlabel=1\tafter={max(1, -(-action[1] // US))}"
    if what == "push back":
        return f"REJECT{head}\thandle={action[1]}\tretry-after={-(-action[2] // US)}"
    if what == "fail":
        return f"LOSE{head}\thandle={action[1]}"
    if what == "cancel":
        return f"CANCEL{head}\thandle={action[1]}\tn={action[2]}"
    if what == "close":
        return f"CLOSE{head}\thost={action[1]}"
    if what == "watch":
        return f"TAIL{head}\tactive=1"
    if what == "log":
        return f"REMARK{head}\tmessage={action[1]}"
    raise ValueError(f"no wire form for {what!r}")


class Wire:
    def __init__(self, errors):
        self.errors = errors
        self.relays = {}  # who -> (Dispatcher, rates are listed)
        self.sheets = {}
        self.reset()

    def reset(self):
        self.now = 0
        self.replies = []
        self.touched = {}
        self.entries_due = 0
        self.sheet = None

    def read(self, line):
        """Takes one line; returns the reply when the batch is complete."""
        tag, _, rest = line.partition("\t")
        if tag == "CONFIGURE":
            return self.configure(rest)
        tag, found = fields(line)
        if self.entries_due:
            if tag != "ENTRY":
                raise Malformed(f"{tag} where an ENTRY was due")
            need(found, "host")
            self.sheet.append(found)
            self.entries_due -= 1
        elif tag == "BEGIN_BATCH":
            self.reset()
            self.now = need(found, "at-time", int) * US
        elif tag == "YOUR_TURN":
            for who in self.touched:
                self.tell(who, "settle")
            return "".join(reply + "\n" for reply in self.replies) + "OK\n"
        elif tag == "DEFINE_LIST":
            self.sheet = self.sheets[need(found, "sheet", int)] = []
            self.entries_due = need(found, "members-list", int)
        else:
            self.event(tag, found)
        return None

    def configure(self, rest):
        parts = dict(part.split("=", 1) for part in rest.split("\t") if "=" in part)
        who = need(parts, "who", int)
        try:
            terms = terms_of({k[8:] if k.startswith("options=") else k: v for k, v in parts.items()})
            self.relays[who] = (Dispatcher(need(parts, "seed", int), terms), terms["listed_rates"])
        except Malformed:
            raise
        except Exception as cause:
            self.fatal(who, cause)
            return
        self.tell(who, "start")

    def event(self, tag, found):
        if tag not in ("VIEW", "INBOUND", "DROPPED", "FIRED", "DESTROY", "CLOSED_ATTEMPT"):
            return
        who = need(found, "who", int)
        if who not in self.relays:
            return
        if tag == "DESTROY":
            del self.relays[who]
            self.touched.pop(who, None)
        elif tag == "FIRED":
            self.tell(who, "wake")
        elif tag == "INBOUND":
            self.tell(
                who,
                "take",
                need(found, "handle"),
                found.get("destination", ""),
                found.get("lane", ""),
                need(found, "client-deadline", int) * US,
                found.get("entity"),
                found.get("user-group"),
                truth(found.get("is-retry", "0")),
            )
        elif tag == "DROPPED":
            self.tell(who, "withdraw", need(found, "handle"))
        elif tag == "CLOSED_ATTEMPT":
            ending = ENDINGS.get(need(found, "ending"), "reset")
            wait = int(found.get("detail") or 0) * 1000 * US if ending == "full" else 0
            self.tell(
                who,
                "outcome",
                need(found, "handle"),
                need(found, "n", int),
                need(found, "host"),
                ending,
                int(found.get("delay-seen") or 0) * US,
                wait,
                report_of(found.get("usage")),
                truth(found.get("over", "0")),
            )
        else:
            scope = SCOPES.get(need(found, "scope"), "failed")
            listed = self.relays[who][1]
            sheet = [] if scope == "failed" else self.sheets.get(need(found, "sheet", int), [])
            self.tell(who, "roster", scope, [entry_of(entry, listed) for entry in sheet])

    def tell(self, who, what, *told):
        if who not in self.relays:
            return
        self.touched[who] = True
        try:
            actions = getattr(self.relays[who][0], what)(self.now, *told)
            self.replies += [encode(who, action, self.now) for action in actions]
        except Exception as cause:
            self.fatal(who, cause)

    def fatal(self, who, cause):
        traceback.print_exc(file=self.errors)
        text = re.sub(r"\s+", " ", f"{type(cause).__name__}: {cause}")
        self.replies.append(f"FATAL\twho={who}\tmessage={text[:300]}")
        self.relays.pop(who, None)


def serve(source, sink, errors):
    wire = Wire(errors)
    for raw in source:
        line = raw.decode("utf-8", "replace").rstrip("\r\n")
        if not line:
            continue
        try:
            reply = wire.read(line)
        except (Malformed, ValueError, KeyError) as cause:
            print(f"courseroute: malformed line: {cause}", file=errors)
            return 2
        if reply is not None:
            sink.write(reply.encode())
            sink.flush()
    return 0
