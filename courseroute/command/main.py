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

FILE = click.argument("file", type=click.Path(dir_okay=False))
FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")


class Command(click.Group):
    def invoke(self, ctx):
        """Prints one line for each mistake of an invalid file, not a traceback, and exits with 2."""
        try:
            return super().invoke(ctx)
        except Bad as cause:
            click.echo(str(cause), err=True)
            ctx.exit(2)


@click.group(cls=Command, context_settings={"help_option_names": ["-h", "--help"]})
def cli():
    """Dispatches notifications to outside receivers, and tests this in an emulator."""


@cli.command()
@click.option("--json", "as_json", is_flag=True)
def version(as_json):
    """Print the version and what it runs on."""
    told = {
        "courseroute": version_of("courseroute"),
        "python": sys.version.split()[0],
        **{name: version_of(name) for name in ("trio", "h11", "orjson", "msgspec")},
    }
    click.echo(orjson.dumps(told) if as_json else "\n".join(" ".join(pair) for pair in told.items()))


def version_of(name):
    try:
        return metadata.version(name)
    except metadata.PackageNotFoundError:  # run from a checkout, not installed
        return "0.2.0" if name == "courseroute" else "missing"


@cli.command()
@FILE
def serve(file):
    """Run one relay, set by the configuration FILE."""
    from courseroute.__main__ import start
    from courseroute.run.logbook import BOOK

    BOOK.structured = True
    os.environ["ROUTER_CONFIG"] = str(file)
    sys.exit(start())


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Print the completion script for SHELL; source it from your shell's start file."""
    from click.shell_completion import get_completion_class

    click.echo(get_completion_class(shell)(cli, {}, "courseroute", "_COURSEROUTE_COMPLETE").source())


# Configuration.


@cli.group()
def config():
    """Look at a relay's configuration."""


@config.command("check")
@FILE
def config_check(file):
    """Name every mistake in FILE; exit 2 where there is one."""
    setup = made(read(file), Setup, file)
    click.echo(f"{file}: good, relay {setup.name}, {len(setup.lanes)} lanes")


@config.command("show")
@FILE
@AS_JSON
def config_show(file, as_json):
    """Print FILE as the relay reads it, with all defaults."""
    told = everything(made(read(file), Setup, file))
    click.echo(orjson.dumps(told) if as_json else msgspec.toml.encode(told).decode(), nl=False)


def everything(thing):
    """A Form as a plain map with its defaults; fields without a value are absent."""
    if isinstance(thing, msgspec.Struct):
        return {
            name: everything(value)
            for name, value in msgspec.structs.asdict(thing).items()
            if value is not None
        }
    return {name: everything(value) for name, value in thing.items()} if isinstance(thing, dict) else thing


@config.command("schema")
def config_schema():
    """Print the JSON schema of a configuration."""
    click.echo(orjson.dumps(msgspec.json.schema(Setup), option=orjson.OPT_INDENT_2))


# A relay's folder.


@cli.group("log")
def log_group():
    """Look into a relay's folder."""


@log_group.command("show")
@FOLDER
@click.option("--records", is_flag=True, help="Every record, not what is left of them.")
@AS_JSON
def log_show(folder, records, as_json):
    """What FOLDER holds: messages, owed notices, recent ends. Reads only, also of a running relay."""
    from courseroute.journal import tools

    told = list(tools.rows(folder)) if records else tools.state(folder)
    if as_json:
        click.echo(orjson.dumps(told))
    else:
        (show.records if records else show.state)(told)


@cli.group()
def journal():
    """Check and mend the journal in a relay's folder."""


@journal.command("verify")
@FOLDER
@AS_JSON
def journal_verify(folder, as_json):
    """Name every stretch that can't be read; exit 1 where there is one."""
    from courseroute.journal import tools

    bad = tools.verify(folder)
    click.echo(
        orjson.dumps(bad)
        if as_json
        else "\n".join("{segment}: {kind} at byte {at}, {bytes} bytes".format(**one) for one in bad) or "good"
    )
    sys.exit(bool(bad))


@journal.command("stat")
@FOLDER
@AS_JSON
def journal_stat(folder, as_json):
    """Figures of each segment."""
    from courseroute.journal import tools

    told = tools.stat(folder)
    if as_json:
        click.echo(orjson.dumps(told))
    else:
        show.segments(told)


