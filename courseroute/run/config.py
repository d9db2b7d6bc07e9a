"""What the platform tells a relay at its start."""
import os

import orjson

from courseroute.model.terms import paths_of, terms_of
from courseroute.wire.words import place_of


def read(environ=os.environ):
    with open(environ["ROUTER_CONFIG"], "rb") as file:
        told = orjson.loads(file.read())
    terms = terms_of(paths_of(told.get("settings", {})))
    terms["ask"] = True             # on sockets the list answers only when asked,
    for kind in terms["kinds"].values():
        kind["per_call"] = 1        # and calls are single, whatever the settings say
    limits = told.get("limits", {})
    return {
        "name": told.get("name", environ.get("ROUTER_NAME", "")),
        "listen": place_of(told.get("listen") or environ["ROUTER_LISTEN"]),
        "discovery": place_of(told.get("discovery") or environ["ROUTER_DISCOVERY"]),
        "state": environ["ROUTER_STATE"],
        "seed": int(told.get("seed", "0"), 16),
        "known": told.get("known"),
        "terms": terms,
        "memory": int(limits["memory_mb"]) << 20,
        "sockets": int(limits["sockets"]),
        "disk": int(float(limits["disk_mb"]) * 1_000_000),
    }
