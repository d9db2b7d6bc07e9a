"""`courseroute town soak`: runs days with many seeds and prints a summary."""

import sys
import tempfile
from pathlib import Path

import click
import msgspec
import orjson
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from courseroute.command import show


class Seeds(click.ParamType):
    name = "A..B"

    def convert(self, value, param, ctx):
        from courseroute.town.soak import seeds_of

        try:
            return seeds_of(value)
        except ValueError as cause:
            self.fail(f"{value!r} is no range of seeds such as 1..50: {cause}", param, ctx)


@click.command("soak")
@click.argument("days", nargs=-1, required=True, type=click.Path(dir_okay=False, exists=True))
@click.option("--seeds", type=Seeds(), default="1..10", show_default=True, help="First and last seed.")
@click.option("--jobs", type=click.IntRange(1, 32), default=2, show_default=True, help="Days side by side.")
@click.option("--relay", help="Another relay's command line; {seed} in it stands for the seed.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Where days that break a rule are kept; else a new folder of the system's.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")
def town_soak(days, seeds, jobs, relay, folder, as_json):
    """Play each of the DAYS with each seed. Exit 1 on a broken rule, or where over 5 in 100 days are void."""
    import trio

    from courseroute.town.soak import Plan, soak

    folder = folder or Path(tempfile.mkdtemp(prefix="courseroute-soak-"))
    plan = Plan(days=days, seeds=seeds, jobs=jobs, folder=folder, relay=relay)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=show.OUT, disable=as_json or not show.OUT.is_terminal) as progress:
        task = progress.add_task("days", total=len(days) * len(seeds))
        summary = trio.run(soak, plan, lambda played: progress.advance(task))
    if as_json:
        click.echo(orjson.dumps(msgspec.to_builtins(summary)))
    else:
        show_summary(summary)
    sys.exit(0 if summary.is_good() else 1)


def show_summary(summary):
    from courseroute.town.soak import MOST_VOID, VOID

    for title, counts in (
        ("Days", summary.outcomes),
        ("Rules broken", summary.rules),
        ("Days with a fault of kind", summary.kinds),
    ):
        if counts:
            show.OUT.print(show.table(title, ["", "count"], sorted(counts.items())))
    for played in summary.unwell:
        click.echo(f"{played.outcome}: {played.again}  (kept in {played.folder})")
    if summary.outcomes[VOID] > MOST_VOID * summary.outcomes.total():
        click.echo("too many days ran late and say nothing: run fewer side by side")
