"""Crash tests of the journal: scripted operations of a message tracker on a faulty disk. Wherever a crash
interrupts them, no accepted message is lost and no closed message is reopened.

    python -m courseroute.journal.torture --runs 1000

Called by the tests (a crash before, half-way through and after every disk call of a short script) and by
`make torture-journal` (random scripts and crash points, full disks). `Model` records what was acknowledged; a
recovered tracker is checked against it.
"""

import itertools
import os
import random
import signal
import sys
import tempfile
import time

import click

from courseroute.decisions.limits import RELAY_LIMITS
from courseroute.journal.faulty import Crash, FaultyDisk
from courseroute.journal.learned import Learned
from courseroute.journal.store import Journal
from courseroute.model.causes import CloseCause
from courseroute.state.tracker import MessageTracker

MAX_JOURNAL_BYTES = 60_000
CLOCK_STEP_NS = 300_000  # advance per clock reading: a compaction slice copies a few records
NOT_RUN_ENDING = "full"
WRITE_COUNT_BYTES = 8  # size of the counter that a writer reports after each write
MAX_WRITES_AWAITED = 3  # before a writer is killed


class IdleDispatcher:
    """A dispatcher that takes no action and records the messages it is given on recovery."""

    def __init__(self):
        self.taken = {}

    def accept(self, now, name, dst, lane, deadline, key=None, customer=None, is_retry=False, attempts=()):
        self.taken[name] = [tuple(attempt) for attempt in attempts]
        return []

    def __getattr__(self, _):
        return lambda *args: []


class NoOp:
    """A substitute for hosts and notices whose methods do nothing."""

    def __getattr__(self, _):
        return lambda *args: None


def start_tracker(disk, most=MAX_JOURNAL_BYTES, syncs=False):
    """Recovers a message tracker from the journal on `disk`, as a new process does."""
    # No real time: the same script always makes the same disk calls.
    ticks = itertools.count(0, CLOCK_STEP_NS)
    salts = itertools.count(7)
    journal = Journal(disk, most, "n0", syncs, lambda: next(ticks), lambda: next(salts))
    events = []
    tracker = MessageTracker(
        IdleDispatcher(),
        {"lanes": {"a": {}}, "legs": 2},
        RELAY_LIMITS | {"max_recent_ends": 4},
        journal,
        1 << 30,
        lambda: next(ticks),
        lambda event, **fields: events.append((event, fields)),
    )
    tracker.hosts = tracker.notices = NoOp()
    tracker.ready, tracker.events = True, events
    tracker.recover()
    return tracker


