"""Reads a relay's configuration: the platform's JSON, or the TOML file of a separate installation.

Both produce the same validated `Setup`. Invalid input raises `Bad` with one line per mistake.
"""

import os
import random
import time

import msgspec
import orjson

from courseroute.checked import Bad, Mistake, made, span
from courseroute.checked import read as read_toml
from courseroute.model.terms import flatten_settings, parse_settings
from courseroute.run.setup import MAX_DESCRIPTORS, Setup, layout_of
from courseroute.wire.protocol import parse_address

NOTIFIED_WITHIN = 6 * 10**9  # ns until changes known to discovery count as received, despite failures
MOVED_NOTIFIED_WITHIN = 4 * 10**9  # the same, after a SIGHUP that changes the discovery address
PLATFORM = {
    "listen": "ROUTER_LISTEN",
    "directory": "ROUTER_DISCOVERY",
    "state": "ROUTER_STATE",
    "name": "ROUTER_NAME",
    "ops": "ROUTER_OPS",
}
UNREADABLE_FOR_S, READ_INTERVAL_S = 3.0, 0.1  # a new process has to be ready within 6 s
INHERITED_SOCKET = "ROUTER_SOCKET_FD"  # number of the descriptor on which clients connect


class Unreadable(Bad):
    """The file is missing or no JSON: it may be about to be written."""


def read_patiently(environ=os.environ):
    """Like `read`; a file that is unreadable is tried again for a while."""
    end = time.monotonic() + UNREADABLE_FOR_S
    while True:
        try:
            return read(environ)
        except Unreadable:
            if time.monotonic() >= end:
                raise
        time.sleep(READ_INTERVAL_S)


def read(environ=os.environ):
    """The relay's settings as a plain map (see `figures`), from the file that ROUTER_CONFIG names."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise Bad("ROUTER_CONFIG", [Mistake("", "no such variable", "the path of a configuration file")])
    is_toml = path.endswith(".toml")
    settings = figures(made(read_toml(path), Setup, path)) if is_toml else read_platform(path, environ)
    return settings | {"descriptor": parse_descriptor(environ.get(INHERITED_SOCKET, ""))}


def parse_descriptor(text):
    """The number of an inherited descriptor; None where there is none."""
    if not text:
        return None
    if not text.isdecimal() or int(text) > MAX_DESCRIPTORS:
        raise Bad(INHERITED_SOCKET, [Mistake("", text[:20], "the number of a descriptor")])
    return int(text)


def read_platform(path, environ):
    """The settings from the platform's JSON file; names and addresses missing there come from `environ`."""
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except (OSError, ValueError) as cause:
        found = getattr(cause, "strerror", None) or str(cause)
        raise Unreadable(path, [Mistake("", found, "a JSON file")]) from None
    if not isinstance(document, dict):
        raise Bad(path, [Mistake("", type(document).__name__, "a JSON object")])
    named = {
        name: document.get("discovery" if name == "directory" else name) or environ.get(variable)
        for name, variable in PLATFORM.items()
    }
    named["state"] = environ.get("ROUTER_STATE")
    limits = document.get("limits") or {}
    shape = {name: value for name, value in named.items() if value is not None}
    try:
        shape |= layout_of(parse_settings(flatten_settings(document.get("settings", {}))))
        shape |= {
            "seed": str(document.get("seed", "0")),
            "limits": {
                "memory_mb": int(limits["memory_mb"]),
                "descriptors": int(limits["sockets"]),
                "disk_mb": float(limits["disk_mb"]),
            },
        }
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as cause:
        mistake = Mistake("settings or limits", repr(cause), "the settings and limits of the protocol page")
        raise Bad(path, [mistake]) from None
    settings = figures(made(shape, Setup, path, strict=False))
    for kind in settings["terms"]["kinds"].values():
        kind["per_call"] = 1  # whatever the settings say: the socket protocol carries one message per call
    return settings | {"known": document.get("known")}


def figures(setup):
    """Converts a Setup for the relay: addresses as pairs, sizes in bytes, times in nanoseconds."""
    terms = setup.terms()
    terms["ask"] = True  # over sockets, discovery sends the list only on request
    terms |= {"notified_within": NOTIFIED_WITHIN, "moved_notified_within": MOVED_NOTIFIED_WITHIN}
    terms["ends_by_notice"] = True
    return {
        "name": setup.name,
        "listen": parse_address(setup.listen),
        "discovery": parse_address(setup.directory),
        "ops": parse_address(setup.ops) if setup.ops else None,
        "state": setup.state,
        "known": None,
        "terms": terms,
        "log": msgspec.structs.asdict(setup.log),
        "sync": setup.journal.sync,
        "sync_every": span(setup.journal.every),
        "seed": int(setup.seed, 16) if setup.seed else random.SystemRandom().getrandbits(64),
        "memory": setup.limits.memory_mb << 20,
        "sockets": setup.limits.descriptors,
        "disk": int(setup.limits.disk_mb * 1_000_000),
    }
