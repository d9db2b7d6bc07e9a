"""The standing set: what a decision, a recovery and a message cost, against a baseline build run beside it.

    python benchmarks/standing.py [--baseline REVISION] [--pairs 8] [--only decisions-200]

Each figure is taken in a process of its own, of the tree and of the baseline in turn; which one first changes
from pair to pair. CPU time, not time on the wall. A figure is worse where the pairs' differences say so and
their median ratio is beyond WORSE; then it exits with 1. Figures that a baseline has no way to take are "-".
"""
import heapq
import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
MS, S = 1_000_000, 1_000_000_000
WORSE = 1.05
LANES = {"order": {"target": 2 * S, "deadline": 20 * S, "effect": "keyed", "group": "all", "window": 5 * S},
         "status": {"target": S, "deadline": 8 * S, "effect": "retriable"}}
RELAY_DAY = ROOT / "benchmarks" / "relay.toml"


def terms():
    return {"lanes": LANES, "kinds": {"k": {"apart": False, "per_call": 1}}, "relays": 2, "slots": 64,
            "legs": 8, "room": 1 << 20, "tick": 5 * MS, "cancel": True}


def listed(hosts):
    return [(f"h{i}", "ready", "z", 100.0, "k", str(i // 2)) for i in range(hosts)]


def decisions(hosts, messages=20_000):
    """Microseconds of CPU a message: taken on, sent, delivered after 20 to 200 ms; every tenth refused."""
    from courseroute.decide import Dispatcher
    draw, now, out = random.Random(1), 1000 * S, []
    module = Dispatcher(7, terms())
    module.start(now)
    module.roster(now, "full", listed(hosts))

    def heed(acts):
        for act in acts:
            if act[0] == "send":
                heapq.heappush(out, (now + draw.randrange(20, 200) * MS, act[1], act[2]))
    sent = {}
    begun = time.process_time()
    for n in range(messages):
        now += 2 * MS
        while out and out[0][0] <= now:
            _, name, host = heapq.heappop(out)
            leg = sent.get(name, 0)
            sent[name] = leg + 1
            full = leg == 0 and n % 10 == 0
            ending = "full" if full else "delivered"
            heed(module.outcome(now, name, leg, host, ending, 100 * MS, 0, None, not full))
            heed(module.settle(now))
        where, lane = str(draw.randrange(hosts // 2)), "order" if n % 5 else "status"
        heed(module.take(now, f"m{n}", where, lane, now + 8 * S, None, None, False))
        heed(module.settle(now))
    return 1e6 * (time.process_time() - begun) / messages


class Quiet:
    def __getattr__(self, _):
        return lambda *told: None


def desk_on(folder):
    from courseroute.decide import HOUSE, Dispatcher
    from courseroute.journal.disk import Disk
    from courseroute.journal.store import Journal
    from courseroute.state.desk import Desk
    desk = Desk(Dispatcher(7, terms()), terms(), HOUSE, Journal(Disk(folder), 2_500_000, "n0"), 80 << 20,
                time.time_ns, lambda *told, **more: None)
    desk.hosts = desk.notices = desk.discovery = Quiet()
    desk.alarm = lambda delay: None
    desk.tell("start")
    desk.tell("roster", "full", listed(16))
    return desk


def recovery(ahead, held=450, messages=5000):
    """Milliseconds of CPU from the lock to serving, with so many messages held in a journal of 1.2 MB."""
    draw, out = random.Random(3), []
    with tempfile.TemporaryDirectory() as folder:
        one = desk_on(folder)
        one.recover()
        one.ready, one.hosts = True, Quiet()
        one.hosts.__dict__["call"] = lambda msg, n, host, until: out.append((msg.name, n, host))
        for n in range(messages):
            one.take({"name": f"{n:016x}", "dst": str(min(7, int(draw.expovariate(0.5)))), "left": 15 * S,
                      "lane": "order" if draw.random() < 0.8 else "status", "body": b"x" * 212, "mark": "",
                      "key": f"{n:032x}", "customer": "c", "again": False}, False)
            while out and len(one.held) > held:
                one.returned(*out.pop(0), "delivered", 0, True, 50 * MS, None)
            while one.log.wants() and one.log.step():
                pass
        one.log.close()
        two = desk_on(folder)
        if ahead:
            if not hasattr(two, "read_ahead"):
                return None
            while two.read_ahead():
                pass
        begun = time.process_time()
        two.recover()
        return 1000 * (time.process_time() - begun)


def relay(place):
    """Milliseconds of CPU that a whole relay takes for a message, on a short day of the town."""
    import trio

    from courseroute.lab.builds import Builds
    from courseroute.lab.measures import value
    from courseroute.town.play import play
    from courseroute.town.report import figures
    from courseroute.town.script import load
    command = Builds(ROOT, ROOT).command(Path(place))
    with tempfile.TemporaryDirectory() as folder:
        told = figures(trio.run(play, load(RELAY_DAY), Path(folder) / "town", command, None, False))
    return None if told["void"] or told["broken"] else value(told, "cpu_ms_per_message")


FIGURES = {f"decisions-{hosts}": ("us", lambda hosts=hosts: decisions(hosts))
           for hosts in (20, 200, 2000, 20_000)}
FIGURES |= {"recovery": ("ms", lambda: recovery(False)), "recovery-ahead": ("ms", lambda: recovery(True))}


def taken(name, place):
    """A figure of the build that stands in a folder; None where it has none."""
    if name == "relay":
        return relay(place)
    words = [sys.executable, __file__, "--one", name]
    told = subprocess.run(words, cwd=place, env={"PYTHONPATH": str(place)}, capture_output=True, text=True)
    if told.returncode:
        raise click.ClickException(f"{name}: {told.stderr[-600:]}")
    return json.loads(told.stdout)


@click.command()
@click.option("--baseline", default="HEAD~1", show_default=True, help="A git revision.")
@click.option("--pairs", default=8, show_default=True, type=click.IntRange(1))
@click.option("--only", multiple=True, type=click.Choice([*FIGURES, "relay"]))
@click.option("--one", hidden=True)
def main(baseline, pairs, only, one):
    """Print each figure of the tree and of a baseline; exit 1 where one is worse beyond noise."""
    if one:
        click.echo(json.dumps(FIGURES[one][1]()))
        return
    sys.path.insert(0, str(ROOT))
    from courseroute.lab.builds import Builds
    from courseroute.lab.compare import compare
    from courseroute.lab.store import machine, revision
    worse = []
    with tempfile.TemporaryDirectory() as folder:
        builds = Builds(ROOT, folder)
        commit, _ = builds.one(baseline)
        places = {"before": Path(folder).resolve() / commit[:12], "now": ROOT}
        click.echo(f"{revision(ROOT)} against {commit[:12]}; {machine()}")
        try:
            for name in only or (*FIGURES, "relay"):
                found = {"before": {}, "now": {}}
                for pair in range(pairs):
                    for side in sorted(places, reverse=pair % 2):
                        found[side][pair] = taken(name, places[side])
                told = compare(found["before"], found["now"])
                ratio = told.after / told.before if told.before else None
                bad = told.word == "higher" and ratio > WORSE
                worse += [name] * bad
                unit = FIGURES.get(name, ("ms",))[0]
                click.echo(f"{name:16} {unit} " + (
                    f"{told.before:9.2f} -> {told.after:9.2f}  ratio {ratio:.2f}  {told.word}" if ratio else
                    "        - -> " + ", ".join(f"{value:.2f}" for value in found["now"].values() if value)))
        finally:
            builds.drop()
    raise SystemExit(bool(worse))


if __name__ == "__main__":
    main()
