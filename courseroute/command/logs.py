"""A relay's folder, read only: what its log holds, also while the relay writes it."""
import os

import orjson

from courseroute.checked import Bad, Mistake
from courseroute.state import log

KINDS = {log.TAKEN: "taken", log.CALL: "call", log.BACK: "back", log.OWED: "owed", log.OVER: "over",
         log.MEMORY: "memory"}
FIELDS = {
    "taken": ("name", "dst", "lane", "deadline", "mark", "key", "customer", "again"),
    "call": ("name", "leg", "host", "at", "ending"), "back": ("name", "leg", "ending"),
    "owed": ("name", "state", "after"), "over": ("name", "state")}


def records_of(folder):
    """Every whole record in order: {kind, its fields, bytes of the body}."""
    path = os.path.join(folder, "log") if os.path.isdir(folder) else folder
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as cause:
        raise Bad(path, [Mistake("", cause.strerror or str(cause), "a relay's folder or its log")]) from None
    found, end = [], 0
    for whole_to, kind, fields, body in log.records(data):
        end = whole_to
        name = KINDS.get(kind, kind.decode("latin-1"))
        told = dict(zip(FIELDS[name], fields, strict=False)) if name in FIELDS else {"told": fields}
        found.append({"kind": name, **told, **({"body": len(body)} if name == "taken" else {})})
    if end < len(data):
        found.append({"kind": "torn", "at": end, "bytes": len(data) - end})
    return found


def state_of(folder):
    """What is left of the records: held messages with their legs, notices owed, recent ends, the torn end."""
    held, owed, ends, torn, hosts = {}, {}, {}, None, 0
    for row in records_of(folder):
        kind, name = row["kind"], row.get("name")
        if kind == "taken" and name not in ends:
            parts = ("lane", "dst", "deadline", "customer", "body")
            held[name] = {part: row[part] for part in parts} | {"legs": []}
        elif kind == "call" and name in held and len(held[name]["legs"]) == row["leg"]:
            held[name]["legs"].append({"host": row["host"], "at": row["at"], "ending": row["ending"]})
        elif kind == "back" and name in held and row["leg"] < len(held[name]["legs"]):
            held[name]["legs"][row["leg"]]["ending"] = row["ending"]
        elif kind in ("owed", "over"):
            held.pop(name, None)
            ends[name] = row["state"]
            owed.pop(name, None)
            if kind == "owed":
                owed[name] = row["state"]
        elif kind == "memory":
            hosts = len(row["told"])
        elif kind == "torn":
            torn = {"at": row["at"], "bytes": row["bytes"]}
    return orjson.loads(orjson.dumps(
        {"held": held, "owed": owed, "ends": ends, "hosts_remembered": hosts, "torn": torn}))
