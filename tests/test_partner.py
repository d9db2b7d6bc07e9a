"""What a partner of the town decides, without sockets or clock; and the file that sets it."""

import itertools

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from courseroute.checked import Bad, made
from courseroute.emulator.destination import DestinationModel
from courseroute.emulator.scenario import Day, arrivals, destinations, load, scheduled_faults
from courseroute.run.setup import Rules

MS, S = 10**6, 10**9
DAY = {
    "partners": {"p": {"hosts": 2, "spread": 0.0, "pace": "40ms"}},
    "traffic": {"lanes": {"notice": 1.0}},
    "lanes": {"notice": {"deadline": "8s", "effect": "retriable"}},
}
RULES = Rules(cold="5s", cold_from=0.25, overload=2.0, fall="1s")
HOST = "p-0.0"


def partner(faults=(), **form):
    day = made(DAY | {"partners": {"p": DAY["partners"]["p"] | form}, "fault": list(faults)}, Day)
    made_one = DestinationModel(destinations(day)[0], RULES, np.random.default_rng(1))
    for number, scheduled in enumerate(scheduled_faults(day)):
        made_one.begin(scheduled.begin, number, scheduled)
    return made_one


def fault(kind, **more):
    return {"kind": kind, "at": "0s", "lasts": "9s", "where": "p-0"} | more


@pytest.mark.parametrize(
    "faults, form, told",
    [
        ([], {}, (200, True, "")),
        ([fault("silent")], {}, (0, False, "silent")),
        ([fault("hang")], {}, (0, False, "silent")),
        ([fault("reset-before")], {}, (0, False, "reset")),
        ([fault("reset-after", ran=True)], {}, (0, True, "reset")),
        ([fault("reset-after", ran=False)], {}, (0, False, "reset")),
        ([fault("answer-lost")], {}, (0, True, "silent")),
        ([fault("spoilt")], {}, (0, True, "spoilt")),
        ([fault("errors", ran=True)], {}, (500, True, "")),
        ([fault("errors", ran=False)], {}, (500, False, "")),
        ([fault("shut")], {}, (503, False, "")),
        ([fault("shut", where="p-0.1")], {}, (200, True, "")),
        ([fault("shut", where="p-0.0")], {}, (503, False, "")),
        ([fault("errors", share=0.0)], {}, (200, True, "")),
    ],
)
def test_a_fault_decides_what_comes_back_and_whether_it_ran(faults, form, told):
    outcome = partner(faults, **form).arrive(S, HOST, 0, "k")
    assert (outcome.status, outcome.ran, outcome.failure) == told


@pytest.mark.parametrize(
    "form, times, statuses",
    [
        ({"limit": 2.0}, [0, 1, 2, 999, 1001, 1002], [200, 200, 429, 429, 200, 200]),
        ({"limit": 2.0, "refused_count": True}, [0, 1, 2, 999, 1001, 1003], [200, 200, 429, 429, 429, 429]),
        ({"limit": 2.0, "aligned": True}, [900, 901, 902, 1000, 1001, 1002], [200, 200, 429, 200, 200, 429]),
        ({"limit": 2.0, "window": "2s"}, [0, 1, 2, 3, 4, 1999, 2001], [200, 200, 200, 200, 429, 429, 200]),
        ({"limit": 0.2}, [0, 1, 1001], [200, 429, 200]),
        ({"concurrency": 1, "queue": 1}, [0, 1, 2, 41], [200, 200, 503, 200]),
        ({}, range(10), [200] * 10),
    ],
)
def test_limits_and_queues(form, times, statuses):
    one = partner(**form)
    assert [one.arrive(10 * S + ms * MS, HOST, 0, f"k{ms}").status for ms in times] == statuses


