"""The journal against the single-file log of version 0.1: stalls, amplification, recovery, pace.

    python benchmarks/journal.py [--live-mb 1 --live-mb 10] [--messages 20000] [--repeats 5]

So many MB of messages are held for good while others are taken on, called and end, with the writes of each
version's tracker. A stall is the time of one message's writes, or of one slice of compaction.
"""

import json
import sys
import tempfile
import time
from pathlib import Path

import click
import numpy as np

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent))

import single_file  # noqa: E402

from courseroute.journal import frames  # noqa: E402
from courseroute.journal.disk import Disk  # noqa: E402
from courseroute.journal.store import Journal  # noqa: E402

BODY = b"x" * 1500


class Old:
    name, share, make = "single file", 0.42, staticmethod(single_file.record)

    def __init__(self, folder, most):
        self.log, self.live, self.held = single_file.Log(folder, most, 0.42, 0.5), {}, None
        self.log.alive = lambda: (part for parts in self.live.values() for part in parts)
        self.compaction_bytes = 0
        put = self.log.put

        def counted(data):
            self.compaction_bytes += len(data)
            put(data)

        self.log.put = counted

    def read(self):
        return len(self.log.read())

    def call(self, parts, call):
        """As the tracker of that version did: two writes."""
        self.log.write(*parts)
        parts.append(call)
        self.log.write(call)

    def over(self, name):
        return self.make(frames.OVER, [name, "delivered"])

    def idle(self):
        return False

    def written(self):
        return self.compaction_bytes


class New:
    name, share, make = "segments", 0.78, staticmethod(frames.record)

    def __init__(self, folder, most, sync="off"):
        self.log, self.live = Journal(Disk(folder), most, "n0", sync != "off"), {}
        self.log.refresh = lambda name: self.live.get(name, [])
        self.log.remembered = lambda name: False
        self.sync = sync

    def read(self):
        return sum(1 for _ in self.log.read())

    def call(self, parts, call):
        """As the tracker does where a slot is free: one write."""
        parts.append(call)
        self.log.write(*parts)

    def over(self, name):
        return self.log.over(name, "delivered")

    def idle(self):
        return self.log.wants() and self.log.step()

    def written(self):
        return self.log.written


def fields(name, i):
    return [name, "7", "notice", 10**18, "k" * 32, None, "c", False, i]


def measure(kind, live_mb, messages, most):
    """One store's figures; times in milliseconds."""
    with tempfile.TemporaryDirectory() as folder:
        store = kind(folder, most)
        store.read()
        for i in range(int(live_mb * 1e6 / 1700)):
            name = f"held-{i}"
            store.live[name] = [store.make(frames.TAKEN, fields(name, i), BODY)]
            store.log.write(*store.live[name])
        before, taken, stalls, begun = store.written(), 0, [], time.perf_counter()
        for i in range(messages):
            name = f"m{i}"
            start = time.perf_counter()
            parts = [store.make(frames.TAKEN, fields(name, i), BODY)]
            taken += len(parts[0])
            store.live[name] = parts
            store.call(parts, store.make(frames.CALL, [name, 0, "host", 10**18, None]))
            del store.live[name]
            store.log.write(store.over(name))
            stalls.append(time.perf_counter() - start)
            if i % 4 == 0:  # between other work, as the relay does it
                start = time.perf_counter()
                store.idle()
                stalls.append(time.perf_counter() - start)
        took = time.perf_counter() - begun
        store.log.close()
        disk = sum(file.stat().st_size for file in Path(folder).iterdir())
        start = time.perf_counter()
        again = kind(folder, most)
        records = again.read()
        recovery = time.perf_counter() - start
        again.log.close()
        return {
            "store": kind.name,
            "live_mb": live_mb,
            "disk_mb": round(most / 1e6, 1),
            "used_mb": round(disk / 1e6, 1),
            "messages_s": round(messages / took),
            "longest_ms": round(max(stalls) * 1e3, 2),
            "p999_ms": round(float(np.quantile(stalls, 0.999)) * 1e3, 3),
            "amplification": round((store.written() - before) / taken, 2),
            "recovery_ms": round(recovery * 1e3),
            "records": records,
        }


@click.command()
@click.option("--live-mb", multiple=True, type=float, default=(1, 10, 50))
@click.option("--messages", default=20_000, show_default=True)
@click.option("--repeats", default=5, show_default=True)
def main(live_mb, messages, repeats):
    """Both stores on disks that the single file can just use (live is 0.4 of them), then segments at 0.75; in
    turn, so that what else the machine does strikes all alike. Medians, and the pace against that of the
    single file in the same turn."""
    for mb in live_mb:
        turns = [
            [
                measure(kind, mb, messages, int(mb * 1e6 / share))
                for kind, share in ((Old, 0.4), (New, 0.4), (New, 0.75))
            ]
            for _ in range(repeats)
        ]
        for column in range(3):
            rows = [turn[column] for turn in turns]
            told = {
                name: rows[0][name]
                if isinstance(rows[0][name], str)
                else round(float(np.median([row[name] for row in rows])), 3)
                for name in rows[0]
            }
            told["pace"] = round(
                float(np.median([turn[column]["messages_s"] / turn[0]["messages_s"] for turn in turns])), 2
            )
            print(json.dumps(told), flush=True)


if __name__ == "__main__":
    main()