class Model:
    """What was acknowledged for each message.

    `open_messages`: numbers of the sent attempts, by message name; `pending_notices`: final state, by message
    name; `closed`: names of closed messages; `interrupted`: names of messages whose operation was
    interrupted, so that the state before or after it is correct; `unwritten`: names of messages whose latest
    record is not written yet.
    """

    def __init__(self):
        self.open_messages, self.pending_notices, self.closed, self.interrupted, self.unwritten = (
            {},
            {},
            set(),
            set(),
            set(),
        )

    def apply(self, tracker, what, name, size):
        """Runs one operation on the tracker and records its result once it has returned."""
        self.interrupted.add(name)
        if what == "accept":
            message = {
                "name": name,
                "dst": "7",
                "lane": "a",
                "time_left": 10**10,
                "mark": "m",
                "customer": "",
                "key": "",
                "again": False,
                "body": (name.encode() * size)[:size],
            }
            if (
                tracker.accept(message, False)[0] == 202
                and name not in self.closed
                and name not in self.pending_notices
            ):
                self.open_messages.setdefault(name, [])
        elif name in tracker.held and what == "send":
            count = len(tracker.held[name].attempts)
            unsent = []
            tracker.hosts = NoOp()
            tracker.hosts.__dict__["unsent"] = lambda *args: unsent.append(args)
            tracker.do_send(name, "h", 0)
            if unsent:
                tracker.attempt_ended(name, count, "h", "unsent", 0, False, 0, None)
            elif len(tracker.held[name].attempts) > count:
                self.open_messages[name].append(count)
        elif name in tracker.held and what == "end attempt" and self.open_messages[name]:
            tracker.attempt_ended(name, self.open_messages[name][-1], "h", NOT_RUN_ENDING, 0, False, 0, None)
        elif name in tracker.held and what == "complete":
            tracker.complete(tracker.held[name], "delivered")
            self.note_closed(tracker, name, None)
        elif name in tracker.held and what == "close":
            tracker.close_message(name, "failed", 0, CloseCause.DEADLINE)
            self.note_closed(tracker, name, "failed")
        elif name in tracker.pending_notices and what == "acknowledge":
            tracker.notices_accepted([name])
            self.note_closed(tracker, name, None)
        elif what == "compact":
            tracker.journal.step(hurry=True)
            tracker.retry_unwritten()
            self.unwritten = set(tracker.unwritten)
        self.interrupted.discard(name)

    def note_closed(self, tracker, name, owed):
        """Records the end of a message. It counts as acknowledged only if its record was written: one that
        did not fit is written later."""
        self.open_messages.pop(name, None)
        self.pending_notices.pop(name, None)
        if owed:
            self.pending_notices[name] = owed
        else:
            self.closed.add(name)
        self.unwritten = set(tracker.unwritten)

    def check(self, tracker):
        """Checks a recovered tracker; raises AssertionError naming the first difference."""
        unknown = self.interrupted | self.unwritten
        assert not tracker.journal.losses, tracker.journal.losses
        for name, attempts in self.open_messages.items():
            if name not in unknown:
                assert name in tracker.held, f"{name} was accepted and is lost"
                endings = [ending for _, _, ending in tracker.held[name].attempts]
                sent = {n for n, ending in enumerate(endings) if ending != "unsent"}
                assert sent.issuperset(attempts), f"{name}: a sent attempt is missing"
                assert tracker.held[name].body == (name.encode() * 4000)[: len(tracker.held[name].body)]
        for name, state in self.pending_notices.items():
            assert (
                name in unknown or tracker.pending_notices.get(name, (None,))[0] == state
            ), f"{name}: its pending notice is lost"
        restored = [tracker.held[name].accepted_at for name in tracker.dispatcher.taken]
        assert restored == sorted(restored), "the messages were not restored in the order of acceptance"
        for name in self.closed - unknown:
            assert (
                name not in tracker.held and name not in tracker.pending_notices
            ), f"{name} was closed and is open again"


def random_script(seed, length):
    """A random list of (operation, message name, body size in bytes)."""
    rng = random.Random(seed)
    names, operations = [], []
    for i in range(length):
        what = rng.choices(
            ("accept", "send", "end attempt", "complete", "close", "acknowledge", "compact"),
            (10, 6, 2, 6, 3, 3, 3),
        )[0]
        if what == "accept" or not names:
            names.append(f"m{i}")
            what = "accept"
        name = names[-1] if what == "accept" else rng.choice(names[-12:])
        operations.append((what, name, rng.choice((20, 200, 2000))))
    return operations


def continuation(seed):
    """Operations on other messages, run after a recovery."""
    return [(what, f"x{name}", size) for what, name, size in random_script(seed + 1, 30)]


def run_script(operations, disk, model):
    """Runs a script until its end or a simulated crash; returns whether it reached its end."""
    try:
        tracker = start_tracker(disk)
        for operation in operations:
            model.apply(tracker, *operation)
    except Crash:
        return False
    return True


def check_recovery(disk, model, again):
    """Recovers from what the crash left and checks the result; runs further operations, recovers and
    checks again."""
    remaining = disk.after()
    tracker = start_tracker(remaining)
    model.check(tracker)
    model.open_messages = {
        name: [n for n, (_, _, ending) in enumerate(msg.attempts) if ending != "unsent"]
        for name, msg in tracker.held.items()
    }
    model.pending_notices = {name: state for name, (state, _) in tracker.pending_notices.items()}
    model.closed = {
        name
        for name in model.closed | model.interrupted
        if name not in tracker.held and name not in tracker.pending_notices
    }
    model.interrupted, model.unwritten = set(), set()
    for operation in again:
        model.apply(tracker, *operation)
    model.check(start_tracker(remaining.after()))


