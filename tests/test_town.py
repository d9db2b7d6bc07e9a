"""The emulator on sockets: its faults, the violations that it detects, the relay under coinciding faults, and
the command line."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path

import pytest
import trio

from courseroute.checked import made
from courseroute.emulator.play import run_day
from courseroute.emulator.relays import SHIMS
from courseroute.emulator.report import figures
from courseroute.emulator.scenario import Day, load
from courseroute.emulator.soak import Plan, seeds_of, soak

ROOT = Path(__file__).parent.parent
HARD_CASE_COUNT = 4
# Each hard case must occur within this many runs: whether calls coincide depends on the machine's timing.
MAX_RUNS = 4
LANE = {"target": "2s", "deadline": "2500ms"}
BASE_DAY = {
    "lasts": "3s",
    "partners": {"p": {"count": 2, "hosts": 2, "pace": "20ms"}},
    "traffic": {"rate": 25.0, "keys": 2, "again": 0, "lanes": {"notice": 1.0}},
    "lanes": {
        "notice": LANE | {"effect": "retriable"},
        "once": LANE | {"effect": "non-retriable"},
        "order": LANE | {"effect": "keyed", "group": "all", "window": "5s"},
        "turn": LANE | {"effect": "retriable", "ordered": True},
    },
    "sending": {
        "slots": 32,
        "room": 200,
        "legs": 8,
        "cancel": True,
        "connect_within": "1s",
        "stay_away": "1s",
    },
    "rules": {
        "drain_grace": "300ms",
        "ask_within": "5s",
        "cold": "4s",
        "cold_from": 0.25,
        "overload": 1.5,
        "fall": "500ms",
        "turn_gap": "500ms",
    },
}


def fault(kind, at="500ms", **more):
    return {"kind": kind, "at": at, "where": "p-*"} | ({} if "lasts" in more else {"lasts": "2s"}) | more


def run_and_report(tmp_path, changes, command=None, **parts):
    """(report, DayResult) of BASE_DAY with `changes`; with `command`, on wrong_relay.py in that mode."""
    day = made(BASE_DAY | changes, Day)
    command = command and [sys.executable, str(ROOT / "tests/wrong_relay.py"), command]
    os.environ["PYTHONPATH"] = str(ROOT)
    result = trio.run(run_day, day, tmp_path / "town", command)
    return figures(result), result


def lanes(*names):
    return {"traffic": BASE_DAY["traffic"] | {"lanes": dict.fromkeys(names, 1.0)}}


@pytest.mark.parametrize(
    "mode, changes, rule",
    [
        ("loses", {}, "one final answer"),
        ("sends on after the end", {}, "one final answer"),
        ("refuses but sends", {}, "one final answer"),
        ("twice", lanes("once") | {"fault": [fault("errors", share=0.5)]}, "no effect twice"),
        (
            "calls it harmless",
            lanes("once") | {"fault": [fault("reset-after", share=0.5)]},
            "no effect twice",
        ),
        ("ignores drains", {"fault": [fault("drain", where="p-0.0")]}, "drains kept"),
        (
            "pushes over",
            {"partners": {"p": {"count": 2, "hosts": 2, "limit": 8.0}}, "fault": [fault("shut", lasts="1s")]},
            "cold returns",
        ),
        ("out of order", lanes("turn"), "order kept"),
        ("ignores waits", {"partners": {"p": {"count": 2, "limit": 4.0, "wait": "900ms"}}}, "waits heeded"),
        ("changes", {}, "unchanged"),
        ("strays", {}, "unchanged"),
    ],
)
def test_a_relay_that_breaks_a_rule_is_caught(tmp_path, mode, changes, rule):
    report, _ = run_and_report(tmp_path, changes, mode)
    assert report["rules"][rule] and not report["void"], report["broken"]


def test_a_correct_relay_breaks_no_rule_and_the_ledger_is_complete(tmp_path):
    report, result = run_and_report(tmp_path, {"workers": 2}, "null")
    assert not report["broken"] and report["all"]["delivered"] == report["all"]["messages"] > 40
    rows = [json.loads(line) for line in (tmp_path / "town/ledger.jsonl").read_text().splitlines()]
    assert [row["at"] for row in rows] == sorted(row["at"] for row in rows)
    assert sum(row["what"] == "ran" for row in rows) == report["all"]["messages"]
    assert result.relays[0].peak_usage["memory_kb"] > 1000


def hard_cases(rows):
    """The hard cases that occurred according to the ledger, as a set of their descriptions."""
    times, calls, cases = {}, {}, set()
    for row in rows:
        kind = row["what"]
        if kind == "fault":
            times.setdefault(row["kind"], []).append(row["at"])
        elif kind == "relay" and row["now"] in ("kill", "ready"):
            times.setdefault((row["relay"], row["now"]), []).append(row["at"])
        elif kind == "answer" and row["status"] == 202:
            calls[row["id"]] = [row["relay"], row["at"], []]
        elif kind == "call":
            entry = calls.setdefault(row["id"], [row["relay"], row["at"], []])
            entry[2].append(row | {"end": None, "ran": None, "cause": ""})
        elif kind in ("reply", "broke", "ran"):
            for _, _, attempts in calls.values():
                for attempt in attempts:
                    if attempt["c"] == row["c"]:
                        attempt["ran" if kind == "ran" else "end"] = row["at"]
                        attempt["cause"] = row.get("cause", "") or row.get("by", "") or attempt["cause"]
    refused, killed = times["refuse"][0], times["n0", "kill"][0]
    if abs(refused - killed) < 20 * 10**6:
        cases.add("a refusal and a SIGKILL in one instant")
    for relay, accepted_at, attempts in calls.values():
        kills = [kill for kill in times.get((relay, "kill"), ()) if kill > accepted_at]
        if kills and attempts and attempts[0]["at"] > kills[0]:
            cases.add("killed between its 202 and its first call")
        for first, second in itertools.pairwise(attempts):
            late = first["ran"] and first["end"] and first["end"] < first["ran"]
            if late and first["cause"] == "relay" and second["cause"] == "repeat":
                cases.add("an answer too late, then the repeat")
        if any(
            attempt["end"]
            and attempt["cause"] == "host"
            and abs(attempt["end"] - times["replace"][0]) < 20 * 10**6
            for attempt in attempts
        ):
            cases.add("replaced under its address mid-call")
    return cases


@pytest.mark.parametrize("name", ["hard", "restarts", "partners"])
def test_the_relay_keeps_every_rule_under_coinciding_faults(tmp_path, name):
    """Three days: faults at the same instant; restarts, a pause, a lost folder and a moved directory;
    destinations that fail in each way."""
    fault_sets = {
        "hard": [
            fault("refuse", "500ms", where="p-0"),
            fault("kill", "500ms", where="n0"),
            fault("slow", "500ms", where="p-1", factor=100.0, lasts="1500ms"),
            fault("replace", "1500ms", where="p-1.0"),
            fault("shut", "2200ms", where="p-2", lasts="1s"),
            fault("kill", "2800ms", where="n1"),
            fault("kill", "2800ms", where="n2"),
        ],
        "restarts": [
            fault("restart", "500ms", where="n0"),
            fault("wipe", "1s", where="n1"),
            fault("pause", "1500ms", where="n2", lasts="700ms"),
            fault("reload", "2s", where="n2"),
            fault("directory-down", "500ms"),
            fault("notices-down", "500ms"),
            fault("errors", "500ms", share=0.3),
        ],
        "partners": [
            fault("spoilt", share=0.2, where="p-0"),
            fault("answer-lost", share=0.2, where="p-1"),
            fault("reset-before", share=0.2),
            fault("drain", where="p-0.1"),
            fault("leave", where="p-1.1"),
            fault("silent", "1s", where="p-2", lasts="1s"),
            fault("disk-full", where="n0", lasts="1s"),
        ],
    }
    deadline = "7s" if name == "hard" else "4s"  # with less, ejected hosts are not retried in time
    changes = {
        "relays": {"count": 3},
        "fault": fault_sets[name],
        "partners": {"p": BASE_DAY["partners"]["p"] | {"count": 3}},
        "traffic": BASE_DAY["traffic"]
        | {
            "rate": 60.0,
            "again": 3,
            "keys": 10,
            "lanes": dict.fromkeys(("notice", "order", "once", "turn"), 1.0),
        },
        "lanes": {lane: settings | {"deadline": deadline} for lane, settings in BASE_DAY["lanes"].items()},
    }
    occurred = set()
    for seed in range(1, 1 + (MAX_RUNS if name == "hard" else 1)):
        report, result = run_and_report(tmp_path / str(seed), changes | {"seed": seed})
        assert report["void"] or not report["broken"], report["broken"]
        assert report["all"]["delivered"] > 0.5 * report["all"]["messages"]
        occurred |= hard_cases(result.rows) if name == "hard" else set()
        if len(occurred) == HARD_CASE_COUNT:
            break
    assert name != "hard" or len(occurred) == HARD_CASE_COUNT, occurred


def test_a_day_is_void_if_an_emulator_process_was_paused(tmp_path):
    stopped = []

    def pause_worker(emulation, seconds):
        if seconds > 1 and not stopped:
            stopped.append(os.kill(emulation.workers[0].pid, signal.SIGSTOP))
            threading.Timer(0.6, os.kill, (emulation.workers[0].pid, signal.SIGCONT)).start()

    day = made(BASE_DAY, Day)
    assert trio.run(run_day, day, tmp_path / "town", None, pause_worker).judge.void


def test_a_restart_during_a_directory_outage_uses_the_saved_list(tmp_path):
    faults = [fault("directory-down", "700ms", lasts="6s"), fault("kill", "1s", where="n0")]
    report, _ = run_and_report(tmp_path, {"fault": faults, "traffic": BASE_DAY["traffic"] | {"again": 5}})
    assert report["all"]["delivered"] >= 0.9 * report["all"]["messages"] and not report["broken"]


def test_every_example_day_is_valid_and_they_differ():
    days = [load(file) for file in sorted((ROOT / "examples").glob("*.toml"))]
    assert len(days) >= 12 and len({day.about for day in days}) == len(days)


# The command line.


def run_command(*arguments, **more):
    return subprocess.run(
        [sys.executable, "-m", "courseroute", *map(str, arguments)],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        **more,
    )


INVALID_DAY = (
    'seed = "x"\nlast = "3s"\n[partners.p]\npace = 4\n[traffic]\nlanes = {}\n[lanes.a]\ndeadline = "1s"\n'
)


@pytest.mark.parametrize(
    "arguments, code, out, err",
    [
        (["town", "check", "examples/calm.toml"], 0, "317 messages", ""),
        (["town", "check", "bad.toml"], 2, "", "partners.p.pace: found 4; allowed: a number and a unit"),
        (["town", "run", "bad.toml"], 2, "", "last: found a key that does not exist; allowed: lasts (meant?"),
        (["town", "run", "none.toml"], 2, "", "No such file"),
        (["config", "check", "relay.toml"], 0, "good, relay r1", ""),
        (["config", "show", "relay.toml", "--json"], 0, '"memory_mb":192', ""),
        (["config", "check", "bad.toml"], 2, "", "listen: found nothing"),
        (["config", "schema"], 0, "lanes", ""),
        (["version", "--json"], 0, "msgspec", ""),
        (["town", "soak", "examples/calm.toml", "--seeds", "9..1"], 2, "", "no range of seeds such as 1..50"),
        (["completion", "bash"], 0, "_COURSEROUTE_COMPLETE", ""),
        (["log", "show", "nowhere"], 2, "", "nowhere"),
        (["serve", "bad.toml"], 2, "", "bad.toml: listen: found nothing"),
    ],
)
def test_the_command_line_reports_results_and_errors_without_a_traceback(tmp_path, arguments, code, out, err):
    (tmp_path / "bad.toml").write_text(INVALID_DAY)
    (tmp_path / "relay.toml").write_text(
        'name = "r1"\nlisten = "127.0.0.1:1"\ndirectory = "127.0.0.1:2"\nstate = "s"\n'
        '[lanes.a]\ntarget = "2s"\n'
    )
    arguments = [
        tmp_path / argument if (tmp_path / argument).exists() else argument for argument in arguments
    ]
    process = run_command(*arguments)
    assert process.returncode == code and out in process.stdout and err in process.stderr, process.stderr
    assert "Traceback" not in process.stderr


def test_the_folder_of_an_interrupted_day_can_be_inspected_and_repaired(tmp_path):
    day_file = tmp_path / "day.toml"
    day_file.write_text(
        f'base = "{ROOT}/examples/calm.toml"\nlasts = "4s"\n[[fault]]\nkind = "shut"\n'
        'at = "100ms"\nlasts = "9s"\nwhere = "*"\n[lanes.notice]\ndeadline = "6s"\n'
    )
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "courseroute",
            "town",
            "run",
            day_file,
            "--json",
            "--folder",
            tmp_path / "kept",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    folder = tmp_path / "kept/day/n0/state"
    state = {}
    for _ in range(60):  # the folder is read while the relay runs
        trio.run(trio.sleep, 0.1)
        if folder.exists() and list(folder.glob("seg-*")):
            shown = run_command("log", "show", folder, "--json")
            state = json.loads(shown.stdout)
            if state["held"]:
                break
    name, held = next(iter(state["held"].items()))
    assert held["lane"] in ("notice", "order", "once") and "-" in name
    assert "kind=taken" in run_command("log", "show", folder, "--records").stdout
    assert (
        run_command("journal", "verify", folder).stdout == "good\n"
        and "live" in run_command("journal", "stat", folder).stdout
    )
    assert "a relay runs on it" in run_command("journal", "compact", folder).stderr
    config = tmp_path / "kept/day/n0/relay.toml"
    assert "good, relay n0" in run_command("config", "check", config).stdout
    address = tuple(tomllib.loads(config.read_text())["listen"].split(":"))
    process.send_signal(signal.SIGTERM)  # an interrupted day leaves no process behind
    assert process.wait(10) != 0
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=1)
    assert " -> " in run_command("journal", "compact", folder).stdout
    assert run_command("journal", "salvage", folder, tmp_path / "fresh").returncode == 0
    assert (
        json.loads(run_command("journal", "dump", tmp_path / "fresh").stdout.splitlines()[0])["kind"]
        == "taken"
    )


FAKE_RUN_CODE = """
import pathlib, sys
folder, seed = sys.argv[sys.argv.index("--folder") + 1], sys.argv[sys.argv.index("--seed") + 1]
pathlib.Path(folder).mkdir(parents=True)
if seed == "4":
    sys.exit("no such thing")
