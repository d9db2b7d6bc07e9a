"""Parses and writes the protocol's headers, the endpoint list and load reports."""

import math
import re
from urllib.parse import parse_qsl

from courseroute.wire.http import ProtocolError

UNITS = {"m": 1_000_000, "u": 1000}  # nanoseconds
DURATION = re.compile(r"(\d{1,10}(?:\.\d{1,9})?)([mu])")
STATE_OF_STATUS = {"active": "ready", "leaving": "draining", "left": "gone"}
NOT_PRINTABLE = re.compile(r"[^\x21-\x7e]")
MAX_PORT = 65_535
MAX_FIELD_LENGTH = 256  # characters of an endpoint's name, zone or type; attempts are recorded by name
MAX_REPORT_LENGTH = 512  # characters of a load report; a longer one is not read
# A name is tried only where a word begins: tried at each letter of a long word, it takes time by its square.
REPORT_FIELD = re.compile(r"\b(\w+)\s*=\s*([0-9.eE+-]+)")


def parse_duration(text):
    """Nanoseconds of a duration such as 1500m (milliseconds) or 20u (microseconds); ProtocolError where it is
    none."""
    found = DURATION.fullmatch(text.strip())
    if not found:
        raise ProtocolError(400, "a span is a number and a unit")
    return int(float(found[1]) * UNITS[found[2]])


def format_duration(ns):
    """A duration in whole milliseconds, at least one."""
    return f"{max(1, ns // UNITS['m'])}m"


def lane_of(target):
    """The message class that a request's target names."""
    return target.partition("?")[0].lstrip("/").split("/")[0]


def parse_message(request, lanes, max_length):
    """The fields of the message in a client's request; ProtocolError where one is malformed. `max_length`: of
    names and keys; a longer tenant or ordering key is cut, a longer id or idempotency key refused."""
    query = request.target.partition("?")[2]
    lane = lane_of(request.target)
    headers = request.headers
    if lane not in lanes:
        raise ProtocolError(404, "no such class")
    if request.method != "POST":
        raise ProtocolError(405, "messages are handed in by POST")
    if headers.get("x-class", lane) != lane:
        raise ProtocolError(400, "class and path differ")
    envelope = dict(
        pair.strip().partition("=")[::2] for pair in re.split("[;,]", headers.get("envelope", ""))
    )
    name, destination, idempotency_key = (
        headers.get("x-request-id", ""),
        envelope.get("dest", ""),
        headers.get("idempotency-key", ""),
    )
    if not name or len(name) > max_length or NOT_PRINTABLE.search(name):
        raise ProtocolError(400, "X-Request-Id is missing or odd")
    if not re.fullmatch(r"\d{1,9}", destination):
        raise ProtocolError(400, "Envelope names no destination")
    if len(idempotency_key) > max_length or NOT_PRINTABLE.search(idempotency_key):
        raise ProtocolError(400, "Idempotency-Key is odd")
    return {
        "name": name,
        "dst": str(int(destination)),
        "lane": lane,
        "time_left": parse_duration(headers.get("x-deadline", "")),
        "mark": idempotency_key,
        "customer": headers.get("x-tenant", "")[:max_length],
        "again": "x-retry" in headers,
        "key": dict(parse_qsl(query)).get("subject", "")[:max_length],
        "body": request.body,
    }


def call_headers(msg, time_left):
    """The headers of an attempt's request to its host."""
    headers = [
        ("Host", "origin"),
        ("X-Request-Id", msg.name),
        ("X-Deadline", format_duration(time_left)),
    ]
    return headers + ([("Idempotency-Key", msg.idempotency_key)] if msg.idempotency_key else [])


def classify_answer(status, headers):
    """(ending, wait, whether no further attempt may follow) of a host's answer. `wait`: the delay that the
    host asked for, in nanoseconds."""
    if status == 200:
        return "delivered", 0, True
    if status in (429, 503):
        if headers.get("slots-taken") == "1":
            return "unsent", 0, False
        wait = headers.get("wait-ms", "")
        return "full", int(float(wait) * UNITS["m"]) if re.fullmatch(r"\d{1,9}(\.\d+)?", wait) else 0, False
    if status in (504, 410):
        return "unsent", 0, status == 410
    return "error", 0, False


def parse_load_report(text):
    """The values of a load report, None where it is missing, too long or malformed."""
    if not text or len(text) > MAX_REPORT_LENGTH:
        return None
    found = dict(REPORT_FIELD.findall(text))
    try:
        report = {"left": float(found["x0"]), "limit": float(found["x1"])}
    except (KeyError, ValueError):
        return None
    return report if all(0 <= value < math.inf for value in report.values()) else None


def parse_entry(entry, listed_rates):
    """An endpoint of discovery's list as (name, state, zone, rate, kind, destination). The rate is its
    weight, None unless `listed_rates`. Raises TypeError or ValueError where a field is of another type."""
    rate = float(entry.get("weight") or 0) if listed_rates else None
    return (
        required_text(entry["name"]),
        STATE_OF_STATUS.get(entry.get("status"), "draining"),
        text_or_empty(entry.get("zone")),
        rate,
        text_or_empty(entry.get("type")),
        str(entry.get("group", "")),
    )


def required_text(value):
    """A text that is not empty and of at most MAX_FIELD_LENGTH characters; TypeError for anything else."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_FIELD_LENGTH:
        raise TypeError(f"a text: {value!r:.40}")
    return value


def text_or_empty(value):
    """A text as above, "" where it is missing or empty; TypeError for anything else."""
    return "" if value is None or value == "" else required_text(value)


def parse_endpoint_list(answer, listed_rates):
    """(index, scope, entries, addresses) of discovery's list; raises ValueError where it is malformed."""
    try:
        entries = [parse_entry(entry, listed_rates) for entry in answer["endpoints"]]
        addresses = {
            entry["name"]: parse_address(entry["address"])
            for entry in answer["endpoints"]
            if entry.get("address")
        }
        return int(answer["index"]), "full" if answer.get("snapshot") else "changes", entries, addresses
    except (KeyError, TypeError, AttributeError, OverflowError) as cause:
        raise ValueError(f"a list without {cause}") from None


def parse_address(address):
    """(host, port) of an address "host:port"; ValueError where the port is none."""
    host, _, port = address.rpartition(":")
    if not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port[:20]}")
    return host, int(port)
