"""One cell played in a process of its own, and kept: python -m courseroute.lab.cell RUN NUMBER [COMMAND...]

Started by `bench`. A day whose town ran late is played again, up to three times; the last one is kept as it
is.
"""
import sys
import tempfile
from pathlib import Path

import trio

from courseroute.checked import made
from courseroute.lab.store import Run, keep_cell
from courseroute.lab.study import with_levels
from courseroute.town.play import play
from courseroute.town.report import figures
from courseroute.town.script import Day

TRIES = 3


def play_cell(run, cell, command=None):
    day = made(with_levels(run.day, cell.levels, cell.seed), Day, run.study.day)
    told, tried = {"void": True}, 0
    while told["void"] and tried < TRIES:
        tried += 1
        with tempfile.TemporaryDirectory(prefix="courseroute-cell-") as folder:
            result = trio.run(play, day, Path(folder), command, None, run.study.ledgers)
        told = figures(result)
    told |= {"levels": dict(cell.levels), "repeat": cell.repeat, "tries": tried}
    keep_cell(run, cell, told, result.rows if run.study.ledgers else None)
    return told


def main(folder, number, *command):
    run = Run(folder)
    cell = next(cell for cell in run.cells if cell.number == int(number))
    play_cell(run, cell, list(command) or None)


if __name__ == "__main__":
    main(*sys.argv[1:])
