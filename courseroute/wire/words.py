"""The words of the protocol: what a head's fields say, as the interface has it, and back."""

import math
import re
from urllib.parse import parse_qsl

from courseroute.wire.http import Refused

UNITS = {"m": 1_000_000, "u": 1000}
SPAN = re.compile(r"(\d{1,10}(?:\.\d{1,9})?)([mu])")
STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
ODD = re.compile(r"[^\x21-\x7e]")


def span_of(text):
    found = SPAN.fullmatch(text.strip())
    if not found:
        raise Refused(400, "a span is a number and a unit")
    return int(float(found[1]) * UNITS[found[2]])


def span_text(ns):
    return f"{max(1, ns // UNITS['m'])}m"


def notice_of(request, lanes, longest):
    """What a client hands in, as a plain map; what is odd, or longer than names may be, is refused."""
    path, _, query = request.target.partition("?")
    lane = path.lstrip("/").split("/")[0]
    told = request.headers
    if lane not in lanes:
        raise Refused(404, "no such class")
    if request.method != "POST":
        raise Refused(405, "messages are handed in by POST")
    if told.get("x-class", lane) != lane:
        raise Refused(400, "class and path differ")
    envelope = dict(pair.strip().partition("=")[::2] for pair in re.split("[;,]", told.get("envelope", "")))
    name, dst, key = told.get("x-request-id", ""), envelope.get("dest", ""), told.get("idempotency-key", "")
    if not name or len(name) > longest or ODD.search(name):
        raise Refused(400, "X-Request-Id is missing or odd")
    if not re.fullmatch(r"\d{1,9}", dst):
        raise Refused(400, "Envelope names no destination")
    if len(key) > longest or ODD.search(key):
        raise Refused(400, "Idempotency-Key is odd")
    return {
        "name": name,
        "dst": str(int(dst)),
        "lane": lane,
        "left": span_of(told.get("x-deadline", "")),
        "mark": key,
        "customer": told.get("x-tenant", "")[:longest],
        "again": "x-retry" in told,
        "key": dict(parse_qsl(query)).get("subject", "")[:longest],
        "body": request.body,
    }


def call_head(msg, left):
    headers = [("Host", "origin"), ("X-Request-Id", msg.name), ("X-Deadline", span_text(left))]
    return headers + ([("Idempotency-Key", msg.mark)] if msg.mark else [])


def ending_of(status, headers):
    """(ending, told wait, whether the message is over)"""
    if status == 200:
        return "delivered", 0, True
    if status in (429, 503):
        if headers.get("slots-taken") == "1":
            return "unsent", 0, False
        told = headers.get("wait-ms", "")
        return "full", int(float(told) * UNITS["m"]) if re.fullmatch(r"\d{1,9}(\.\d+)?", told) else 0, False
    if status in (504, 410):
        return "unsent", 0, status == 410
    return "error", 0, False


def report_of(text):
    """A load report's figures, None where there is none."""
    found = dict(re.findall(r"(\w+)\s*=\s*([0-9.eE+-]+)", text or ""))
    try:
        told = {"left": float(found["x0"]), "limit": float(found["x1"])}
    except (KeyError, ValueError):
        return None
    return told if all(0 <= figure < math.inf for figure in told.values()) else None


def entry_of(told, listed_rates):
    rate = float(told.get("weight") or 0) if listed_rates else None
    return (
        told["name"],
        STATES.get(told.get("status"), "draining"),
        told.get("zone", ""),
        rate,
        told.get("type", ""),
        str(told.get("group", "")),
    )


def roster_of(told, listed_rates):
    """(index, scope, entries, addresses) from discovery's list; raises ValueError where it can't be read."""
    try:
        entries = [entry_of(entry, listed_rates) for entry in told["endpoints"]]
        where = {
            entry["name"]: place_of(entry["address"]) for entry in told["endpoints"] if entry.get("address")
        }
        return int(told["index"]), "full" if told.get("snapshot") else "changes", entries, where
    except (KeyError, TypeError, AttributeError) as cause:
        raise ValueError(f"a list without {cause}") from None


def place_of(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
