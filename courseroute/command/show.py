"""Output for people: tables on a terminal, the same as plain text if the output is piped."""

import contextlib
import sys

from rich.console import Console
from rich.live import Live
from rich.table import Table

OUT = Console(width=None if sys.stdout.isatty() else 150, highlight=False)
ENDS = ("messages", "delivered", "pushed back", "returned", "failed", "unanswered", "open")
MOST_BROKEN = 20


def table(title, columns, rows):
    made = Table(title=title, title_justify="left", title_style="bold")
    for i, column in enumerate(columns):
        made.add_column(column, justify="left" if i == 0 else "right", no_wrap=True)
    for row in rows:
        made.add_row(*("-" if cell is None else str(cell) for cell in row))
    return made


def ends_row(name, row):
    return [
        name,
        *(row[end] for end in ENDS),
        row["calls_per_message"],
        row["refused"],
        row["p50_ms"],
        row["p99_ms"],
    ]


HEAD = [*ENDS, "calls/msg", "refused", "p50 ms", "p99 ms"]


def day(name, told):
    """Prints the figures of one day."""
    OUT.print(
        table(
            f"{name}: {told['about']}",
            ["destination", *HEAD],
            [
                *(ends_row(dst, row) for dst, row in told["destinations"].items()),
                ends_row("all", told["all"]),
            ],
        )
    )
    OUT.print(table("Lanes", ["lane", *HEAD], [ends_row(lane, row) for lane, row in told["lanes"].items()]))
    OUT.print(
        table(
            "Relays",
            ["relay", "lives", "CPU s", "memory kB", "descriptors", "disk kB"],
            [
                [relay, row["lives"], row["cpu_s"], row["memory_kb"], row["descriptors"], row["disk_kb"]]
                for relay, row in told["relays_used"].items()
            ],
        )
    )
    verdict(told)


def verdict(told):
    for one in told["broken"][:MOST_BROKEN]:
        OUT.print(f"broken at {one['at_ms'] / 1000:.3f} s: {one['rule']}: {one['text']}", markup=False)
    if len(told["broken"]) > MOST_BROKEN:
        OUT.print(f"and {len(told['broken']) - MOST_BROKEN} more")
    if told["void"]:
        OUT.print(f"void: the town itself ran {told['late_ms']} ms late; this says nothing of the relays")
    else:
        count = len(told["broken"])
        OUT.print(f"{count} times a rule was broken" if count else "all rules kept")


def days(found):
    """Prints a table of days, one row each."""
    OUT.print(
        table(
            "Days",
            ["day", *HEAD, "service", "rules"],
            [
                [
                    *ends_row(name, told["all"]),
                    told["service"],
                    "void"
                    if told["void"]
                    else "kept"
                    if not told["broken"]
                    else f"{len(told['broken'])} broken",
                ]
                for name, told in found.items()
            ],
        )
    )


@contextlib.contextmanager
def live(name, quiet):
    """Yields a callback that updates a table of the destinations while a day runs; else None."""
    if quiet or not OUT.is_terminal:
        yield None
        return
    with Live(console=OUT, refresh_per_second=4, transient=True) as screen:
        yield lambda emulation, seconds: screen.update(running(emulation, name, seconds))


def running(emulation, name, seconds):
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


def state(told):
    rows = [
        [
            name,
            msg["lane"],
            msg["dst"],
            msg["body"],
            len(msg["legs"]),
            ", ".join(leg["ending"] or "out" for leg in msg["legs"]),
        ]
        for name, msg in told["held"].items()
    ]
    OUT.print(table(f"Held: {len(rows)}", ["message", "lane", "dst", "body", "legs", "endings"], rows))
    OUT.print(table(f"Owed: {len(told['owed'])}", ["message", "state"], told["owed"].items()))
    OUT.print(f"{len(told['ends'])} recent ends")
    for one in told["bad"]:
        OUT.print(f"{one['kind']}: {one['segment']} at byte {one['at']}, {one['bytes']} bytes", markup=False)


def segments(told):
    OUT.print(
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
                for name, row in told["segments"].items()
            ],
        )
    )
    OUT.print(f"{told['held']} held, {told['owed']} owed, {told['ends']} recent ends")


def records(told):
    for row in told:
        OUT.print(" ".join(f"{name}={value}" for name, value in row.items()), markup=False, soft_wrap=True)
