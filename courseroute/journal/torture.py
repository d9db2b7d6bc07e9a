"""Scripted lives of a desk on a faulty disk: whatever is cut off, nothing is lost, nothing ended returns.

    python -m courseroute.journal.torture --runs 1000

Called by the tests (every call of a short script, cut before, half-way and after) and by
`make torture-journal` (random scripts and points, full disks). `Model` knows what was acknowledged; a
recovered desk is held against it.
"""
import itertools
import os
import random
import signal
import sys
import tempfile
import time

import click

from courseroute.decide import HOUSE
from courseroute.journal.faulty import Crash, FaultyDisk
from courseroute.journal.learned import Learned
from courseroute.journal.store import Journal
from courseroute.state.desk import Desk

MOST = 60_000
TICK = 300_000      # a look at the clock: slices of a few records
NEVER_RAN = "full"


class Still:
    """A module that decides nothing, and remembers what a new life was told."""

    def __init__(self):
        self.taken = {}

    def take(self, now, name, dst, lane, deadline, key=None, customer=None, again=False, legs=()):
        self.taken[name] = [tuple(leg) for leg in legs]
        return []

    def __getattr__(self, _):
        return lambda *told: []


class Quiet:
    """Hosts and notices that do nothing of themselves."""

    def __getattr__(self, _):
        return lambda *told: None


def desk_on(disk, most=MOST, syncs=False):
    desk = desk_before(disk, most, syncs)
    desk.recover()
    return desk


def desk_before(disk, most=MOST, syncs=False):
    """A desk that has not read its journal yet."""
    ticks = itertools.count(0, TICK)        # no real time: the same script makes the same calls
    salts = itertools.count(7)
    journal = Journal(disk, most, "n0", syncs, lambda: next(ticks), lambda: next(salts))
    said = []
    desk = Desk(Still(), {"lanes": {"a": {}}, "legs": 2}, HOUSE | {"ends": 4}, journal, 1 << 30,
                lambda: next(ticks),
                lambda event, **told: said.append((event, told)))
    desk.hosts = desk.notices = Quiet()
    desk.ready, desk.said = True, said
    return desk


class Model:
    """What was acknowledged, message by message; `doubt`: an act was cut off, so that either end is right."""

    def __init__(self):
        self.held, self.owed, self.over, self.doubt, self.unsure = {}, {}, set(), set(), set()

    def act(self, desk, what, name, size):
        """Does one thing at the desk and, once it came back, notes it."""
        self.doubt.add(name)
        if what == "take":
            told = {"name": name, "dst": "7", "lane": "a", "left": 10 ** 10, "mark": "m", "customer": "",
                    "key": "", "again": False, "body": (name.encode() * size)[:size]}
            if desk.take(told, False)[0] == 202 and name not in self.over and name not in self.owed:
                self.held.setdefault(name, [])
        elif name in desk.held and what == "send":
            count = len(desk.held[name].legs)
            unsent = []
            desk.hosts = Quiet()
            desk.hosts.__dict__["unsent"] = lambda *told: unsent.append(told)
            desk.do_send(name, "h", 0)
            if unsent:
                desk.held[name].legs.pop()
            elif len(desk.held[name].legs) > count:
                self.held[name].append(None)
        elif name in desk.held and what == "back" and self.held[name]:
            desk.returned(name, len(self.held[name]) - 1, "h", NEVER_RAN, 0, False, 0, None)
        elif name in desk.held and what == "finish":
            desk.finish(desk.held[name], "delivered")
            self.ended(desk, name, None)
        elif name in desk.held and what == "end":
            desk.end(name, "failed", 0)
            self.ended(desk, name, "failed")
        elif name in desk.owed and what == "told":
            desk.told_of([name])
            self.ended(desk, name, None)
        elif what == "compact":
            desk.log.step(hurry=True)
            desk.write_late()
            self.unsure = set(desk.unwritten)
        self.doubt.discard(name)

    def ended(self, desk, name, owed):
        """Acknowledged only where it was written: a note that did not fit may be asked for again."""
        self.held.pop(name, None)
        self.owed.pop(name, None)
        if owed:
            self.owed[name] = owed
        else:
            self.over.add(name)
        self.unsure = set(desk.unwritten)

    def check(self, desk):
        """What a new life must know; an AssertionError names what it does not."""
        surely = self.doubt | self.unsure
        assert not desk.log.losses, desk.log.losses
        for name, legs in self.held.items():
            if name not in surely:
                assert name in desk.held, f"{name} was taken on and is lost"
                assert len(desk.held[name].legs) >= len(legs), f"{name}: a call is forgotten"
                assert desk.held[name].body == (name.encode() * 4000)[:len(desk.held[name].body)]
        for name, state in self.owed.items():
            assert name in surely or desk.owed.get(name, (None,))[0] == state, f"{name}: its end is lost"
        taken = [desk.held[name].at for name in desk.dispatcher.taken]
        assert taken == sorted(taken), "told the module in another order than taken on"
        for name in self.over - surely:
            assert name not in desk.held and name not in desk.owed, f"{name} is over and came back"


def script(seed, length):
    draw = random.Random(seed)
    names, acts = [], []
    for i in range(length):
        what = draw.choices(("take", "send", "back", "finish", "end", "told", "compact"),
                            (10, 6, 2, 6, 3, 3, 3))[0]
        if what == "take" or not names:
            names.append(f"m{i}")
            what = "take"
        name = names[-1] if what == "take" else draw.choice(names[-12:])
        acts.append((what, name, draw.choice((20, 200, 2000))))
    return acts


