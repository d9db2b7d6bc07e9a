"""`courseroute town soak`: runs days with many seeds and prints a summary."""

import sys
import tempfile
from pathlib import Path

import click
import msgspec
import orjson
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from courseroute.command import show


class SeedRange(click.ParamType):
    """A range of seeds, written as first..last."""

    name = "A..B"

    def convert(self, value, param, ctx):
        from courseroute.emulator.soak import seeds_of

        try:
            return seeds_of(value)
        except ValueError as error:
            self.fail(f"{value!r} is no range of seeds such as 1..50: {error}", param, ctx)


@click.command("soak")
@click.argument("days", nargs=-1, required=True, type=click.Path(dir_okay=False, exists=True))
@click.option("--seeds", type=SeedRange(), default="1..10", show_default=True, help="First and last seed.")
@click.option(
    "--jobs", type=click.IntRange(1, 32), default=2, show_default=True, help="Days run in parallel."
)
@click.option("--relay", help="Command line of another relay; {seed} is replaced by the seed.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep days that break a rule or fail here; default: a new temporary folder.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")
def town_soak(days, seeds, jobs, relay, folder, as_json):
    """Run each of the DAYS with each seed. Exit with 1 if a rule is broken or over 5% of days are void."""
    import trio

    from courseroute.emulator.soak import Plan, soak

    folder = folder or Path(tempfile.mkdtemp(prefix="courseroute-soak-"))
    plan = Plan(days=days, seeds=seeds, jobs=jobs, folder=folder, relay=relay)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(
        *columns, console=show.CONSOLE, disable=as_json or not show.CONSOLE.is_terminal
    ) as progress:
        task = progress.add_task("days", total=len(days) * len(seeds))
        summary = trio.run(soak, plan, lambda played: progress.advance(task))
    if as_json:
        click.echo(orjson.dumps(msgspec.to_builtins(summary)))
    else:
        show_summary(summary)
    sys.exit(0 if summary.is_good() else 1)


def show_summary(summary):
    """Prints counts of outcomes, broken rules and fault kinds, and how to reproduce each failure."""
    from courseroute.emulator.soak import MOST_VOID, VOID

    for title, counts in (
        ("Days", summary.outcomes),
        ("Rules broken", summary.rules),
        ("Days with a fault of kind", summary.kinds),
    ):
        if counts:
            show.CONSOLE.print(show.table(title, ["", "count"], sorted(counts.items())))
    for played in summary.unwell:
        click.echo(f"{played.outcome}: {played.again}  (kept in {played.folder})")
    if summary.outcomes[VOID] > MOST_VOID * summary.outcomes.total():
        click.echo("too many days ran late and say nothing: run fewer side by side")
