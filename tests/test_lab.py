"""The laboratory: what it decides, by tables; a small study played, cut off, gone on with and reported."""
import json
import subprocess
import sys
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from courseroute.checked import Bad, made
from courseroute.lab.compare import compare
from courseroute.lab.measures import holds, value
from courseroute.lab.search import Search
from courseroute.lab.study import Study, cells, load, treatments, with_levels

ROOT = Path(__file__).parent.parent
FIGURES = {"service": 0.9,
           "all": {"p99_ms": 450.0, "calls_per_message": 2.0, "messages": 100, "delivered": 80},
           "rules": {"one final answer": 0, "drains kept": 2},
           "relays_used": {"n0": {"cpu_s": 1.0, "memory_kb": 7}, "n1": {"cpu_s": 2.0, "memory_kb": 9}}}


@pytest.mark.parametrize("name, found", [
    ("service", 0.9), ("all.p99_ms", 450.0), ("cpu_s", 3.0), ("memory_kb", 9), ("broken", 2), ("waste", 0.6),
    ("cpu_ms_per_message", 30.0), ("rules.drains kept", 2), ("lanes.order.failed", None),
])
def test_measures_lead_into_the_figures(name, found):
    assert value(FIGURES, name) == pytest.approx(found) if found is not None else value(FIGURES, name) is None


@pytest.mark.parametrize("text, held", [
    ("all.p99_ms < 500", True), ("all.p99_ms <= 449.9", False), ("broken == 0", False), ("service>0.5", True),
    ("lanes.order.failed < 9", False),      # a measure without a value holds no condition
])
def test_conditions_hold_or_do_not(text, held):
    assert holds(FIGURES, text) == held


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 2 ** 32), st.floats(0.5, 2), st.integers(8, 20))
def test_a_clear_difference_is_told_and_its_sign_is_right(seed, apart, count):
    noise = np.random.default_rng(seed).normal(0, 0.05, count)
    before = dict(enumerate(np.linspace(1, 5, count)))
    told = compare(before, {pair: one + apart + noise[pair] for pair, one in before.items()})
    assert told.word == "higher" and told.low <= told.median <= told.high and told.pairs == count
    told = compare(before, {pair: one - apart + noise[pair] for pair, one in before.items()})
    assert told.word == "lower" and told.median < 0


def test_noise_alone_is_seldom_called_a_difference():
    words = []
    for seed in range(60):
        draw = np.random.default_rng(seed)
        one, two = (dict(enumerate(draw.normal(10, 1, 12))) for _ in "12")
        words.append(compare(one, two).word)
    assert words.count("no difference seen") >= 54


@pytest.mark.parametrize("before, after, word", [
    ({1: 1.0}, {1: 9.0}, "too few pairs"), ({}, {}, "too few pairs"),
    ({1: 1.0, 2: 2.0}, {3: 1.0}, "too few pairs"),
    (dict.fromkeys(range(5), 1.0), dict.fromkeys(range(5), 2.0), "too few pairs"),
    (dict.fromkeys(range(8), 1.0), dict.fromkeys(range(8), 1.0), "no difference seen"),
    (dict.fromkeys(range(8), 1.0) | {9: None}, dict.fromkeys(range(10), 2.0), "higher"),
])
def test_what_cannot_be_told_is_not_told(before, after, word):
    assert compare(before, after).word == word


@given(st.floats(1, 99), st.sampled_from([1, 3, 5]))
def test_a_search_finds_the_bound_of_a_load_that_holds_up_to_there(bound, repeats):
    search = Search(1.0, 100.0, repeats, 0.05)
    while (load := search.next()) is not None:
        search.tell(load, load <= bound)
    told = search.result()
    assert told.holds <= bound < told.fails and told.fails - told.holds <= 0.05 * told.fails + 1e-6


@pytest.mark.parametrize("limit, holds_at, fails_at", [(0.5, None, 1.0), (200.0, 100.0, None)])
def test_a_search_beyond_its_bounds_says_so(limit, holds_at, fails_at):
    search = Search(1.0, 100.0, 3, 0.05)
    while (load := search.next()) is not None:
        search.tell(load, load <= limit)
    assert search.result()[:2] == (holds_at, fails_at)


def study(**more):
    return made({"about": "x", "day": "calm.toml", "measures": ["service"]} | more, Study)


def test_a_design_plays_all_levels_in_an_order_drawn_once():
    full = study(factors={"a": [1, 2], "b": [3, 4, 5]}, repeats=2)
    assert len(treatments(full)) == 6 and len(cells(full)) == 12 and cells(full) == cells(full)
    assert sorted(cell.number for cell in cells(full)) == list(range(12))
    assert {cell.seed for cell in cells(full)} == {1, 2}
    latin = study(factors={name: [1, 2, 3] for name in "abc"}, design="latin")
    found = treatments(latin)
    assert len(found) == 9 and all(len({levels[i:i + 2] for levels in found}) == 9 for i in (0, 1))


@pytest.mark.parametrize("more", [
    {"factors": {"a": []}}, {"factors": {"a": [1, 1]}}, {"measures": ["speed"]}, {"design": "latin"},
    {"hypotheses": [{"says": "service is good"}]},
    {"hypotheses": [{"says": "service > 1", "where": {"q": 1}}]},
])
def test_every_mistake_in_a_study_is_named(more):
    with pytest.raises(Bad):
        study(**more)


def test_levels_are_set_in_a_copy_of_the_day():
    day = {"traffic": {"rate": 1.0, "keys": 2}, "fault": [{"at": "1s"}, {"at": "2s"}]}
    told = with_levels(day, [("traffic.rate", 9.0), ("fault[1].at", "3s"), ("build", "x")], seed=4)
    assert told == {"traffic": {"rate": 9.0, "keys": 2}, "fault": [{"at": "1s"}, {"at": "3s"}], "seed": 4}
    assert day["traffic"]["rate"] == 1.0 and day["fault"][1]["at"] == "2s"


def test_a_study_that_is_shipped_is_good():
    for file in (ROOT / "studies").glob("*.toml"):
        told, _ = load(file)
        assert told.hypotheses


def lab(*words):
    return subprocess.run([sys.executable, "-m", "courseroute", "lab", *map(str, words)], cwd=ROOT, text=True,
                          capture_output=True, timeout=90)


def test_a_small_study_is_played_kept_and_reported(tmp_path):
    file = tmp_path / "one.toml"
    file.write_text(f'about = "one"\nday = "{ROOT}/examples/calm.toml"\nrepeats = 1\nmeasures = ["service"]\n'
                    '[factors]\nlasts = ["1s"]\n"traffic.rate" = [20.0]\n'
                    '[[hypotheses]]\nsays = "broken == 0"\n')
    done = lab("run", file, "--results", tmp_path / "results", "--json")
    assert done.returncode == 0, done.stderr
    told = json.loads(done.stdout)
    assert told["cells"] == told["played"] == 1 and not told["broken"]
    assert [(row["says"], row["held"], row["plays"]) for row in told["hypotheses"]] == [("broken == 0", 1, 1)]
    page = tmp_path / "page.html"
    assert lab("report", told["run"], "--results", tmp_path / "results", "--out", page).returncode == 0
    text = page.read_text()
    assert "<svg" in text and "broken == 0" in text
    assert "<script" not in text and "src=\"http" not in text      # one file, whole
    listed = json.loads(lab("list", "--results", tmp_path / "results", "--json").stdout)
    assert listed[0]["name"] == told["run"]
    assert lab("show", "no-such-run", "--results", tmp_path / "results").returncode != 0
