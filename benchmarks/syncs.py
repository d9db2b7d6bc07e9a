"""Messages a second through the journal with each kind of sync, many at a time. On this machine's disk.

python benchmarks/syncs.py [--messages 4000] [--at-once 64]
"""

import sys
import tempfile
import time
from pathlib import Path

import click
import trio

sys.path.insert(0, str(Path(__file__).parent.parent))

from courseroute.journal import frames  # noqa: E402
from courseroute.journal.disk import Disk  # noqa: E402
from courseroute.journal.store import Journal  # noqa: E402
from courseroute.journal.syncer import Syncer  # noqa: E402


async def measure(mode, messages, at_once):
    """Messages a second: each is taken on, waits until that is as safe as the mode says, is called, over."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(Disk(folder), 200_000_000, "n0", mode != "off")
        list(journal.read())
        journal.refresh, journal.remembered = (lambda name: []), (lambda name: False)
        syncer, limit = Syncer(journal, mode, 50_000_000, print), trio.CapacityLimiter(at_once)

        async def message(i):
            async with limit:
                taken = [f"m{i}", "7", "a", 1, "", None, "", False, i]
                journal.write(frames.record(frames.TAKEN, taken, b"x" * 1500))
                await syncer.wait_synced()
                journal.write(frames.record(frames.CALL, [f"m{i}", 0, "h", 1, None]))
                await syncer.wait_synced()
                journal.write(journal.over(f"m{i}", "delivered"))

        begun = time.perf_counter()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(syncer.serve)
            async with trio.open_nursery() as all_of_them:
                for i in range(messages):
                    all_of_them.start_soon(message, i)
            took = time.perf_counter() - begun
            nursery.cancel_scope.cancel()
        journal.close()
        return round(messages / took)


@click.command()
@click.option("--messages", default=4000, show_default=True)
@click.option("--at-once", default=64, show_default=True)
def main(messages, at_once):
    for mode in ("off", "interval", "each"):
        print(mode, trio.run(measure, mode, messages, at_once), "messages a second", flush=True)


if __name__ == "__main__":
    main()