def crash_at_every_call(seed, length, parts=(0, 0.5, 1.0)):
    """Crashes one script at each of its disk calls, after each fraction in `parts` of the call; returns the
    number of crashes."""
    operations, again = random_script(seed, length), continuation(seed)
    uncut = FaultyDisk()
    assert run_script(operations, uncut, Model())
    for at in range(1, uncut.calls + 1):
        for part in parts:
            disk, model = FaultyDisk(), Model()
            disk.crash_at, disk.part = at, part
            assert not run_script(operations, disk, model)
            try:
                check_recovery(disk, model, again)
            except AssertionError as cause:
                raise AssertionError(f"seed {seed}, call {at}, part {part}: {cause}") from cause
    return uncut.calls * len(parts)


def crash_at_random_call(seed, length):
    """Crashes a random script at a random disk call, with occasional disk errors and a disk that may be full.

    Returns (whether the crash came, whether any disk error was set).
    """
    rng = random.Random(seed)
    operations = random_script(seed, length)
    disk, model = FaultyDisk(rng.choice((None, None, 20_000, 35_000))), Model()
    disk.crash_at, disk.part = rng.randrange(1, 2 * length), rng.random()
    for _ in range(rng.randrange(4)):
        disk.fails[rng.randrange(1, 2 * length)] = rng.choice((28, 5))
        disk.short.add(rng.randrange(1, 2 * length))
    run_script(operations, disk, model)
    disk.room = None
    check_recovery(disk, model, continuation(seed))
    return disk.crash_at <= disk.calls, bool(disk.fails) or disk.room is not None


def fail_on_event(event, **fields):
    raise AssertionError(f"{event}: {fields}")


def kill_writers(kills, folder, seed=1):
    """Kills a process that writes learned state continuously, `kills` times. The state read afterwards must
    be complete and no older than the last write that returned. Returns the number of completed writes.

    Each process is killed at a random time after a random number of its writes returned, so that the number
    of completed writes does not depend on how long the disk takes for a sync.
    """
    rng, seen, last = random.Random(seed), 0, -1
    for _ in range(kills):
        reader, writer = os.pipe()
        child = os.fork()
        if not child:
            learned, count = Learned(folder, lambda *args, **fields: None), last
            while True:
                count += 1
                learned.keep([["host", [count], ["x" * 4000]]], count)
                os.write(writer, count.to_bytes(WRITE_COUNT_BYTES, "little"))
        os.close(writer)
        with open(reader, "rb") as pipe:
            reports = pipe.read(WRITE_COUNT_BYTES * rng.randint(0, MAX_WRITES_AWAITED))
            time.sleep(rng.uniform(0, 0.02))
            os.kill(child, signal.SIGKILL)
            os.waitpid(child, 0)
            reports += pipe.read()
        if reports:
            seen += len(reports) // WRITE_COUNT_BYTES
            last = int.from_bytes(reports[-WRITE_COUNT_BYTES:], "little")
        found, at = Learned(folder, fail_on_event).read()
        now = found[0][1][0] if found else -1
        assert last <= now <= last + 1 and (now < 0 or at == now), f"{now} was read, {last} had been written"
        last = now
    return seen


@click.command()
@click.option("--runs", default=1000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--length", default=400, show_default=True)
@click.option("--kills", default=500, show_default=True, help="Kills of a process that writes learned state.")
def main(runs, seed, length, kills):
    """Crashes scripted operations and reports how many recoveries were correct."""
    with tempfile.TemporaryDirectory() as folder:
        writes = kill_writers(kills, folder, seed)
        click.echo(f"{kills} kills of a writer of learned state, {writes} writes: state complete each time")
    crashes, failed = 0, []
    for number in range(seed, seed + runs):
        try:
            crashes += crash_at_random_call(number, length)[0]
        except AssertionError as cause:
            failed.append(number)
            click.echo(f"seed {number}: {cause}")
    enumerated = sum(crash_at_every_call(number, 150) for number in range(seed, seed + max(1, runs // 100)))
    click.echo(
        f"{runs} random scripts, {crashes} crashed, {enumerated} enumerated crashes, " f"{len(failed)} failed"
    )
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