def further(seed):
    return [(what, f"x{name}", size) for what, name, size in script(seed + 1, 30)]


def play(acts, disk, model):
    """Runs a script until its end or the disk's; whether it ended."""
    try:
        desk = desk_on(disk)
        for act in acts:
            model.act(desk, *act)
    except Crash:
        return False
    return True


def recovered(disk, model, again):
    """A new life on what is left, held against the model; then it goes on, and a third life is held too."""
    left = disk.after()
    desk = desk_on(left)
    model.check(desk)
    model.held = {name: [None] * len(msg.legs) for name, msg in desk.held.items()}
    model.owed = {name: state for name, (state, _) in desk.owed.items()}
    model.over = {name for name in model.over | model.doubt if name not in desk.held
                  and name not in desk.owed}
    model.doubt, model.unsure = set(), set()
    for act in again:
        model.act(desk, *act)
    model.check(desk_on(left.after()))


def cut_everywhere(seed, length, parts=(0, 0.5, 1.0)):
    """Every call of one script, cut before, half-way and after; how many cuts."""
    acts, again = script(seed, length), further(seed)
    whole = FaultyDisk()
    assert play(acts, whole, Model())
    for at in range(1, whole.calls + 1):
        for part in parts:
            disk, model = FaultyDisk(), Model()
            disk.crash_at, disk.part = at, part
            assert not play(acts, disk, model)
            try:
                recovered(disk, model, again)
            except AssertionError as cause:
                raise AssertionError(f"seed {seed}, call {at}, part {part}: {cause}") from cause
    return whole.calls * len(parts)


def cut_at_random(seed, length):
    """One random script, cut at one random call, the disk full or failing now and then."""
    draw = random.Random(seed)
    acts = script(seed, length)
    disk, model = FaultyDisk(draw.choice((None, None, 20_000, 35_000))), Model()
    disk.crash_at, disk.part = draw.randrange(1, 2 * length), draw.random()
    for _ in range(draw.randrange(4)):
        disk.fails[draw.randrange(1, 2 * length)] = draw.choice((28, 5))
        disk.short.add(draw.randrange(1, 2 * length))
    play(acts, disk, model)
    disk.room = None
    recovered(disk, model, further(seed))
    return disk.crash_at <= disk.calls, bool(disk.fails) or disk.room is not None


def read_ahead(seed, length):
    """One random script, another desk reading its journal ahead now and then until it takes over, wherever
    the first one ends: it must know what a desk knows that reads all at once. Segments it read."""
    draw = random.Random(seed)
    disk, model, read = FaultyDisk(draw.choice((None, 35_000))), Model(), 0
    one, two = desk_on(disk), desk_before(disk)
    often = draw.choice((0.02, 0.1, 0.5))
    for act in script(seed, draw.randrange(1, length)):
        model.act(one, *act)
        if draw.random() < often:
            read += two.read_ahead()
    plain = desk_on(disk.after())
    two.recover()
    model.check(two)
    assert {name: msg.legs for name, msg in two.held.items()} == {
        name: msg.legs for name, msg in plain.held.items()}, f"seed {seed}: held otherwise"
    assert two.owed == plain.owed, f"seed {seed}: owed otherwise"
    live = ({number: told[1] for number, told in desk.log.segments.items()} for desk in (two, plain))
    assert all(0 <= bytes_live <= two.log.segments[number][0] for number, bytes_live in next(live).items())
    return read


def complain(event, **told):
    raise AssertionError(f"{event}: {told}")


def kill_writers(kills, folder, seed=1):
    """A process writes learned state as fast as it can and is killed, again and again: what is read is always
    whole and never older than what came back from `keep`. How many writes were seen."""
    draw, seen, last = random.Random(seed), 0, -1
    for _ in range(kills):
        out, into = os.pipe()
        child = os.fork()
        if not child:
            learned, count = Learned(folder, lambda *told, **more: None), last
            while True:
                count += 1
                learned.keep([["host", [count], ["x" * 4000]]], count)
                os.write(into, count.to_bytes(8, "little"))
        os.close(into)
        told = os.read(out, 8)      # it is at work: how soon that is depends on the machine
        time.sleep(draw.uniform(0, 0.02))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        with open(out, "rb") as pipe:
            told += pipe.read()
        if told:
            seen, last = seen + len(told) // 8, int.from_bytes(told[-8:], "little")
        found, at = Learned(folder, complain).read()
        now = found[0][1][0] if found else -1
        assert last <= now <= last + 1 and (now < 0 or at == now), f"{now} was read, {last} had come back"
        last = now
    return seen


@click.command()
@click.option("--runs", default=1000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--length", default=400, show_default=True)
@click.option("--kills", default=500, show_default=True, help="Of a process that writes learned state.")
def main(runs, seed, length, kills):
    """Cut scripted lives off; say how many held."""
    with tempfile.TemporaryDirectory() as folder:
        writes = kill_writers(kills, folder, seed)
        click.echo(f"{kills} kills of a writer of learned state, {writes} writes: whole each time")
    cuts, broken = 0, []
    for number in range(seed, seed + runs):
        try:
            cuts += cut_at_random(number, length)[0]
        except AssertionError as cause:
            broken.append(number)
            click.echo(f"seed {number}: {cause}")
    everywhere = sum(cut_everywhere(number, 150) for number in range(seed, seed + max(1, runs // 100)))
    click.echo(f"{runs} random lives, {cuts} cut off by a crash, {everywhere} enumerated cuts, "
               f"{len(broken)} broken")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
