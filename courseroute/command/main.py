"""The command `courseroute` and its sub-commands. Exit codes: 0 success, 1 a rule was broken, 2 an invalid
file or call, 3 a void day, because the emulator itself ran late."""

import os
import shlex
import shutil
import sys
import tempfile
from importlib import metadata
from pathlib import Path

import click
import msgspec
import orjson

from courseroute.checked import Bad, made, read
from courseroute.command import show
from courseroute.command.soak import town_soak
from courseroute.run.setup import Setup

FILE_ARGUMENT = click.argument("file", type=click.Path(dir_okay=False))
FOLDER_ARGUMENT = click.argument("folder", type=click.Path(exists=True, file_okay=False))
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")


class CommandGroup(click.Group):
    """The top-level command group, which reports invalid files without a traceback."""

    def invoke(self, ctx):
        """Runs a command. For an invalid file it prints one line per problem and exits with 2."""
        try:
            return super().invoke(ctx)
        except Bad as error:
            click.echo(str(error), err=True)
            ctx.exit(2)


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
def cli():
    """Dispatch HTTP messages to destinations, and test this in an emulator."""


@cli.command()
@click.option("--json", "as_json", is_flag=True)
def version(as_json):
    """Print the versions of courseroute, Python and the libraries."""
    versions = {
        "courseroute": installed_version("courseroute"),
        "python": sys.version.split()[0],
        **{name: installed_version(name) for name in ("trio", "h11", "orjson", "msgspec")},
    }
    click.echo(orjson.dumps(versions) if as_json else "\n".join(" ".join(pair) for pair in versions.items()))


def installed_version(name):
    """The version of an installed package; "missing" if it is not installed."""
    try:
        return metadata.version(name)
    except metadata.PackageNotFoundError:  # courseroute runs from a source checkout
        return "0.2.0" if name == "courseroute" else "missing"


@cli.command()
@FILE_ARGUMENT
def serve(file):
    """Run one relay with the configuration FILE."""
    from courseroute.__main__ import start
    from courseroute.run.logbook import BOOK

    BOOK.structured = True
    os.environ["ROUTER_CONFIG"] = str(file)
    sys.exit(start())


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Print the completion script for SHELL; source it in your shell's startup file."""
    from click.shell_completion import get_completion_class

    click.echo(get_completion_class(shell)(cli, {}, "courseroute", "_COURSEROUTE_COMPLETE").source())


# Configuration.


@cli.group()
def config():
    """Check and show a relay's configuration."""


@config.command("check")
@FILE_ARGUMENT
def config_check(file):
    """List every problem in FILE; exit with 2 if there is any."""
    setup = made(read(file), Setup, file)
    click.echo(f"{file}: good, relay {setup.name}, {len(setup.lanes)} lanes")


@config.command("show")
@FILE_ARGUMENT
@JSON_OPTION
def config_show(file, as_json):
    """Print the effective configuration: FILE with all defaults filled in."""
    settings = with_defaults(made(read(file), Setup, file))
    click.echo(orjson.dumps(settings) if as_json else msgspec.toml.encode(settings).decode(), nl=False)


def with_defaults(form):
    """A Form as a plain map, including default values; fields that are None are left out."""
    if isinstance(form, msgspec.Struct):
        return {
            name: with_defaults(value)
            for name, value in msgspec.structs.asdict(form).items()
            if value is not None
        }
    return {name: with_defaults(value) for name, value in form.items()} if isinstance(form, dict) else form


@config.command("schema")
def config_schema():
    """Print the JSON schema of the configuration file."""
    click.echo(orjson.dumps(msgspec.json.schema(Setup), option=orjson.OPT_INDENT_2))


# A relay's folder.


@cli.group("log")
def log_group():
    """Inspect a relay's folder."""


@log_group.command("show")
@FOLDER_ARGUMENT
@click.option("--records", is_flag=True, help="Print every record instead of the resulting state.")
@JSON_OPTION
def log_show(folder, records, as_json):
    """Print the open messages, pending notices and recent ends in FOLDER.

    Reads only, so the relay may be running.
    """
    from courseroute.journal import tools

    content = list(tools.read_rows(folder)) if records else tools.folder_state(folder)
    if as_json:
        click.echo(orjson.dumps(content))
    else:
        (show.print_records if records else show.print_state)(content)


@cli.group()
def journal():
    """Check and repair the journal in a relay's folder."""


@journal.command("verify")
@FOLDER_ARGUMENT
@JSON_OPTION
def journal_verify(folder, as_json):
    """List every unreadable byte range; exit with 1 if there is any."""
    from courseroute.journal import tools

    damaged = tools.verify(folder)
    click.echo(
        orjson.dumps(damaged)
        if as_json
        else "\n".join("{segment}: {kind} at byte {at}, {bytes} bytes".format(**item) for item in damaged)
        or "good"
    )
    sys.exit(bool(damaged))


