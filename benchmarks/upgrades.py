"""Many upgrades under steady load, half of them with a kill of one process at a random point.

python benchmarks/upgrades.py [--upgrades 200] [--seed 1] plays a town and prints what met a closed door and
what broke; it exits with 1 where a rule was broken or doors were closed more than twice an upgrade.
"""
import random
import tempfile
from collections import Counter
from pathlib import Path

import click
import trio

from courseroute.town.play import play
from courseroute.town.report import figures
from courseroute.town.script import load

DAY = Path(__file__).parent.parent / "examples" / "calm.toml"
RELAYS, EVERY = 8, 6.0          # seconds between two upgrades of one relay
CLEAR = 1.5                     # a message that met a closed door within so long of a kill is the kill's


def drawn(count, seed):
    """The faults: relays in turn, every second upgrade with a kill of the old or the new process."""
    draw = random.Random(seed)
    for n in range(count):
        at = int(1000 + n * 1000 * EVERY / RELAYS)
        told = {"kind": "upgrade", "where": f"n{n % RELAYS}", "at": f"{at}ms"}
        if n % 2:
            told |= {"kills": draw.choice(["old", "new"]), "after": f"{draw.randrange(700)}ms"}
        yield told


def doors(rows):
    """(messages that met a closed door though nothing was killed near, upgrades without a kill)"""
    kills = [(row["relay"], row["at"]) for row in rows if row["what"] == "relay" and row["now"] == "kill"]
    shut = [row for row in rows if row["what"] == "met" or row["what"] == "dropped"]
    alone = [row for row in shut if not any(
        row["relay"] == relay and abs(row["at"] - at) < CLEAR * 1e9 for relay, at in kills)]
    upgrades = sum(row["what"] == "relay" and row["now"] == "upgrading" for row in rows)
    return len(alone), upgrades - len(kills)


@click.command()
@click.option("--upgrades", default=200)
@click.option("--seed", default=1)
def main(upgrades, seed):
    lasts = f"{int(2 + upgrades * EVERY / RELAYS)}s"
    day = load(DAY, seed=seed, lasts=lasts, fault=list(drawn(upgrades, seed)),
               relays={"count": RELAYS, "noticed_after": "200ms"})
    with tempfile.TemporaryDirectory() as folder:
        result = trio.run(play, day, Path(folder) / "town")
    told, (met, clear) = figures(result), doors(result.rows)
    done = Counter(row["now"] for row in result.rows if row["what"] == "relay")
    click.echo(f"{done['upgrading']} upgrades, {done['kill']} kills; {told['all']['messages']} messages, "
               f"{told['all']['delivered']} delivered; {met} met a closed door in {clear} upgrades without a "
               "kill")
    for broken in told["broken"]:
        click.echo(f"BROKEN: {broken}")
    if told["void"]:
        click.echo("the town itself ran late: this says nothing")
    raise SystemExit(3 if told["void"] else bool(told["broken"] or met > 2 * clear))


if __name__ == "__main__":
    main()
