"""Charts of results, as SVG or PNG: they read in grey and at half size (lines differ in dash and mark
too)."""
import io

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

S = 1_000_000_000
MS = 1_000_000
STYLES = [("#000000", "-", "o"), ("#5a5a5a", "--", "s"), ("#8a8a8a", "-.", "^"), ("#3a3a3a", ":", "D"),
          ("#6e6e6e", (0, (5, 1)), "v"), ("#a0a0a0", (0, (1, 1)), "x")]
SIZE = (9, 4.2)
BIG = {"font.size": 13, "axes.grid": True, "grid.color": "#dddddd", "lines.linewidth": 2.0,
       "svg.hashsalt": "courseroute", "axes.spines.top": False, "axes.spines.right": False}
FAULT_SHADES, HATCHES = ("#e8e8e8", "#d4d4d4", "#f2f2f2"), ("", "//", "..")


def drawn(figure, kind="svg"):
    """A figure's bytes; the same figure gives the same bytes."""
    out = io.BytesIO()
    figure.savefig(out, format=kind, bbox_inches="tight", metadata={"Date": None} if kind == "svg" else None)
    plt.close(figure)
    return out.getvalue()


def axes(title, x, y, rows=1):
    plt.rcParams.update(BIG)
    figure, found = plt.subplots(rows, 1, figsize=(SIZE[0], SIZE[1] * max(1, rows * 0.75)), squeeze=False,
                                 sharex=True)
    found = [row[0] for row in found]
    found[0].set_title(title, loc="left")
    found[-1].set_xlabel(x)
    found[0].set_ylabel(y)
    return figure, found


def shade(axis, ledger, start):
    """Faults as bands behind the lines, named at their top."""
    for i, row in enumerate(row for row in ledger if row["what"] == "fault"):
        begin, end = (row["at"] - start) / S, (row["until"] - start) / S
        axis.axvspan(begin, max(end, begin + 0.05), color=FAULT_SHADES[i % 3], hatch=HATCHES[i % 3], zorder=0)
        axis.text(begin, 1.0, row["kind"], transform=axis.get_xaxis_transform(), fontsize=9, rotation=35,
                  va="bottom")


def latency_by_time(ledger, title="Time from hand-in to delivery"):
    """Each delivery by when it was handed in, faults shaded; a logarithmic axis."""
    start, first, done = origin(ledger), {}, {}
    calls = {row["c"]: row["id"] for row in ledger if row["what"] == "call"}
    for row in ledger:
        if row["what"] == "hand":
            first.setdefault(row["n"], row["at"])
        elif row["what"] == "reply" and row["status"] == 200 and row["c"] in calls:
            done.setdefault(int(calls[row["c"]].partition("-")[0]), row["at"])
    figure, (axis,) = axes(title, "seconds", "milliseconds")
    shade(axis, ledger, start)
    points = [((first[n] - start) / S, (done[n] - first[n]) / MS) for n in done if n in first]
    if points:
        axis.plot(*zip(*points, strict=True), "k.", markersize=3)
        axis.set_yscale("log")
    return figure


def counts_by_time(ledger, title="Calls out, messages held, refused in a second"):
    """Three lines over time: how many calls are out, messages taken on and not over, refusals a second."""
    start = origin(ledger)
    out, held, refused, over = [], [], [], set()
    calls = {row["c"]: row["id"] for row in ledger if row["what"] == "call"}
    taken = {row["id"] for row in ledger if row["what"] == "answer" and row["status"] in (200, 202)}
    for row in ledger:
        at, what = (row["at"] - start) / S, row["what"]
        name = row["id"] if what in ("answer", "notice") else calls.get(row.get("c"))
        if what == "call":
            out.append((at, 1))
        elif what in ("reply", "broke") and name:
            out.append((at, -1))
        if what == "answer" and row["status"] in (200, 202):
            held.append((at, 1))
        ended = what == "notice" or what == "reply" and row["status"] == 200
        if ended and name in taken and name not in over:
            over.add(name)
            held.append((at, -1))
        if what == "reply" and row["status"] in (429, 503):
            refused.append(at)
    figure, (axis,) = axes(title, "seconds", "count")
    shade(axis, ledger, start)
    for (label, steps), (colour, dash, _) in zip((("calls out", out), ("held", held)), STYLES, strict=False):
        if steps:
            times, changes = zip(*sorted(steps), strict=True)
            axis.step(times, np.cumsum(changes), where="post", color=colour, linestyle=dash, label=label)
    if refused:
        counts, edges = np.histogram(refused, bins=np.arange(0, max(refused) + 2, 1.0))
        axis.step(edges[:-1], counts, where="post", color=STYLES[2][0], linestyle=STYLES[2][1],
                  label="refused a second")
    axis.legend()
    return figure