@journal.command("stat")
@FOLDER_ARGUMENT
@JSON_OPTION
def journal_stat(folder, as_json):
    """Print the record counts and sizes of each segment."""
    from courseroute.journal import tools

    statistics = tools.stat(folder)
    if as_json:
        click.echo(orjson.dumps(statistics))
    else:
        show.print_segments(statistics)


@journal.command("dump")
@FOLDER_ARGUMENT
def journal_dump(folder):
    """Print every record as a JSON line."""
    from courseroute.journal import tools

    for line in tools.dump_lines(folder):
        click.echo(line)


@journal.command("compact")
@FOLDER_ARGUMENT
@click.option("--disk-mb", default=64.0, show_default=True)
def journal_compact(folder, disk_mb):
    """Compact a stopped relay's FOLDER to its live records."""
    before, after = run_offline(lambda tools: tools.compact(folder, int(disk_mb * 1_000_000)))
    click.echo(f"{before} -> {after} bytes")


@journal.command("salvage")
@FOLDER_ARGUMENT
@click.argument("target", type=click.Path(file_okay=False))
def journal_salvage(folder, target):
    """Write the readable records of a stopped relay's FOLDER to a new folder TARGET."""
    for stretch in run_offline(lambda tools: tools.salvage(folder, target)):
        click.echo("left out: {segment}: {kind} at byte {at}, {bytes} bytes".format(**stretch))


def run_offline(operation):
    """Calls `operation` with the journal tools; prints the error and exits with 2 if the folder is in use,
    has an unsupported version or cannot be accessed."""
    from courseroute.journal import frames, lock, tools

    try:
        return operation(tools)
    except (lock.Held, frames.Newer, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)


# The emulator.


@cli.group()
def town():
    """Emulate destinations, discovery, the platform and clients around relays on this machine."""


@town.command("check")
@FILE_ARGUMENT
@JSON_OPTION
def town_check(file, as_json):
    """List every problem in a day's FILE; print a summary of the day."""
    from courseroute.emulator.scenario import arrivals, destinations, load, scheduled_faults

    day = load(file)
    summary = {
        "about": day.about,
        "seed": day.seed,
        "relays": day.relays.count,
        "messages": len(arrivals(day)),
        "destinations": len(destinations(day)),
        "faults": [
            {
                "kind": scheduled.kind,
                "begin_ms": scheduled.begin // 10**6,
                "end_ms": scheduled.end // 10**6,
                "names": list(scheduled.targets),
            }
            for scheduled in scheduled_faults(day)
        ],
    }
    click.echo(
        orjson.dumps(summary)
        if as_json
        else (
            f"{file}: good, {summary['messages']} messages to {summary['destinations']} destinations through "
            f"{summary['relays']} relays, {len(summary['faults'])} faults"
        )
    )


@town.command("run")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="Override the seed in the file.")
@click.option("--workers", type=click.IntRange(1, 16), help="Processes that run destinations and clients.")
@click.option("--relay", "command", help="Command line of another relay, which reads ROUTER_CONFIG.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep the relays' folders, the logs and the ledger here; without it nothing is kept.",
)
@JSON_OPTION
def town_run(files, seed, workers, command, folder, as_json):
    """Run the day in each FILE. Exit with 1 if a rule is broken, 3 if the emulator itself ran late."""
    from courseroute.emulator.scenario import load

    days = [(Path(file), load(file, seed=seed, workers=workers)) for file in files]
    reports = {}
    for file, day in days:
        reports[file.stem] = run_one_day(day, file.stem, command, folder, as_json)
    if as_json:
        click.echo(orjson.dumps(reports if len(reports) > 1 else next(iter(reports.values()))))
    elif len(reports) > 1:
        show.print_days(reports)
    all_reports = reports.values()
    sys.exit(
        1
        if any(report["broken"] and not report["void"] for report in all_reports)
        else 3
        if any(report["void"] for report in all_reports)
        else 0
    )


town.add_command(town_soak)


def run_one_day(day, name, command, folder, quiet):
    """Runs a day, prints its report unless `quiet`, and returns the report as a map. Its files are written to
    `folder`/`name`, or to a temporary folder that is removed if `folder` is None."""
    import trio

    from courseroute.emulator.play import run_day
    from courseroute.emulator.report import figures

    keep = folder is not None
    day_folder = folder / name if keep else Path(tempfile.mkdtemp(prefix="courseroute-town-"))
    if keep and day_folder.exists() and any(day_folder.iterdir()):
        raise click.UsageError(f"{day_folder} is not empty")
    try:
        with show.live_progress(name, quiet) as progress:
            result = trio.run(
                run_day, day, day_folder, shlex.split(command) if command else None, progress, keep
            )
        report = figures(result)
        if keep:
            (day_folder / "figures.json").write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))
        if not quiet:
            show.print_day(name, report)
        return report
    finally:
        if not keep:
            shutil.rmtree(day_folder, ignore_errors=True)


if __name__ == "__main__":
    cli(prog_name="courseroute")
