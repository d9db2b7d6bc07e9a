"""courseroute lab: experiments, loads and what came of them."""
import shlex
import sys
from pathlib import Path

import click
import orjson

ROOT = click.option("--results", "root", default="results", show_default=True, help="The folder of all runs.",
                    type=click.Path(file_okay=False, path_type=Path))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")


@click.group()
def lab():
    """Ask questions of towns: experiments, loads, comparisons."""


@lab.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def check(file):
    """Name every mistake in a study's FILE; print what it would play."""
    from courseroute.lab.study import cells, load, treatments
    study, _ = load(file)
    click.echo(f"{file}: good, {len(treatments(study))} treatments, {len(cells(study))} cells")


@lab.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@ROOT
@click.option("--at-once", type=click.IntRange(1), help="Cells at a time; else as many as the cores allow.")
@click.option("--fresh", is_flag=True, help="Begin anew, though a run of the same input was cut off.")
@AS_JSON
def run(file, root, at_once, fresh, as_json):
    """Play a study's FILE; a run of the same input that was cut off goes on. Exit 1 on a broken rule, 2
    where a cell could not be played."""
    import trio

    from courseroute.command import show_lab as show
    from courseroute.lab import bench, results
    from courseroute.lab.builds import Builds
    from courseroute.lab.store import Store
    from courseroute.lab.study import BUILD, load
    study, day = load(file)
    store = Store(root)
    builds = Builds(Path.cwd(), root / "builds").ready(study.factors.get(BUILD, []))
    now = None if fresh else store.unfinished(study, day)
    if now is None:
        now = store.create(study, day, {name: commit for name, (commit, _) in builds.items()})
    commands = {name: command for name, (_, command) in builds.items()}
    with show.progress(not as_json) as progress:
        failed = trio.run(bench.play_all, now, commands, progress, at_once)
    for name, said in failed.items():
        click.echo(f"{name} could not be played: {said}", err=True)
    if not failed:
        store.end(now)
    table = now.table()
    if as_json:
        click.echo(orjson.dumps(plain(now, table)))
    else:
        show.run(now, table)
    sys.exit(2 if failed else bool(results.broken(table)))


def plain(run, table):
    """A run's tables as plain values."""
    from courseroute.lab import results
    return {
        "run": run.name, "about": run.study.about, "cells": len(run.cells), "played": len(table),
        "broken": [{"cell": cell.name, "rule": rule, "times": times}
                   for cell, rule, times in results.broken(table)],
        "void": [cell.name for cell in results.void(table)],
        "rows": [{"levels": dict(levels), "plays": plays, "measures": told}
                 for levels, plays, told in results.rows(run, table)],
        "hypotheses": [dict(zip(("says", "where", "held", "plays"), row, strict=True))
                       for row in results.hypotheses(run, table)],
        "differences": [{"levels": dict(levels), "measure": name, **told._asdict()}
                        for _, levels, name, told in results.differences(run, table)]}


@lab.command("list")
@ROOT
@AS_JSON
def list_runs(root, as_json):
    """All runs, the newest first."""
    from courseroute.command import show_lab as show
    from courseroute.lab.store import Store
    rows = Store(root).rows()
    if as_json:
        names = ("name", "about", "started", "ended", "cells", "revision")
        click.echo(orjson.dumps([dict(zip(names, row, strict=True)) for row in rows]))
    else:
        show.runs(rows)


@lab.command("show")
@click.argument("name")
@ROOT
@AS_JSON
def show_run(name, root, as_json):
    """The tables of run NAME (or the beginning of a name)."""
    from courseroute.command import show_lab as show
    from courseroute.lab.store import Store
    found = Store(root).run(name)
    table = found.table()
    click.echo(orjson.dumps(plain(found, table))) if as_json else show.run(found, table)


@lab.command("compare")
@click.argument("one")
@click.argument("two")
@ROOT
@AS_JSON
def compare_runs(one, two, root, as_json):
    """Run TWO against run ONE: cells of the same levels and seed are pairs."""
    from courseroute.command import show_lab as show
    from courseroute.lab import results
    from courseroute.lab.store import Store
    store = Store(root)
    first, second = store.run(one), store.run(two)
    rows = results.between(first, second)
    bad = [*results.broken(first.table()), *results.broken(second.table())]
    if as_json:
        click.echo(orjson.dumps([{"levels": dict(levels), "measure": name, **told._asdict()}
                                 for levels, name, told in rows]))
    else:
        show.differences(rows, bad)


@lab.command("report")
@click.argument("name")
@ROOT
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path),
              help="Else report.html in the run's folder.")
def report(name, root, out):
    """Write run NAME's report: one HTML page with its charts."""
    from courseroute.lab.pages import page
    from courseroute.lab.store import Store
    found = Store(root).run(name)
    out = out or found.folder / "report.html"
    out.write_text(page(found))
    click.echo(str(out))


@lab.command("prune")
@ROOT
@click.option("--keep", default=20, show_default=True, type=click.IntRange(0),
              help="So many of the newest stay.")
def prune(root, keep):
    """Remove old runs."""
    from courseroute.lab.store import Store
    gone = Store(root).prune(keep)
    click.echo(f"{len(gone)} runs removed")


@lab.command("capacity")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--holds", "conditions", multiple=True, required=True,
              help="A condition, as \"all.p99_ms < 500\"; more than one may be given.")
@click.option("--low", type=float, required=True, help="Messages a second to begin with.")
@click.option("--high", type=float, required=True)
@click.option("--repeats", default=3, show_default=True, type=click.IntRange(1),
              help="Plays of a rate; the most decide.")
@click.option("--within", default=0.05, show_default=True,
              help="The bounds' distance, as a share, that is enough.")
@click.option("--seed", default=1, show_default=True)
@click.option("--relay", "command", help="Another relay's command line.")
@AS_JSON
def find_capacity(file, conditions, low, high, repeats, within, seed, command, as_json):
    """The highest rate of a day's FILE at which all conditions and all rules hold."""
    from courseroute.checked import made
    from courseroute.command import show_lab as show
    from courseroute.lab.capacity import capacity
    from courseroute.town.script import Day, with_base
    day = with_base(str(file), ())
    made(day, Day, str(file))
    try:
        bound, plays = capacity(day, conditions, low, high, repeats, within, seed,
                                shlex.split(command) if command else None, None if as_json else show.play)
    except ValueError as cause:
        raise click.UsageError(str(cause)) from None
    if as_json:
        click.echo(orjson.dumps({"holds": bound.holds, "fails": bound.fails, "plays": [
            {"rate": rate, "seed": number, "held": held, **told} for rate, number, held, told in plays]}))
    else:
        show.bound(bound)
    sys.exit(bound.holds is None)