print('{"broken": [%s]}' % ('{"rule": "one final answer"}' if seed != "1" else ""))
sys.exit({"1": 0, "2": 1, "3": 3}[seed])
"""


def test_a_soak_keeps_the_days_that_break_a_rule_with_the_command_that_reproduces_them(tmp_path):
    """A fake program runs the days: seed 1 keeps the rules, 2 breaks one, 3 is void, 4 fails to run."""
    day = str(ROOT / "examples" / "late-answers.toml")
    plan = Plan(
        days=(day,),
        seeds=seeds_of("1..4"),
        jobs=2,
        folder=tmp_path,
        relay="other {seed}",
        program=(sys.executable, "-c", FAKE_RUN_CODE),
    )
    summary = trio.run(soak, plan)
    assert summary.outcomes == {"kept": 1, "broken": 1, "void": 1, "failed": 1} and not summary.is_good()
    assert summary.rules == {"one final answer": 1} and max(summary.kinds.values()) == 3
    broken, failed = sorted(summary.unwell, key=lambda run: run.seed)
    assert broken.again == f"courseroute town run {day} --seed 2 --relay 'other 2'"
    assert {file.name for file in tmp_path.iterdir()} == {"late-answers-2", "late-answers-4"}
    assert (Path(failed.folder) / "errors").read_text() == "no such thing\n"


FAULT_PROBE_CODE = """
import json, os, time
def write():
    try:
        return os.write(handle, b"x")
    except OSError:
        return "failed"
