"""The highest rate at which named conditions hold: plays a day at rates that `search` asks for."""
import tempfile
from pathlib import Path

import trio

from courseroute.checked import made
from courseroute.lab import measures
from courseroute.lab.search import Search
from courseroute.lab.study import with_levels
from courseroute.town.play import play
from courseroute.town.report import figures
from courseroute.town.script import Day

RATE = "traffic.rate"


def capacity(day, conditions, low, high, repeats=3, within=0.05, seed=1, command=None, told=None):
    """(Bound, [(rate, seed, held, {measure: value})]); a broken rule, or a void town, holds no condition.
    `told` is told each play. ValueError for a condition that is none."""
    names = [measures.condition(text)[0] for text in conditions]
    search, plays = Search(low, high, repeats, within), []
    while (rate := search.next()) is not None:
        number = len(search.told.get(rate, ()))
        found = play_once(day, rate, seed + number, command)
        held = not found["void"] and not found["broken"] and all(
            measures.holds(found, text) for text in conditions)
        search.tell(rate, held)
        plays.append((rate, seed + number, held, {name: measures.value(found, name) for name in names}
                      | {"broken": len(found["broken"]), "void": found["void"]}))
        if told:
            told(plays[-1])
    return search.result(), plays


def play_once(day, rate, seed, command):
    form = made(with_levels(day, [(RATE, float(rate))], seed), Day)
    with tempfile.TemporaryDirectory(prefix="courseroute-capacity-") as folder:
        return figures(trio.run(play, form, Path(folder), command, None, False))
