"""Runs an experiment: its cells in their random order, several at a time where cores allow, cut off and
resumed.

Called by the command line. Each cell is a process of its own; a cell that fails is named and stays unplayed,
the others go on.
"""
import os
import subprocess
import sys
from collections import deque

import trio

from courseroute.lab.study import BUILD


def jobs(study, cores=None):
    """How many cells may be played at once so that none disturbs another."""
    return max(1, (cores or os.cpu_count() or 1) // study.cores)


async def play_all(run, commands, progress, at_once=None):
    """Plays every cell that is missing; the names of those that failed, with the end of what they said.

    `commands`: {revision: command of its relay}; `progress` is told (cells done, cells in all).
    """
    waiting, failed = deque(run.missing()), {}
    done = len(run.cells) - len(waiting)
    progress(done, len(run.cells))

    async def worker():
        nonlocal done
        while waiting:
            cell = waiting.popleft()
            said = await play_one(run, cell, commands.get(dict(cell.levels).get(BUILD), ()))
            if said is not None:
                failed[cell.name] = said
            done += 1
            progress(done, len(run.cells))

    async with trio.open_nursery() as nursery:
        for _ in range(at_once or jobs(run.study)):
            nursery.start_soon(worker)
    return failed


async def play_one(run, cell, command):
    """Plays one cell; None, or the end of what its process said where it failed."""
    words = [sys.executable, "-m", "courseroute.lab.cell", str(run.folder), str(cell.number), *command]
    environ = os.environ | {"PYTHONPATH": os.pathsep.join([os.getcwd(), *sys.path])}
    told = await trio.run_process(words, env=environ, check=False, capture_stderr=True,
                                  stdout=subprocess.DEVNULL, deliver_cancel=end)
    if told.returncode == 0 and run.done(cell):
        return None
    return told.stderr.decode(errors="replace")[-600:] or f"exit code {told.returncode}"


async def end(process):
    """A cell is told to end, so that its town ends what it started; after 5 s it is killed."""
    process.terminate()
    with trio.move_on_after(5):
        await process.wait()
        return
    process.kill()
