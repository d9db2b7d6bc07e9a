"""The emulator's rule checker: for each rule, ledgers that break it and ledgers at its limit that keep it."""

import pytest

from courseroute.checked import made
from courseroute.emulator.judge import MS, RULES, Judge, S
from courseroute.emulator.scenario import Day

START = 1000 * S
LANE = {"target": "2s", "deadline": "8s"}
DAY = {
    "relays": {"count": 2},
    "partners": {"p": {"count": 2, "hosts": 2, "areas": ["a", "b"]}},
    "traffic": {"lanes": {"notice": 1.0}},
    "rules": {"drain_grace": "1s", "ask_within": "10s", "turn_gap": "1s"},
    "lanes": {
        "notice": LANE | {"effect": "retriable"},
        "order": LANE | {"effect": "keyed", "group": "all", "window": "5s"},
        "zoned": LANE | {"effect": "keyed", "group": "zone", "window": "5s"},
        "once": LANE | {"effect": "non-retriable"},
        "turn": LANE | {"effect": "retriable", "ordered": True},
    },
}


class Ledger:
    """Builds a ledger row by row, times in milliseconds from T0, and feeds it to a Judge."""

    def __init__(self):
        self.judge, self.call_count, self.at = Judge(made(DAY, Day)), 0, 0

    def add(self, what, ms, **fields):
        self.judge.feed({"at": START + ms * MS, "what": what, **fields})
        return self

    def submit(self, ms, id="1-1", lane="notice", key="", relay="n0", n=1, dst=1):
        return self.add(
            "hand",
            ms,
            id=id,
            n=n,
            relay=relay,
            lane=lane,
            mark="k",
            key=key,
            dst=dst,
            until=START + (ms + 8000) * MS,
        )

    def answer(self, ms, id="1-1", status=202, relay="n0"):
        return self.add("answer", ms, id=id, relay=relay, status=status, after=0)

    def call(self, ms, id="1-1", host="p-0.0", relay="n0", dst=1, began=None, **changes):
        self.call_count += 1
        fields = {"mark": "k", "same": True} | changes
        return self.add(
            "call",
            ms,
            c=str(self.call_count),
            id=id,
            relay=relay,
            host=host,
            name=host,
            dst=dst,
            began=START + (ms if began is None else began) * MS,
            **fields,
        )

    def reply(self, ms, status=200, wait=0, c=None, relay="n0", dst=1, name="p-0.0"):
        return self.add(
            "reply",
            ms,
            c=c or str(self.call_count),
            status=status,
            wait=wait * MS,
            relay=relay,
            dst=dst,
            name=name,
        )

    def execute(self, ms, c=None):
        return self.add("ran", ms, c=c or str(self.call_count), id="1-1", mark="k")

    def disconnect(self, ms, by="host", c=None):
        return self.add("broke", ms, c=c or str(self.call_count), by=by)

    def notice(self, ms, state="failed", id="1-1"):
        return self.add("notice", ms, id=id, state=state, after=0)

    def relay(self, ms, now, relay="n0", **more):
        return self.add("relay", ms, relay=relay, now=now, **more)

    def submit_second(self, key):
        """Submits a second message with this ordering key after the first."""
        return self.submit(5, "2-1", "turn", key, n=2).answer(6, "2-1")

    def advance_to(self, ms):
        """Moves the checker's time on, so that rules with a deadline are checked."""
        return self.add("late", ms, by=0)

    def broken_rules(self):
        """Ends the day and returns the rule of each violation."""
        self.judge.finish()
        return [violation.rule for violation in self.judge.broken]


def accepted(lane="notice", **more):
    """A ledger with one message that was submitted at 0 ms and accepted at 1 ms."""
    return Ledger().submit(0, lane=lane, **more).answer(1)


FINAL_ANSWER, NO_REPEAT, DRAINS, COLD_RETURNS, ORDER, WAITS, UNCHANGED = RULES


