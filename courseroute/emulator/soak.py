"""Runs days with many seeds, several in parallel, and keeps those that break a rule.

Each day runs in a process of its own (`courseroute town run`), so that a day that fails or hangs affects no
other. Called by the command line: `await soak(plan, on_played)`.
"""

import shlex
import shutil
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import orjson
import trio

from courseroute.emulator.scenario import load, scheduled_faults

MOST_VOID = 0.05  # of all days; a soak with more void days has failed
KEPT, BROKEN, VOID, FAILED = "kept", "broken", "void", "failed"
OUTCOME_OF_EXIT = {0: KEPT, 1: BROKEN, 3: VOID}


class Plan(msgspec.Struct, frozen=True):
    """Which days to run: each file with each seed. `folder` keeps the days that broke a rule or failed."""

    days: tuple[str, ...]
    seeds: range
    jobs: int
    folder: Path
    relay: str | None = None  # command line of another relay; {seed} is replaced by the seed
    within_s: float = 600.0  # a day that takes longer is killed and counts as failed
    program: tuple[str, ...] = (sys.executable, "-m", "courseroute")  # the command that runs a day


class Played(msgspec.Struct, frozen=True):
    """The outcome of one day. `broken`: the rule of each violation."""

    day: str
    seed: int
    outcome: str
    broken: tuple[str, ...]
    kinds: tuple[str, ...]  # kinds of the day's faults
    folder: str | None  # if the day is kept
    again: str  # the command that repeats it


class Summary(msgspec.Struct):
    """Totals over all days that were run."""

    outcomes: Counter = msgspec.field(default_factory=Counter)
    rules: Counter = msgspec.field(default_factory=Counter)
    kinds: Counter = msgspec.field(default_factory=Counter)  # days with such a fault that were not void
    unwell: list[Played] = []

    def add(self, played):
        self.outcomes[played.outcome] += 1
        self.rules.update(played.broken)
        if played.outcome != VOID:
            self.kinds.update(played.kinds)
        if played.outcome in (BROKEN, FAILED):
            self.unwell.append(played)

    def is_good(self):
        """Whether no day broke a rule or failed and few enough were void."""
        return not self.unwell and self.outcomes[VOID] <= MOST_VOID * self.outcomes.total()


async def soak(plan, on_played=lambda played: None):
    """Runs all days and returns the Summary. `on_played` is called with each Played as its day ends."""
    summary, limiter = Summary(), trio.CapacityLimiter(plan.jobs)

    async def one(day, seed):
        async with limiter:
            played = await play_one(plan, day, seed)
        summary.add(played)
        on_played(played)

    async with trio.open_nursery() as nursery:
        for seed in plan.seeds:
            for day in plan.days:
                nursery.start_soon(one, day, seed)
    return summary


async def play_one(plan, day, seed):
    """Runs one day in a process and returns its Played."""
    folder = plan.folder / f"{Path(day).stem}-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    arguments = ["town", "run", day, "--seed", str(seed)]
    if plan.relay:
        arguments += ["--relay", plan.relay.replace("{seed}", str(seed))]
    command = [*plan.program, *arguments, "--json", "--folder", str(folder)]
    ended = None
    with trio.move_on_after(plan.within_s):
        ended = await trio.run_process(
            command, capture_stdout=True, capture_stderr=True, check=False, stdin=subprocess.DEVNULL
        )
    outcome, figures = result_of(ended)
    if outcome == FAILED and ended:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "errors").write_bytes(ended.stderr)
    if outcome in (KEPT, VOID):
        shutil.rmtree(folder, ignore_errors=True)
    return Played(
        day=day,
        seed=seed,
        outcome=outcome,
        broken=tuple(one["rule"] for one in figures["broken"]) if outcome == BROKEN else (),
        kinds=kinds_of(day, seed),
        folder=str(folder) if folder.exists() else None,
        again="courseroute " + shlex.join(arguments),
    )


def result_of(ended):
    """(outcome, figures) of a process that ran a day; without valid output, or after a timeout, it failed."""
    outcome = OUTCOME_OF_EXIT.get(ended and ended.returncode, FAILED)
    try:
        return outcome, orjson.loads(ended.stdout if outcome != FAILED else b"{}")
    except orjson.JSONDecodeError:
        return FAILED, {}


def kinds_of(day, seed):
    """The kinds of the faults in a day's file with that seed."""
    return tuple(sorted({scheduled.kind for scheduled in scheduled_faults(load(day, seed=seed))}))


def seeds_of(text):
    """A range from "11..40" or "7"; ValueError if it is malformed."""
    first, _, last = text.partition("..")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise ValueError("the last seed comes before the first")
    return seeds
