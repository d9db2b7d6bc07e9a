"""Looks into and mends a relay's folder: verify, stat, dump, compact, salvage. Called by the command line.

All but `dump`, `stat` and `verify` change files and want a folder that no relay holds; the lock on the folder
tells. What is read is read as the relay reads it, but nothing is cut.
"""

import os

import orjson

from courseroute.journal import frames, old
from courseroute.journal.disk import Disk
from courseroute.journal.lock import lock
from courseroute.journal.replay import Replay
from courseroute.journal.store import PREFIX, Journal

NAMES = {
    frames.TAKEN: "taken",
    frames.CALL: "call",
    frames.BACK: "back",
    frames.OWED: "owed",
    frames.OVER: "over",
    frames.MEMORY: "memory",
}
FIELDS = {
    "taken": ("name", "dst", "lane", "deadline", "mark", "key", "customer", "again", "taken_at"),
    "call": ("name", "leg", "host", "at", "ending"),
    "back": ("name", "leg", "ending"),
    "owed": ("name", "state", "after"),
    "over": ("name", "state"),
}


def segments(folder):
    """(file, number or None, its bytes) of each segment, oldest first."""
    disk = Disk(folder)
    for name in disk.names():
        if name.startswith(PREFIX):
            data = disk.read(name)
            yield name, frames.header_of(data, name), data


def rows(folder):
    """Every stretch of the folder's segments (and of an earlier version's log) as a plain map."""
    disk = Disk(folder)
    if old.NAME in disk.names():
        for kind, told, body in old.records(disk.read(old.NAME)):
            yield {"segment": old.NAME, **row_of(kind, told, len(body))}
    for name, number, data in segments(folder):
        if number is None:
            yield {"segment": name, "kind": "foreign", "at": 0, "bytes": len(data)}
            continue
        for one in frames.scan(data):
            place = {"segment": name, "at": one.at, "bytes": one.end - one.at}
            if one.kind is None:
                yield {**place, "kind": "torn" if one.torn else "damaged"}
            else:
                yield {**place, **row_of(one.kind, one.told, len(one.body))}


def row_of(kind, told, body):
    name = NAMES.get(kind, "unknown")
    fields = dict(zip(FIELDS[name], told, strict=False)) if name in FIELDS else {"told": told}
    if name == "over":
        fields["segments"] = told[2:]
    return {"kind": name, **fields, **({"body": body} if name == "taken" else {})}


def state(folder):
    """What is left of the records: held messages with their legs, notices owed, recent ends, what is bad."""
    bad = [
        {part: row[part] for part in ("segment", "kind", "at", "bytes")}
        for row in rows(folder)
        if row["kind"] in ("torn", "damaged", "foreign")
    ]
    now, held = replayed(folder), {}
    for name, kept in now.held.items():
        told = row_of(frames.TAKEN, kept.told, len(kept.body))
        held[name] = {part: told[part] for part in ("lane", "dst", "deadline", "customer", "body")}
        held[name]["legs"] = [dict(zip(("host", "at", "ending"), leg, strict=True)) for leg in kept.legs]
    return {
        "held": held,
        "owed": {name: state for name, (state, _) in now.owed.items()},
        "ends": dict(now.ends),
        "bad": bad,
    }


def replayed(folder):
    """What a relay would make of the folder."""
    replay, disk = Replay(), Disk(folder)
    if old.NAME in disk.names():
        for kind, told, body in old.records(disk.read(old.NAME)):
            replay.feed(kind, told, body)
    for _, number, data in segments(folder):
        if number is None:
            replay.damage()
            continue
        for one in frames.scan(data):
            if one.kind is not None:
                replay.feed(one.kind, one.told, one.body)
            elif not one.torn:
                replay.damage()
    return replay.finish()


def verify(folder):
    """What is bad in the folder; a torn end of the newest segment is none: a crash leaves it."""
    bad = state(folder)["bad"]
    newest = max((name for name, _, _ in segments(folder)), default="")
    return [one for one in bad if not (one["kind"] == "torn" and one["segment"] == newest)]


def stat(folder):
    """Figures of each segment: bytes, records by kind, bytes of what is held or owed."""
    now = state(folder)
    live = now["held"].keys() | now["owed"].keys()
    found = {}
    for row in rows(folder):
        one = found.setdefault(row["segment"], {"records": 0, "bytes": 0, "live_bytes": 0, "kinds": {}})
        one["records"] += 1
        one["bytes"] += row.get("bytes", 0)
        one["kinds"][row["kind"]] = one["kinds"].get(row["kind"], 0) + 1
        if row.get("name") in live and row["kind"] != "over":
            one["live_bytes"] += row.get("bytes", 0)
    return {"segments": found, "held": len(now["held"]), "owed": len(now["owed"]), "ends": len(now["ends"])}


def compact(folder, most):
    """Rewrites what is live into fresh segments; (bytes before, bytes after)."""
    handle = lock(folder)
    try:
        before = size(folder)
        live = list(live_records(folder))
        journal = Journal(Disk(folder), max(most, 3 * before), syncs=True)
        for _ in journal.read():
            pass
        gone = [name for name, _, _ in segments(folder)]
        for parts in live:
            journal.append(parts)
        journal.sync()
        journal.close()
        for name in gone:
            journal.disk.remove(name)
        return before, size(folder)
    finally:
        os.close(handle)


def salvage(folder, target):
    """Writes every good record of a damaged folder into a fresh one; what was left out. Messages taken on
    before a bad stretch get a leg that may have run: their calls, or their ends, may have stood there."""
    target = str(target)
    os.makedirs(target, exist_ok=True)
    if os.listdir(target):
        raise FileExistsError(f"{target} is not empty")
    bad = verify(folder)
    journal = Journal(Disk(target), 1 << 40, syncs=True)
    for parts in live_records(folder):
        journal.append(parts)
    journal.sync()
    journal.close()
    return bad


def live_records(folder):
    """The records of each message that is held or owed, and of recent ends, in order of taking on."""
    now = replayed(folder)
    for name, kept in now.held.items():
        yield [
            frames.record(frames.TAKEN, kept.told, kept.body),
            *(frames.record(frames.CALL, [name, n, *leg]) for n, leg in enumerate(kept.legs)),
        ]
    for name, told in now.owed.items():
        yield [frames.record(frames.OWED, [name, *told])]
    for name, end in now.ends.items():
        if name not in now.owed:
            yield [frames.record(frames.OVER, [name, end])]


def size(folder):
    return sum(len(data) for _, _, data in segments(folder))


def lines(folder):
    for row in rows(folder):
        yield orjson.dumps(row)