@pytest.mark.parametrize(
    "ledger, rules",
    [
        # Exactly one final answer, in time.
        (lambda: accepted().advance_to(8351), [FINAL_ANSWER]),
        (lambda: accepted().advance_to(8349), []),
        (lambda: accepted().call(5).reply(50).advance_to(9000), []),
        (lambda: accepted().notice(8340).advance_to(9000), []),
        (lambda: accepted().add("dropped", 400, id="1-1", relay="n0", why="no answer").advance_to(9000), []),
        (lambda: Ledger().submit(0).answer(1, status=503).advance_to(9000), []),
        (lambda: accepted().relay(8000, "kill").relay(8700, "ready").advance_to(10249), []),
        (lambda: accepted().relay(8000, "kill").relay(8700, "ready").advance_to(10251), [FINAL_ANSWER]),
        (lambda: accepted().relay(7000, "paused").relay(9000, "goes-on").notice(9100).advance_to(12000), []),
        (
            lambda: accepted().relay(7000, "paused").relay(9000, "goes-on").notice(9400).advance_to(12000),
            [FINAL_ANSWER],
        ),
        (
            lambda: accepted()
            .relay(7000, "paused")
            .relay(7500, "term")
            .relay(9000, "goes-on")
            .relay(9500, "ready")
            .notice(10900)
            .advance_to(12000),
            [],
        ),
        (lambda: accepted().relay(100, "kill").relay(900, "ready").advance_to(8351), [FINAL_ANSWER]),
        (lambda: accepted().relay(100, "kill").relay(100, "wiped").relay(900, "ready").advance_to(9000), []),
        (
            lambda: accepted()
            .add("platform", 8000, now="notices-down")
            .add("platform", 9000, now="notices-up")
            .notice(9900)
            .advance_to(12000),
            [],
        ),
        (
            lambda: accepted()
            .add("platform", 8000, now="notices-down")
            .add("platform", 9000, now="notices-up")
            .advance_to(10051),
            [FINAL_ANSWER],
        ),
        (lambda: accepted().notice(50, "failed").notice(60, "returned"), [FINAL_ANSWER]),
        (lambda: accepted().notice(50, "failed").notice(60, "failed"), []),
        (lambda: accepted().notice(50, "failed").call(101), [FINAL_ANSWER]),
        (lambda: accepted().notice(50, "failed").call(99), []),
        (lambda: Ledger().submit(0).answer(1, status=503).call(60), [FINAL_ANSWER]),
        (lambda: accepted().call(5).reply(50).call(200), [FINAL_ANSWER]),
        (lambda: accepted().call(5).reply(50).call(140), []),
        (lambda: accepted().call(5).reply(50).relay(60, "kill").relay(700, "ready").call(720).reply(750), []),
        (
            lambda: accepted().relay(20, "paused").call(25).reply(50).relay(900, "goes-on").call(910),
            [FINAL_ANSWER],
        ),
        (lambda: Ledger().notice(5, id="9-9"), [FINAL_ANSWER]),
        (lambda: accepted().relay(5, "kill").relay(5, "crashed", text="exit code 1"), [FINAL_ANSWER]),
        # No effect runs twice.
        (lambda: accepted("once").call(5).reply(9, 500).call(20), [NO_REPEAT]),
        (lambda: accepted("once").call(5).disconnect(9).call(20), [NO_REPEAT]),
        (lambda: accepted("once").call(5).call(20), [NO_REPEAT]),
        (lambda: accepted("once").call(5).reply(9, 503).call(20).reply(30), []),
        (lambda: accepted("once").call(5).reply(9, 429).call(20).reply(30), []),
        (lambda: accepted("once").call(5).reply(9, 500).notice(20, "returned"), [NO_REPEAT]),
        (lambda: accepted("once").call(5).reply(9, 503).notice(20, "returned"), []),
        (lambda: accepted("once").call(5).reply(9, 500).notice(20, "failed"), []),
        (lambda: Ledger().submit(0, lane="once").call(1).answer(5, status=503), [NO_REPEAT]),
        (lambda: accepted("order").call(5).disconnect(9).call(5054), []),
        (lambda: accepted("order").call(5).disconnect(9).call(5056), [NO_REPEAT]),
        (lambda: accepted("order").call(5).disconnect(9).notice(20, "returned"), []),
        (lambda: accepted("zoned").call(5).disconnect(9).notice(20, "returned"), [NO_REPEAT]),
        (lambda: accepted("zoned").call(5).disconnect(9).call(20, host="p-0.1"), [NO_REPEAT]),
        (lambda: accepted("zoned").call(5).reply(9, 503).call(20, host="p-0.1"), []),
        (lambda: accepted("zoned").call(5).disconnect(9).call(20, host="p-0.0+7"), []),
        (lambda: accepted("order").call(5).execute(6).disconnect(9).call(20).execute(21), [NO_REPEAT]),
        (lambda: accepted().call(5).execute(6).disconnect(9).call(20).execute(21), []),
        # No new call after a host drains.
        (
            lambda: accepted()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("told", 10, relay="n0", host="p-0.0", status="leaving")
            .call(1061),
            [DRAINS],
        ),
        (
            lambda: accepted()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("told", 10, relay="n0", host="p-0.0", status="leaving")
            .call(1080, began=1059)
            .reply(1090),
            [],
        ),
        (
            lambda: accepted()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("told", 10, relay="n1", host="p-0.0", status="leaving")
            .call(1061)
            .reply(1070),
            [],
        ),
        (
            lambda: accepted()
            .add("asked", 0, relay="n0")
            .add("changed", 5, host="p-0.0", status="leaving")
            .call(11051),
            [FINAL_ANSWER, DRAINS],
        ),
        (
            lambda: accepted()
            .add("asked", 0, relay="n0")
            .add("changed", 0, host="p-0.0", status="leaving")
            .call(7051)
            .reply(7060),
            [DRAINS],
        ),
        (
            lambda: accepted()
            .add("asked", 0, relay="n0")
            .add("changed", 0, host="p-0.0", status="leaving")
            .call(7049)
            .reply(7060),
            [],
        ),
        (
            lambda: accepted()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("platform", 1000, now="directory-down")
            .add("platform", 3000, now="directory-up")
            .call(7900)
            .reply(7910),
            [],
        ),
        (
            lambda: Ledger()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("platform", 1000, now="directory-down")
            .add("platform", 3000, now="directory-up")
            .submit(9000)
            .answer(9001)
            .call(10051)
            .reply(10060),
            [DRAINS],
        ),
        (
            lambda: Ledger()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("platform", 6500, now="directory-down")
            .submit(7000)
            .answer(7001)
            .call(7100)
            .reply(7110),
            [DRAINS],
        ),
        (
            lambda: Ledger()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("platform", 5500, now="directory-down")
            .submit(7000)
            .answer(7001)
            .call(9100)
            .reply(9110),
            [],
        ),
        (
            lambda: accepted()
            .add("changed", 0, host="p-0.0", status="leaving")
            .add("told", 10, relay="n0", host="p-0.0", status="leaving")
            .add("changed", 500, host="p-0.0", status="active")
            .call(2000)
            .reply(2010),
            [],
        ),
        # A host that was down returns at low load.
        (lambda: Ledger().add("fell", 5, dst="p-0", load=9, known=6), [COLD_RETURNS]),
        (lambda: Ledger().add("fell", 5, dst="p-0", load=9, known=5), []),
        # Messages with one ordering key are sent in order.
        (
            lambda: accepted("turn", key="x")
            .submit_second("x")
            .call(10, "2-1")
            .reply(20)
            .advance_to(2000)
            .call(2100)
            .reply(2200),
            [ORDER],
        ),
        (
            lambda: accepted("turn", key="x")
            .submit_second("x")
            .call(10, "2-1")
            .reply(20)
            .notice(30, "returned")
            .advance_to(2000),
            [],
        ),
        (
            lambda: accepted("turn", key="x").submit_second("x").call(10).reply(20).call(21, "2-1").reply(30),
            [],
        ),
        (
            lambda: accepted("turn", key="x")
            .submit_second("y")
            .call(10, "2-1")
            .reply(20)
            .call(2100)
            .reply(2200),
            [],
        ),
        (
            lambda: accepted("turn", key="x")
            .submit_second("x")
            .call(10)
            .disconnect(20)
            .notice(21, "returned")
            .call(900, "2-1")
            .reply(990),
            [ORDER],
        ),
        (
            lambda: accepted("turn", key="x")
            .submit_second("x")
            .call(10)
            .disconnect(20)
            .notice(21, "returned")
            .call(1021, "2-1")
            .reply(1040),
            [],
        ),
        (lambda: accepted("turn", key="x").call(10).disconnect(20).call(25).reply(40), []),
        (
            lambda: accepted("turn", key="x")
            .submit_second("x")
            .call(10)
            .notice(30, "returned")
            .call(90, "2-1")
            .reply(95)
            .reply(99, c="1"),
            [],
        ),
        # Requested waits are respected.
        (lambda: accepted().call(5).reply(9, 429, 900).call(500), [WAITS]),
        (lambda: accepted().call(5).reply(9, 429, 900).call(158).reply(170), []),
        (lambda: accepted().call(5).reply(9, 429, 900).call(910).reply(950), []),
        (
            lambda: accepted()
            .call(5)
            .reply(9, 429, 900)
            .submit(300, "2-1", n=2, dst=2)
            .answer(301, "2-1")
            .call(310, "2-1", "p-1.0", dst=2)
            .reply(320, dst=2, name="p-1.0")
            .notice(400),
            [],
        ),
        (
            lambda: accepted()
            .call(5)
            .reply(9, 429, 900)
            .submit(300, "2-1", relay="n1", n=2)
            .answer(301, "2-1", relay="n1")
            .call(310, "2-1", relay="n1")
            .reply(320, relay="n1")
            .notice(400),
            [],
        ),
        (
            lambda: accepted()
            .call(5)
            .reply(9, 429, 900)
            .relay(20, "kill")
            .relay(300, "ready")
            .call(310)
            .reply(320),
            [],
        ),
        # The body, key and destination are unchanged.
        (lambda: accepted().call(5, mark="other"), [UNCHANGED]),
        (lambda: accepted().call(5, same=False), [UNCHANGED]),
        (lambda: accepted().call(5, dst=2), [UNCHANGED]),
        (lambda: Ledger().call(5), [UNCHANGED]),
    ],
)
def test_a_rule_is_broken_or_just_kept(ledger, rules):
    assert ledger().broken_rules() == rules


def test_a_day_is_void_if_the_emulator_ran_too_late():
    ledger = accepted().add("late", 20, by=249 * MS)
    assert not ledger.judge.void and ledger.add("late", 30, by=251 * MS).judge.void


def test_open_messages_are_counted():
    ledger = accepted()
    assert ledger.judge.open() == 1 and ledger.call(5).reply(9).judge.open() == 0