def test_a_call_waits_for_its_turn():
    one = partner(concurrency=2)
    assert [one.arrive(0, HOST, 0, f"k{i}").after // MS for i in range(5)] == [40, 40, 80, 80, 120]


def test_a_repeat_is_dropped_until_it_is_forgotten():
    one = partner(remembers="1s")
    told = [
        (one.arrive(ms * MS, host, 0, "k").ran)
        for ms, host in ((0, HOST), (10, HOST), (500, "p-0.1"), (1039, HOST), (1040, HOST))
    ]
    assert told == [True, False, False, False, True]


@pytest.mark.parametrize(
    "faults, told",
    [([], (0.5, 4.0)), ([fault("limit", factor=0.5)], (0.0, 2.0)), ([fault("limit", told=2.0)], (0.5, 8.0))],
)
def test_what_a_report_tells(faults, told):
    one = partner(faults, limit=4.0, reports=True)
    for i in range(2):
        one.arrive(S + i, HOST, 0, f"k{i}")
    assert one.load_report(S) == told


def cold_partner(limit=20.0):
    one = partner([fault("shut", lasts="3s")], limit=limit, pace="1ms", concurrency=64)
    one.arrive(2 * S, HOST, 0, "seen")
    one.finish(3 * S, 0)
    return one


@pytest.mark.parametrize("rate, relay, falls", [(8, 0, None), (30, 0, 1), (30, 1, 0)])
def test_a_cold_destination_falls_when_pushed_and_tells_by_whom(rate, relay, falls):
    """At a quarter of 20 calls a second, twice that and some slack are let through in a second."""
    one = cold_partner()
    told = [one.arrive(3 * S + i * S // rate, HOST, relay, f"k{i}").cause for i in range(rate)]
    if falls is None:
        assert "fell over" not in told
    else:
        load, known = one.record_overload()
        assert load > 10 and known == falls * load
        assert one.arrive(5 * S, HOST, 0, "then").cause == "fallen over"
        one.recover(14 * S)
        assert one.arrive(14 * S, HOST, 0, "up").status == 200


def test_who_waits_until_it_is_warm_may_send_all():
    one = cold_partner()
    assert [one.arrive(9 * S + i * 60 * MS, HOST, 0, f"k{i}").status for i in range(16)] == [200] * 16


@settings(max_examples=40, deadline=None)
@given(st.lists(st.integers(0, 300), max_size=60), st.floats(0.5, 20), st.booleans(), st.booleans())
def test_no_window_lets_through_more_than_the_limit(gaps, limit, aligned, counted):
    one, at, through = partner(limit=limit, aligned=aligned, refused_count=counted, queue=200), 0, []
    for i, gap in enumerate(gaps):
        at += gap * MS
        if one.arrive(at, HOST, 0, f"k{i}").status == 200:
            through.append(at)
    for first in through:
        inside = [at for at in through if (at // S == first // S if aligned else first <= at < first + S)]
        assert len(inside) <= max(1, limit) + 1


# The file.


@pytest.mark.parametrize(
    "change, places",
    [
        ({"fault": [{"kind": "refuse", "at": "1s"}]}, ["fault[0].lasts"]),
        (
            {"fault": [fault("burn"), fault("slow"), fault("limit")]},
            ["fault[0].kind", "fault[1].factor", "fault[2].factor"],
        ),
        (
            {"fault": [fault("shut", where="q-*"), fault("kill", where="n7")]},
            ["fault[0].where", "fault[1].where"],
        ),
        ({"fault": [fault("shut", at="30s")]}, ["fault[0].at"]),
        ({"traffic": {"lanes": {"order": 1.0}}}, ["traffic.lanes.order"]),
        ({"lanes": {"notice": {"effect": "retriable"}}}, ["lanes.notice.deadline"]),
        ({"partners": {}}, ["partners"]),
        ({"partners": {"p": {"kind": "odd"}}}, ["partners.p.kind"]),
        (
            {"partners": {"p": {"pace": 5, "hosts": 0, "limt": 3}}},
            ["partners.p.pace", "partners.p.hosts", "partners.p.limt"],
        ),
        ({"seed": "x", "workers": 99}, ["seed", "workers"]),
        (
            {"quotas": {"c9": 2.0}, "fault": [fault("hot-client", where="c9")]},
            ["quotas.c9", "fault[0].where"],
        ),
    ],
)
def test_mistakes_in_a_day_are_told_all_at_once_with_their_places(change, places):
    with pytest.raises(Bad) as caught:
        made(DAY | change, Day)
    assert sorted(mistake.place for mistake in caught.value.mistakes) == sorted(places)


def test_the_same_seed_draws_the_same_day_and_another_one_differs():
    told = DAY | {"faults_drawn": {"kinds": ["kill", "refuse", "burst"]}, "relays": {"count": 2}}
    days = [made(told | {"seed": seed}, Day) for seed in (1, 1, 2)]
    drawn = [(arrivals(day), scheduled_faults(day)) for day in days]
    assert drawn[0] == drawn[1] and drawn[0] != drawn[2] and len(drawn[0][1]) > 2


def test_a_burst_and_a_hot_partner_change_the_arrivals():
    burst = {"kind": "burst", "at": "5s", "lasts": "5s", "factor": 4.0}
    hot = {"kind": "hot", "at": "5s", "lasts": "5s", "where": "p-1", "share": 0.8}
    day = made(DAY | {"partners": {"p": {"count": 4}}, "fault": [burst, hot]}, Day)
    during = [one for one in arrivals(day) if 5 * S <= one.at < 10 * S]
    assert 300 < len(during) < 500 and 0.7 < sum(one.dst == 2 for one in during) / len(during) < 0.9
    assert all(one.at < other.at for one, other in itertools.pairwise(arrivals(day)))


def test_a_hot_client_asks_more_than_its_share():
    hot = {"kind": "hot-client", "at": "5s", "lasts": "10s", "where": "c1", "share": 0.7}
    found = [one.customer for one in arrivals(made(DAY | {"fault": [hot]}, Day)) if 5 * S <= one.at < 15 * S]
    assert 0.65 < found.count("c1") / len(found) < 0.9


def test_a_day_stands_over_its_base_key_by_key_and_no_circle_is_followed(tmp_path):
    (tmp_path / "a.toml").write_text('base = "b.toml"\nseed = 7\n[partners.p]\nhosts = 3\n')
    (tmp_path / "b.toml").write_text(
        'seed = 1\n[partners.p]\npace = "9ms"\n[traffic]\nlanes = { x = 1.0 }\n[lanes.x]\ndeadline = "1s"\n'
    )
    day = load(tmp_path / "a.toml")
    assert (day.seed, day.partners["p"].hosts, day.partners["p"].pace) == (7, 3, "9ms")
    (tmp_path / "b.toml").write_text('base = "a.toml"\n')
    with pytest.raises(Bad, match="base"):
        load(tmp_path / "a.toml")