def sends_against_limit(ledger, limits, title="Calls a second against the true limit"):
    """A panel a destination that has a limit: calls in each second, the limit as it stood.

    `limits`: {destination number: (name, [(second, calls a second), ...])}, steps in order of time.
    """
    start = origin(ledger)
    figure, panels = axes(title, "seconds", "", rows=max(1, len(limits)))
    for axis, (number, (name, steps)) in zip(panels, sorted(limits.items()), strict=False):
        times = [(row["at"] - start) / S for row in ledger if row["what"] == "call" and row["dst"] == number]
        end = max([*times, 1.0])
        counts, edges = np.histogram(times, bins=np.arange(0, end + 2, 1.0))
        axis.step(edges[:-1], counts, where="post", color="#000000", label="calls")
        times, limit = zip(*steps, (max(end, steps[-1][0]), steps[-1][1]), strict=True)
        axis.step(times, limit, where="post", color="#5a5a5a", linestyle="--", label="limit")
        axis.set_ylabel(name)
        shade(axis, ledger, start)
    panels[0].legend()
    return figure


def origin(ledger):
    return next((row["at"] for row in ledger if row["what"] == "hand"), ledger[0]["at"] if ledger else 0)


def lines(series, title, x, y, log=False):
    """`series`: {label: [(x, low, middle, high), ...]}: a line of medians with whiskers, each label its own
    dash and mark."""
    figure, (axis,) = axes(title, x, y)
    for (label, points), (colour, dash, mark) in zip(series.items(), STYLES * 4, strict=False):
        points = [point for point in points if point[2] is not None]
        if not points:
            continue
        at, low, middle, high = (np.array(column, float) for column in zip(*points, strict=True))
        spread = [np.maximum(0, middle - low), np.maximum(0, high - middle)]
        axis.errorbar(at, middle, yerr=spread, color=colour, linestyle=dash, marker=mark, capsize=3,
                      label=label)
    if log:
        axis.set_yscale("log")
    if len(series) > 1 or "" not in series:
        axis.legend(fontsize=10)
    return figure


def bars(rows, title, y):
    """`rows`: [(label, low, middle, high)], where there is no number to stand on the axis."""
    figure, (axis,) = axes(title, "", y)
    rows = [row for row in rows if row[2] is not None]
    at = np.arange(len(rows))
    middle = np.array([row[2] for row in rows], float)
    spread = [[max(0, row[2] - row[1]) for row in rows], [max(0, row[3] - row[2]) for row in rows]]
    axis.bar(at, middle, yerr=spread if rows else None, color="#b0b0b0", edgecolor="#000000", capsize=4)
    axis.set_xticks(at, [row[0] for row in rows], rotation=20, ha="right", fontsize=10)
    return figure


def percentiles(curves, title="Percentiles of the time to delivery"):
    """`curves`: {label: [(share, ms), ...]} on an axis of nines."""
    figure, (axis,) = axes(title, "share delivered within", "milliseconds")
    for (label, points), (colour, dash, mark) in zip(curves.items(), STYLES * 4, strict=False):
        points = [(share, ms) for share, ms in points if ms is not None]
        if points:
            axis.plot([-np.log10(1 - share) for share, _ in points], [ms for _, ms in points], color=colour,
                      linestyle=dash, marker=mark, label=label)
    axis.set_xticks([0.30103, 1, 2, 3], ["0.5", "0.9", "0.99", "0.999"])
    axis.set_yscale("log")
    axis.legend(fontsize=10)
    return figure
