"""Human-readable output: tables on a terminal, the same tables as plain text if the output is piped."""

import contextlib
import sys

from rich.console import Console
from rich.live import Live
from rich.table import Table

CONSOLE = Console(width=None if sys.stdout.isatty() else 150, highlight=False)
OUTCOMES = ("messages", "delivered", "pushed back", "returned", "failed", "unanswered", "open")
MAX_VIOLATIONS_SHOWN = 20


def table(title, columns, rows):
    """A rich table; the first column is left-aligned, None is shown as "-"."""
    rendered = Table(title=title, title_justify="left", title_style="bold")
    for i, column in enumerate(columns):
        rendered.add_column(column, justify="left" if i == 0 else "right", no_wrap=True)
    for row in rows:
        rendered.add_row(*("-" if cell is None else str(cell) for cell in row))
    return rendered


def outcome_row(name, counts):
    """Table cells of one row of a day's report, in the order of OUTCOME_COLUMNS behind the name."""
    return [
        name,
        *(counts[outcome] for outcome in OUTCOMES),
        counts["calls_per_message"],
        counts["refused"],
        counts["p50_ms"],
        counts["p99_ms"],
    ]


OUTCOME_COLUMNS = [*OUTCOMES, "calls/msg", "refused", "p50 ms", "p99 ms"]


def print_day(name, report):
    """Prints the report of one day."""
    CONSOLE.print(
        table(
            f"{name}: {report['about']}",
            ["destination", *OUTCOME_COLUMNS],
            [
                *(outcome_row(destination, row) for destination, row in report["destinations"].items()),
                outcome_row("all", report["all"]),
            ],
        )
    )
    CONSOLE.print(
        table(
            "Lanes",
            ["lane", *OUTCOME_COLUMNS],
            [outcome_row(lane, row) for lane, row in report["lanes"].items()],
        )
    )
    CONSOLE.print(
        table(
            "Relays",
            ["relay", "lives", "CPU s", "memory kB", "descriptors", "disk kB"],
            [
                [relay, row["lives"], row["cpu_s"], row["memory_kb"], row["descriptors"], row["disk_kb"]]
                for relay, row in report["relays_used"].items()
            ],
        )
    )
    print_verdict(report)


def print_verdict(report):
    """Prints the first rule violations of a day, and whether the day is void or kept all rules."""
    for violation in report["broken"][:MAX_VIOLATIONS_SHOWN]:
        CONSOLE.print(
            f"broken at {violation['at_ms'] / 1000:.3f} s: {violation['rule']}: {violation['text']}",
            markup=False,
        )
    if len(report["broken"]) > MAX_VIOLATIONS_SHOWN:
        CONSOLE.print(f"and {len(report['broken']) - MAX_VIOLATIONS_SHOWN} more")
    if report["void"]:
        CONSOLE.print(
            f"void: the town itself ran {report['late_ms']} ms late; this says nothing of the relays"
        )
    else:
        count = len(report["broken"])
        CONSOLE.print(f"{count} times a rule was broken" if count else "all rules kept")


def print_days(reports):
    """Prints a table of days, one row each."""
    CONSOLE.print(
        table(
            "Days",
            ["day", *OUTCOME_COLUMNS, "service", "rules"],
            [
                [
                    *outcome_row(name, report["all"]),
                    report["service"],
                    "void"
                    if report["void"]
                    else "kept"
                    if not report["broken"]
                    else f"{len(report['broken'])} broken",
                ]
                for name, report in reports.items()
            ],
        )
    )


@contextlib.contextmanager
def live_progress(name, quiet):
    """Yields a callback that updates a table of the destinations while a day runs; None if `quiet` or if the
    output is no terminal."""
    if quiet or not CONSOLE.is_terminal:
        yield None
        return
    with Live(console=CONSOLE, refresh_per_second=4, transient=True) as screen:
        yield lambda emulation, seconds: screen.update(progress_table(emulation, name, seconds))


def progress_table(emulation, name, seconds):
    """Counts of each destination of a running day."""
    rows = {destination.number: [destination.name, 0, 0, 0, 0] for destination in emulation.destinations}
    for msg in emulation.judge.messages.values():
        row = rows[msg.destination]
        row[1] += 1
        row[2] += msg.delivered_at is not None
        row[3] += msg.accepted_at is not None and msg.closed_at is None
        row[4] += sum(call.status in (429, 503) for call in msg.calls)
    late = ", town late" if emulation.judge.void else ""
    return table(
        f"{name}, {seconds:.1f} s, {len(emulation.judge.broken)} broken rules{late}",
        ["destination", "ids", "delivered", "open", "refused"],
        rows.values(),
    )


def print_state(content):
    """Prints the open messages, pending notices and recent ends of a relay's folder."""
    rows = [
        [
            name,
            msg["lane"],
            msg["dst"],
            msg["body"],
            len(msg["legs"]),
            ", ".join(attempt["ending"] or "out" for attempt in msg["legs"]),
        ]
        for name, msg in content["held"].items()
    ]
    CONSOLE.print(table(f"Held: {len(rows)}", ["message", "lane", "dst", "body", "legs", "endings"], rows))
    CONSOLE.print(table(f"Owed: {len(content['owed'])}", ["message", "state"], content["owed"].items()))
    CONSOLE.print(f"{len(content['ends'])} recent ends")
    for stretch in content["bad"]:
        CONSOLE.print(
            f"{stretch['kind']}: {stretch['segment']} at byte {stretch['at']}, {stretch['bytes']} bytes",
            markup=False,
        )


def print_segments(statistics):
    """Prints record counts and sizes of each journal segment."""
    CONSOLE.print(
        table(
            "Segments",
            ["segment", "records", "bytes", "live bytes", "kinds"],
            [
                [
                    name,
                    row["records"],
                    row["bytes"],
                    row["live_bytes"],
                    ", ".join(f"{kind} {count}" for kind, count in row["kinds"].items()),
                ]
                for name, row in statistics["segments"].items()
            ],
        )
    )
    CONSOLE.print(f"{statistics['held']} held, {statistics['owed']} owed, {statistics['ends']} recent ends")


def print_records(records):
    """Prints one line per journal record."""
    for record in records:
        CONSOLE.print(
            " ".join(f"{name}={value}" for name, value in record.items()), markup=False, soft_wrap=True
        )