handle = os.open("file", os.O_CREAT | os.O_WRONLY)
before = write(), time.time()
open(os.environ["FAULTS_FILE"], "w").write('{"disk_fails": true, "wall_clock_step_s": -3600}')
time.sleep(0.05)
during = write(), time.time()
open(os.environ["FAULTS_FILE"], "w").write("{}")
time.sleep(0.05)
print(json.dumps([before[0], during[0], write(), round(during[1] - before[1])]))
"""


def test_faults_inside_a_process_begin_and_end_while_it_runs(tmp_path):
    (tmp_path / "faults.json").write_text("{}")
    environ = os.environ | {"PYTHONPATH": str(SHIMS), "FAULTS_FILE": str(tmp_path / "faults.json")}
    process = subprocess.run(
        [sys.executable, "-c", FAULT_PROBE_CODE], cwd=tmp_path, env=environ, capture_output=True, text=True
    )
    assert json.loads(process.stdout) == [1, "failed", 1, -3600], process.stderr


def test_the_relay_imports_no_library_of_the_command_line_tools():
    code = (
        "import sys, courseroute.__main__; print([name for name in ('click', 'rich', 'numpy', "
        "'structlog', 'psutil', 'asyncio', 'courseroute.emulator', 'courseroute.command') "
        "if name in sys.modules])"
    )
    process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert process.stdout.strip() == "[]"
