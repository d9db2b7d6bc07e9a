import io
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from courseroute.adapter.wire import serve

ROOT = Path(__file__).parent.parent
OPTIONS = (
    "balancers=2\tme=0\tdiscovery=on_request\ttick=5000\tfamily-info.call-slots=4\t"
    "permissions.open-cap=20\tkinds=large\tfamily-info.routes-apart=false\tfamily-info.per-call=1\tweight-source=nominal\t"
    "grades.count=1\tgrades.0.name=q\tgrades.0.effect=pure\tgrades.0.deadline=9000000\tnever.heard=of"
)


def configure(who):
    return (
        f"CONFIGURE\twho={who}\tseed={who + 5}\toptions={OPTIONS}\n"
        "DEFINE_LIST\tsheet=0\tmembers-list=1\n"
        "ENTRY\thost=h:1\tstate=1\tarea=z\tpower-hint=3\ttype=large\tcell=7\n"
        f"VIEW\twho={who}\tscope=2\tstamp=1\tsheet=0\n"
    )


def inbound(who, name):
    return f"INBOUND\twho={who}\thandle={name}\tclient-deadline=9000001\tlane=q\tdestination=7\n"


def closed(who, name, ending, detail=0):
    return f"CLOSED_ATTEMPT\twho={who}\thandle={name}\tn=0\thost=h:1\tending={ending}\tdetail={detail}\n"


def batches(*whos):
    def batch(at, body):
        return f"BEGIN_BATCH\tat-time={at}\n" + "".join(body(who) for who in whos) + "YOUR_TURN\n"

    return (
        batch(1000, configure)
        + batch(2000, lambda who: inbound(who, f"a{who}") + inbound(who, f"b{who}"))
        + batch(3000, lambda who: closed(who, f"a{who}", "shed", 700) + "NOVELTY\twho=1\tx=2\n")
        + batch(800000, lambda who: f"FIRED\twho={who}\tlabel=1\n")
    )


def reply(text):
    sink, errors = io.BytesIO(), io.StringIO()
    code = serve(io.BytesIO(text.encode()), sink, errors)
    return code, sink.getvalue().decode(), errors.getvalue()


def test_deploy_files_command_answers_a_batch_alike_under_any_hash_seed():
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    said = {
        subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            input=batches(0, 1).encode(),
            check=True,
            env=os.environ | {"PYTHONHASHSEED": seed},
            stdout=subprocess.PIPE,
        ).stdout
        for seed in "017"
    }
    assert len(said) == 1
    text = said.pop().decode()
    assert text.count("OK\n") == 4 and "TAIL\twho=0\tactive=1" in text
    assert "DISPATCH\twho=1\thandle=a1\thost=h:1" in text


def test_relays_act_alike_together_and_apart():
    together = reply(batches(0, 1))[1].splitlines()
    for who in (0, 1):
        alone = [line for line in reply(batches(who))[1].splitlines() if line != "OK"]
        assert alone == [line for line in together if f"\twho={who}" in line]


@pytest.mark.parametrize(
    "text, code, part",
    [
        ("BEGIN_BATCH\tat-time=x\n", 2, "at-time"),
        ("BEGIN_BATCH\tat-time=1\nDEFINE_LIST\tsheet=0\tmembers-list=1\nYOUR_TURN\n", 2, "ENTRY"),
        ("BEGIN_BATCH\tat-time=1\n" + configure(0) + "INBOUND\twho=0\thandle=a\n", 2, "client-deadline"),
        ("BEGIN_BATCH\tat-time=1\nYOUR_TURN\n", 0, ""),
    ],
)
def test_malformed_lines_get_one_plain_message(text, code, part):
    seen, said, errors = reply(text)
    assert seen == code and part in errors and errors.count("\n") == (1 if code else 0)


def test_lists_resolve_in_order_and_a_relay_may_die_and_return_in_one_batch():
    text = (
        "BEGIN_BATCH\tat-time=1000\n" + configure(0) + "DEFINE_LIST\tsheet=0\tmembers-list=0\n"
        "DESTROY\twho=0\n" + configure(0) + inbound(0, "a") + "YOUR_TURN\n"
    )
    code, said, _ = reply(text)
    assert code == 0 and said.count("DISPATCH") == 1 and "handle=a" in said