@journal.command("dump")
@FOLDER
def journal_dump(folder):
    """Every record as a JSON line."""
    from courseroute.journal import tools

    for line in tools.lines(folder):
        click.echo(line)


@journal.command("compact")
@FOLDER
@click.option("--disk-mb", default=64.0, show_default=True)
def journal_compact(folder, disk_mb):
    """Keep only what is live, in a stopped relay's FOLDER."""
    before, after = mend(lambda tools: tools.compact(folder, int(disk_mb * 1_000_000)))
    click.echo(f"{before} -> {after} bytes")


@journal.command("salvage")
@FOLDER
@click.argument("target", type=click.Path(file_okay=False))
def journal_salvage(folder, target):
    """Write what can be read of a stopped relay's FOLDER into a fresh folder TARGET."""
    for one in mend(lambda tools: tools.salvage(folder, target)):
        click.echo("left out: {segment}: {kind} at byte {at}, {bytes} bytes".format(**one))


def mend(what):
    from courseroute.journal import frames, lock, tools

    try:
        return what(tools)
    except (lock.Held, frames.Newer, OSError) as cause:
        click.echo(str(cause), err=True)
        sys.exit(2)


# The town.


@cli.group()
def town():
    """Play partners, directory, platform, clients and relays on this machine."""


@town.command("check")
@FILE
@AS_JSON
def town_check(file, as_json):
    """Name every mistake in a day's FILE; print what the day holds."""
    from courseroute.town.script import arrivals, destinations, load, strikes

    day = load(file)
    told = {
        "about": day.about,
        "seed": day.seed,
        "relays": day.relays.count,
        "messages": len(arrivals(day)),
        "destinations": len(destinations(day)),
        "faults": [
            {
                "kind": one.kind,
                "begin_ms": one.begin // 10**6,
                "end_ms": one.end // 10**6,
                "names": list(one.names),
            }
            for one in strikes(day)
        ],
    }
    click.echo(
        orjson.dumps(told)
        if as_json
        else (
            f"{file}: good, {told['messages']} messages to {told['destinations']} destinations through "
            f"{told['relays']} relays, {len(told['faults'])} faults"
        )
    )


@town.command("run")
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--seed", type=int, help="Another seed than the file's.")
@click.option("--workers", type=click.IntRange(1, 16), help="Processes of partners and clients.")
@click.option("--relay", "command", help="Another relay's command line; it reads ROUTER_CONFIG.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Where the relays' folders, logs and the ledger are kept; else nothing is.",
)
@AS_JSON
def town_run(files, seed, workers, command, folder, as_json):
    """Play each day's FILE. Exit 1 on a broken rule, 3 where the town itself ran late."""
    from courseroute.town.script import load

    days = [(Path(file), load(file, seed=seed, workers=workers)) for file in files]
    found = {}
    for file, day in days:
        found[file.stem] = run_one(day, file.stem, command, folder, as_json)
    if as_json:
        click.echo(orjson.dumps(found if len(found) > 1 else next(iter(found.values()))))
    elif len(found) > 1:
        show.days(found)
    rows = found.values()
    sys.exit(
        1
        if any(one["broken"] and not one["void"] for one in rows)
        else 3
        if any(one["void"] for one in rows)
        else 0
    )


town.add_command(town_soak)


def run_one(day, name, command, folder, quiet):
    import trio

    from courseroute.town.play import play
    from courseroute.town.report import figures

    kept = folder is not None
    place = folder / name if kept else Path(tempfile.mkdtemp(prefix="courseroute-town-"))
    if kept and place.exists() and any(place.iterdir()):
        raise click.UsageError(f"{place} is not empty")
    try:
        with show.live(name, quiet) as watch:
            result = trio.run(play, day, place, shlex.split(command) if command else None, watch, kept)
        told = figures(result)
        if kept:
            (place / "figures.json").write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2))
        if not quiet:
            show.day(name, told)
        return told
    finally:
        if not kept:
            shutil.rmtree(place, ignore_errors=True)


if __name__ == "__main__":
    cli(prog_name="courseroute")
