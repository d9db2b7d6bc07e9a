"""A run's report: one self-contained HTML page (jinja2), its charts inside it as SVG."""
import polars as pl
from jinja2 import Environment, PackageLoader, select_autoescape
from markupsafe import Markup

from courseroute.checked import made
from courseroute.lab import charts, results
from courseroute.lab.study import with_levels
from courseroute.town.script import Day, destinations, strikes

ROWS_DRAWN = 200_000        # of a ledger: beyond, its charts are left out
SHARES = ((0.5, "p50_ms"), (0.9, "p90_ms"), (0.99, "p99_ms"), (0.999, "p999_ms"))


def page(run):
    """The report of a run, as text."""
    table = run.table()
    environment = Environment(loader=PackageLoader("courseroute.lab"), autoescape=select_autoescape())
    return environment.get_template("report.html").render(
        run=run, machine=run.machine(), label=results.label, broken=results.broken(table),
        void=results.void(table), rows=results.rows(run, table), missing=len(run.cells) - len(table),
        hypotheses=results.hypotheses(run, table), differences=results.differences(run, table), show=shown,
        charts=[Markup(svg) for svg in drawings(run, table)])


def shown(value):
    if value is None:
        return "-"
    return f"{value:,.3f}".rstrip("0").rstrip(".") if isinstance(value, float) else f"{value:,}"


def drawings(run, table):
    """The charts of a run as SVG, each measure's first."""
    found = [svg(chart) for chart in measure_charts(run, table)]
    treatments = results.by_treatment(table)
    curves = {results.label(levels): [(share, results.spread(told["all"].get(name) for _, told in plays)[1])
                                      for share, name in SHARES] for levels, plays in treatments.items()}
    if len(curves) <= 8:
        found.append(svg(charts.percentiles(curves)))
    for levels, plays in list(treatments.items())[:6]:
        found += [svg(chart) for chart in ledger_charts(run, levels, plays[0][0])]
    return found


def measure_charts(run, table):
    """A chart a measure: over the first factor with numbers, a line for each combination of the others."""
    rows = results.rows(run, table)
    numeric = next((name for name, values in run.study.factors.items() if len(values) > 1 and all(
        isinstance(value, int | float) and not isinstance(value, bool) for value in values)), None)
    for name in run.study.measures:
        if numeric is None:
            yield charts.bars([(results.label(levels), *told[name]) for levels, _, told in rows], name, name)
            continue
        series = {}
        for levels, _, told in rows:
            others = [pair for pair in levels if pair[0] != numeric]
            series.setdefault(results.label(others) if others else "", []).append(
                (dict(levels)[numeric], *told[name]))
        yield charts.lines(series, name, numeric, name)


def ledger_charts(run, levels, cell):
    """What happened over time in one cell: its deliveries, what was out and held, sends against limits."""
    path = run.place(cell) / "ledger.parquet"
    if not path.exists() or pl.scan_parquet(path).select(pl.len()).collect().item() > ROWS_DRAWN:
        return
    ledger = pl.read_parquet(path).to_dicts()
    day = made(with_levels(run.day, levels, cell.seed), Day, run.study.day)
    told = results.label(levels)
    yield charts.latency_by_time(ledger, f"Time to delivery: {told}")
    yield charts.counts_by_time(ledger, f"Calls out, held, refused: {told}")
    if limits := limits_of(day):
        few = dict(list(limits.items())[:4])
        yield charts.sends_against_limit(ledger, few, f"Calls and true limits: {told}")


def limits_of(day):
    """{destination number: (name, [(second, calls a second)])} of those that have a limit, by the day's
    faults."""
    found = {}
    for place in destinations(day):
        if place.form.limit is None:
            continue
        steps = [(0.0, place.form.limit)]
        for one in strikes(day):
            if one.kind == "limit" and place.name in one.names:
                steps += [(one.begin / 1e9, place.form.limit * one.fault.factor),
                          (one.end / 1e9, place.form.limit)]
        found[place.number] = place.name, sorted(steps)
    return found


def svg(figure):
    text = charts.drawn(figure).decode()
    return text[text.index("<svg"):]


