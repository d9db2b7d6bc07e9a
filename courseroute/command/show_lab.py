"""What people see of the laboratory: tables by rich, a bar while cells are played."""
import contextlib

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from courseroute.command.show import MOST_BROKEN, OUT, table
from courseroute.lab import results


@contextlib.contextmanager
def progress(wanted):
    """Told (done, all): a bar on a terminal, a line now and then elsewhere."""
    if not wanted:
        yield lambda done, count: None
        return
    if not OUT.is_terminal:
        yield lambda done, count: OUT.print(f"{done} of {count} cells") if done in (0, count) else None
        return
    columns = TextColumn("cells"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()
    with Progress(*columns, console=OUT) as bar:
        task = bar.add_task("cells", total=None)
        yield lambda done, count: bar.update(task, completed=done, total=count)


def number(value):
    if value is None:
        return "-"
    return f"{value:,.3f}".rstrip("0").rstrip(".") if isinstance(value, float) else f"{value:,}"


def rules(found):
    for cell, rule, times in found[:MOST_BROKEN]:
        place = f"{results.label(cell.levels)}, seed {cell.seed} ({cell.name})"
        OUT.print(f"broken: {rule}, {times} times, {place}", markup=False)


def run(one, played):
    """A run's tables; what broke a rule comes first."""
    rules(results.broken(played))
    if gone := results.void(played):
        OUT.print(f"{len(gone)} cells are void: the town ran late there")
    if len(played) < len(one.cells):
        OUT.print(f"{len(one.cells) - len(played)} of {len(one.cells)} cells were not played yet")
    OUT.print(table(f"{one.name}: {one.study.about}", ["levels", "plays", *one.study.measures], [
        [results.label(levels), plays, *(f"{number(told[name][1])} ({number(told[name][0])} to "
                                         f"{number(told[name][2])})" for name in one.study.measures)]
        for levels, plays, told in results.rows(one, played)]))
    if one.study.hypotheses:
        OUT.print(table("Hypotheses", ["says", "where", "held"], [
            [says, where, f"{held} of {plays}"]
            for says, where, held, plays in results.hypotheses(one, played)]))
    if found := results.differences(one, played):
        differences([(levels, name, told) for _, levels, name, told in found], [],
                    f"Against {results.label(found[0][0])}")


def differences(rows, bad, title="Differences"):
    rules(bad)
    columns = ["levels", "measure", "pairs", "before", "after", "difference", "95% interval", ""]
    OUT.print(table(title, columns, [
        [results.label(levels), name, told.pairs, *map(number, (told.before, told.after, told.median)),
         f"{number(told.low)} to {number(told.high)}", told.word] for levels, name, told in rows]))


def runs(rows):
    OUT.print(table("Runs", ["run", "about", "ended", "cells", "revision"], [
        [name, about, "yes" if ended else "no", cells, revision]
        for name, about, _, ended, cells, revision in rows]))


def play(told):
    rate, seed, held, figures = told
    OUT.print(f"{rate:g} a second, seed {seed}: {'held' if held else 'did not hold'}; "
              + ", ".join(f"{name} {number(value)}" for name, value in figures.items()), markup=False)


def bound(found):
    OUT.print("nothing held" if found.holds is None else f"holds at {found.holds:g} messages a second" + (
        "" if found.fails is None else f", not at {found.fails:g}") + f" ({found.plays} plays)")
