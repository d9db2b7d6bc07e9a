"""Inspects and repairs a relay's folder: verify, stat, dump, compact, salvage. Called by the command line.

`compact` changes the folder and takes its lock, which fails while a relay uses the folder; `salvage` writes
to another folder. Records are interpreted as the relay does, but incomplete ones are not truncated.
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
    """(file name, number or None if the header is invalid, content) of each segment, oldest first."""
    disk = Disk(folder)
    for name in disk.names():
        if name.startswith(PREFIX):
            data = disk.read(name)
            yield name, frames.header_of(data, name), data


def read_rows(folder):
    """Every record and unreadable range of the folder's segments, and of an earlier version's log, as a plain
    map."""
    disk = Disk(folder)
    if old.NAME in disk.names():
        for kind, fields, body in old.records(disk.read(old.NAME)):
            yield {"segment": old.NAME, **row_of(kind, fields, len(body))}
    for name, number, data in segments(folder):
        if number is None:
            yield {"segment": name, "kind": "foreign", "at": 0, "bytes": len(data)}
            continue
        for one in frames.scan(data):
            location = {"segment": name, "at": one.at, "bytes": one.end - one.at}
            if one.kind is None:
                yield {**location, "kind": "torn" if one.torn else "damaged"}
            else:
                yield {**location, **row_of(one.kind, one.told, len(one.body))}


def row_of(kind, values, body_bytes):
    """The plain map of one record, with its fields under the names that the commands print."""
    name = NAMES.get(kind, "unknown")
    fields = dict(zip(FIELDS[name], values, strict=False)) if name in FIELDS else {"told": values}
    if name == "over":
        fields["segments"] = values[2:]
    return {"kind": name, **fields, **({"body": body_bytes} if name == "taken" else {})}


def folder_state(folder):
    """The state that the records describe: open messages with their attempts, pending notices, recently
    closed messages, and the ranges that could not be read."""
    bad = [
        {part: row[part] for part in ("segment", "kind", "at", "bytes")}
        for row in read_rows(folder)
        if row["kind"] in ("torn", "damaged", "foreign")
    ]
    now, held = replayed(folder), {}
    for name, kept in now.held.items():
        row = row_of(frames.TAKEN, kept.told, len(kept.body))
        held[name] = {part: row[part] for part in ("lane", "dst", "deadline", "customer", "body")}
        held[name]["legs"] = [dict(zip(("host", "at", "ending"), one, strict=True)) for one in kept.legs]
    return {
        "held": held,
        "owed": {name: state for name, (state, _) in now.owed.items()},
        "ends": dict(now.ends),
        "bad": bad,
    }


def replayed(folder):
    """Replays the folder's records as a relay does at startup."""
    replay, disk = Replay(), Disk(folder)
    if old.NAME in disk.names():
        for kind, fields, body in old.records(disk.read(old.NAME)):
            replay.feed(kind, fields, body)
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
    """The unreadable ranges of the folder, except an incomplete record at the end of the newest segment,
    which a crash may leave."""
    bad = folder_state(folder)["bad"]
    newest = max((name for name, _, _ in segments(folder)), default="")
    return [one for one in bad if not (one["kind"] == "torn" and one["segment"] == newest)]


def stat(folder):
    """Totals by segment: bytes, records by kind, bytes of open messages and pending notices."""
    now = folder_state(folder)
    live = now["held"].keys() | now["owed"].keys()
    found = {}
    for row in read_rows(folder):
        one = found.setdefault(row["segment"], {"records": 0, "bytes": 0, "live_bytes": 0, "kinds": {}})
        one["records"] += 1
        one["bytes"] += row.get("bytes", 0)
        one["kinds"][row["kind"]] = one["kinds"].get(row["kind"], 0) + 1
        if row.get("name") in live and row["kind"] != "over":
            one["live_bytes"] += row.get("bytes", 0)
    return {"segments": found, "held": len(now["held"]), "owed": len(now["owed"]), "ends": len(now["ends"])}


def compact(folder, most):
    """Rewrites live records into new segments and removes the old ones; (bytes before, bytes after)."""
    handle = lock(folder)
    try:
        before = size(folder)
        live = list(live_records(folder))
        journal = Journal(Disk(folder), max(most, 3 * before), syncs=True)
        for _ in journal.read():
            pass
        replaced = [name for name, _, _ in segments(folder)]
        for parts in live:
            journal.append(parts)
        journal.sync()
        journal.close()
        for name in replaced:
            journal.disk.remove(name)
        return before, size(folder)
    finally:
        os.close(handle)


def salvage(folder, target):
    """Writes the readable live records of a damaged folder to a new one; returns the unreadable ranges.
    Messages accepted before an unreadable range get an attempt that may have run, as records of their
    attempts or of their end may have been in it."""
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
    """The records of each open message, in order of acceptance, then of each pending notice and of each
    recently closed message."""
    now = replayed(folder)
    for name, kept in now.held.items():
        yield [
            frames.record(frames.TAKEN, kept.told, kept.body),
            *(frames.record(frames.CALL, [name, n, *attempt]) for n, attempt in enumerate(kept.legs)),
        ]
    for name, notice in now.owed.items():
        yield [frames.record(frames.OWED, [name, *notice])]
    for name, end in now.ends.items():
        if name not in now.owed:
            yield [frames.record(frames.OVER, [name, end])]


def size(folder):
    """Total bytes of the segments."""
    return sum(len(data) for _, _, data in segments(folder))


def dump_lines(folder):
    """The rows of `rows`, each as a line of JSON without the line end."""
    for row in read_rows(folder):
        yield orjson.dumps(row)
