"""The rule checker of the emulator: for each rule, ledgers that break it and ledgers that just keep it."""
import pytest

from courseroute.checked import made
from courseroute.town.judge import MS, RULES, Judge, S
from courseroute.town.script import Day

T0 = 1000 * S
LANE = {"target": "2s", "deadline": "8s"}
DAY = {
    "relays": {"count": 2}, "partners": {"p": {"count": 2, "hosts": 2, "areas": ["a", "b"]}},
    "traffic": {"lanes": {"notice": 1.0}},
    "rules": {"drain_grace": "1s", "ask_within": "10s", "turn_gap": "1s"},
    "lanes": {"notice": LANE | {"effect": "retriable"},
              "order": LANE | {"effect": "keyed", "group": "all", "window": "5s"},
              "zoned": LANE | {"effect": "keyed", "group": "zone", "window": "5s"},
              "once": LANE | {"effect": "non-retriable"},
              "turn": LANE | {"effect": "retriable", "ordered": True}}}


class Ledger:
    """Builds a ledger row by row, times in milliseconds from T0, and feeds it to a Judge."""

    def __init__(self):
        self.judge, self.c, self.at = Judge(made(DAY, Day)), 0, 0

    def row(self, what, ms, **row):
        self.judge.feed({"at": T0 + ms * MS, "what": what, **row})
        return self

    def hand(self, ms, id="1-1", lane="notice", key="", relay="n0", n=1, dst=1):
        return self.row("hand", ms, id=id, n=n, relay=relay, lane=lane, mark="k", key=key, dst=dst,
                        until=T0 + (ms + 8000) * MS)

    def taken(self, ms, id="1-1", status=202, relay="n0"):
        return self.row("answer", ms, id=id, relay=relay, status=status, after=0)

    def call(self, ms, id="1-1", host="p-0.0", relay="n0", dst=1, began=None, **odd):
        self.c += 1
        told = {"mark": "k", "same": True} | odd
        return self.row("call", ms, c=str(self.c), id=id, relay=relay, host=host, name=host, dst=dst,
                        began=T0 + (ms if began is None else began) * MS, **told)

    def reply(self, ms, status=200, wait=0, c=None, relay="n0", dst=1, name="p-0.0"):
        return self.row("reply", ms, c=c or str(self.c), status=status, wait=wait * MS, relay=relay, dst=dst,
                        name=name)

    def ran(self, ms, c=None):
        return self.row("ran", ms, c=c or str(self.c), id="1-1", mark="k")

    def broke(self, ms, by="host", c=None):
        return self.row("broke", ms, c=c or str(self.c), by=by)

    def notice(self, ms, state="failed", id="1-1"):
        return self.row("notice", ms, id=id, state=state, after=0)

    def relay(self, ms, now, relay="n0", **more):
        return self.row("relay", ms, relay=relay, now=now, **more)

    def second(self, key):
        """A second message with that ordering key, submitted after the first."""
        return self.hand(5, "2-1", "turn", key, n=2).taken(6, "2-1")

    def later(self, ms):
        return self.row("late", ms, by=0)

    def found(self):
        self.judge.finish()
        return [one.rule for one in self.judge.broken]


def start(lane="notice", **more):
    return Ledger().hand(0, lane=lane, **more).taken(1)


ONE, TWICE, DRAINS, COLD, ORDER, WAITS, SAME = RULES


@pytest.mark.parametrize("ledger, rules", [
    # One final answer, in time.
    (lambda: start().later(8351), [ONE]),
    (lambda: start().later(8349), []),
    (lambda: start().call(5).reply(50).later(9000), []),
    (lambda: start().notice(8340).later(9000), []),
    (lambda: start().row("dropped", 400, id="1-1", relay="n0", why="no answer").later(9000), []),
    (lambda: Ledger().hand(0).taken(1, status=503).later(9000), []),
    (lambda: start().relay(8000, "kill").relay(8700, "ready").later(10249), []),
    (lambda: start().relay(8000, "kill").relay(8700, "ready").later(10251), [ONE]),
    (lambda: start().relay(7000, "paused").relay(9000, "goes-on").notice(9100).later(12000), []),
    (lambda: start().relay(7000, "paused").relay(9000, "goes-on").notice(9400).later(12000),
     [ONE]),
    (lambda: start().relay(7000, "paused").relay(7500, "term").relay(9000, "goes-on").relay(9500, "ready")
     .notice(10900).later(12000), []),
    (lambda: start().relay(100, "kill").relay(900, "ready").later(8351), [ONE]),
    (lambda: start().relay(100, "kill").relay(100, "wiped").relay(900, "ready").later(9000), []),
    (lambda: start().row("platform", 8000, now="notices-down").row("platform", 9000, now="notices-up")
     .notice(9900).later(12000), []),
    (lambda: start().row("platform", 8000, now="notices-down").row("platform", 9000, now="notices-up")
     .later(10051), [ONE]),
    (lambda: start().notice(50, "failed").notice(60, "returned"), [ONE]),
    (lambda: start().notice(50, "failed").notice(60, "failed"), []),
    (lambda: start().notice(50, "failed").call(101), [ONE]),
    (lambda: start().notice(50, "failed").call(99), []),
    (lambda: Ledger().hand(0).taken(1, status=503).call(60), [ONE]),
    (lambda: start().call(5).reply(50).call(200), [ONE]),
    (lambda: start().call(5).reply(50).call(140), []),
    (lambda: start().call(5).reply(50).relay(60, "kill").relay(700, "ready").call(720).reply(750), []),
    (lambda: Ledger().notice(5, id="9-9"), [ONE]),
    (lambda: start().relay(5, "kill").relay(5, "crashed", text="exit code 1"), [ONE]),
    # No effect twice.
    (lambda: start("once").call(5).reply(9, 500).call(20), [TWICE]),
    (lambda: start("once").call(5).broke(9).call(20), [TWICE]),
    (lambda: start("once").call(5).call(20), [TWICE]),
    (lambda: start("once").call(5).reply(9, 503).call(20).reply(30), []),
    (lambda: start("once").call(5).reply(9, 429).call(20).reply(30), []),
    (lambda: start("once").call(5).reply(9, 500).notice(20, "returned"), [TWICE]),
    (lambda: start("once").call(5).reply(9, 503).notice(20, "returned"), []),
    (lambda: start("once").call(5).reply(9, 500).notice(20, "failed"), []),
    (lambda: Ledger().hand(0, lane="once").call(1).taken(5, status=503), [TWICE]),
    (lambda: start("order").call(5).broke(9).call(5054), []),
    (lambda: start("order").call(5).broke(9).call(5056), [TWICE]),
    (lambda: start("order").call(5).broke(9).notice(20, "returned"), []),
    (lambda: start("zoned").call(5).broke(9).notice(20, "returned"), [TWICE]),
    (lambda: start("zoned").call(5).broke(9).call(20, host="p-0.1"), [TWICE]),
    (lambda: start("zoned").call(5).reply(9, 503).call(20, host="p-0.1"), []),
    (lambda: start("zoned").call(5).broke(9).call(20, host="p-0.0+7"), []),
    (lambda: start("order").call(5).ran(6).broke(9).call(20).ran(21), [TWICE]),
    (lambda: start().call(5).ran(6).broke(9).call(20).ran(21), []),
    # Drains.
    (lambda: start().row("changed", 0, host="p-0.0", status="leaving")
     .row("told", 10, relay="n0", host="p-0.0", status="leaving").call(1061), [DRAINS]),
    (lambda: start().row("changed", 0, host="p-0.0", status="leaving")
     .row("told", 10, relay="n0", host="p-0.0", status="leaving").call(1080, began=1059).reply(1090), []),
    (lambda: start().row("changed", 0, host="p-0.0", status="leaving")
     .row("told", 10, relay="n1", host="p-0.0", status="leaving").call(1061).reply(1070), []),
    (lambda: start().row("asked", 0, relay="n0").row("changed", 5, host="p-0.0", status="leaving")
     .call(11051), [ONE, DRAINS]),
    (lambda: start().row("asked", 0, relay="n0").row("changed", 0, host="p-0.0", status="leaving")
     .call(7051).reply(7060), [DRAINS]),
    (lambda: start().row("asked", 0, relay="n0").row("changed", 0, host="p-0.0", status="leaving")
     .call(7049).reply(7060), []),
    (lambda: start().row("changed", 0, host="p-0.0", status="leaving")
     .row("platform", 1000, now="directory-down").row("platform", 3000, now="directory-up")
     .call(7900).reply(7910), []),
    (lambda: Ledger().row("changed", 0, host="p-0.0", status="leaving")
     .row("platform", 1000, now="directory-down").row("platform", 3000, now="directory-up").hand(9000)
     .taken(9001).call(10051).reply(10060), [DRAINS]),
    (lambda: Ledger().row("changed", 0, host="p-0.0", status="leaving")
     .row("platform", 6500, now="directory-down").hand(7000).taken(7001).call(7100).reply(7110), [DRAINS]),
    (lambda: Ledger().row("changed", 0, host="p-0.0", status="leaving")
     .row("platform", 5500, now="directory-down").hand(7000).taken(7001).call(9100).reply(9110), []),
    (lambda: start().row("changed", 0, host="p-0.0", status="leaving")
     .row("told", 10, relay="n0", host="p-0.0", status="leaving")
     .row("changed", 500, host="p-0.0", status="active").call(2000).reply(2010), []),
    # Cold returns.
    (lambda: Ledger().row("fell", 5, dst="p-0", load=9, known=6), [COLD]),
    (lambda: Ledger().row("fell", 5, dst="p-0", load=9, known=5), []),
    # Order.
    (lambda: start("turn", key="x").second("x").call(10, "2-1").reply(20)
     .later(2000).call(2100).reply(2200), [ORDER]),
    (lambda: start("turn", key="x").second("x").call(10, "2-1").reply(20)
     .notice(30, "returned").later(2000), []),
    (lambda: start("turn", key="x").second("x").call(10).reply(20)
     .call(21, "2-1").reply(30), []),
    (lambda: start("turn", key="x").second("y").call(10, "2-1").reply(20)
     .call(2100).reply(2200), []),
    (lambda: start("turn", key="x").second("x").call(10).broke(20)
     .notice(21, "returned").call(900, "2-1").reply(990), [ORDER]),
    (lambda: start("turn", key="x").second("x").call(10).broke(20)
     .notice(21, "returned").call(1021, "2-1").reply(1040), []),
    (lambda: start("turn", key="x").call(10).broke(20).call(25).reply(40), []),
    (lambda: start("turn", key="x").second("x").call(10)
     .notice(30, "returned").call(90, "2-1").reply(95).reply(99, c="1"), []),
    # Waits.
    (lambda: start().call(5).reply(9, 429, 900).call(500), [WAITS]),
    (lambda: start().call(5).reply(9, 429, 900).call(158).reply(170), []),
    (lambda: start().call(5).reply(9, 429, 900).call(910).reply(950), []),
    (lambda: start().call(5).reply(9, 429, 900).hand(300, "2-1", n=2, dst=2).taken(301, "2-1")
     .call(310, "2-1", "p-1.0", dst=2).reply(320, dst=2, name="p-1.0").notice(400), []),
    (lambda: start().call(5).reply(9, 429, 900).hand(300, "2-1", relay="n1", n=2)
     .taken(301, "2-1", relay="n1").call(310, "2-1", relay="n1").reply(320, relay="n1").notice(400), []),
    (lambda: start().call(5).reply(9, 429, 900).relay(20, "kill").relay(300, "ready").call(310)
     .reply(320), []),
    # Unchanged.
    (lambda: start().call(5, mark="other"), [SAME]), (lambda: start().call(5, same=False), [SAME]),
    (lambda: start().call(5, dst=2), [SAME]), (lambda: Ledger().call(5), [SAME]),
])
def test_a_rule_is_broken_or_just_kept(ledger, rules):
    assert ledger().found() == rules


def test_a_day_is_void_if_the_emulator_ran_too_late():
    ledger = start().row("late", 20, by=249 * MS)
    assert not ledger.judge.void and ledger.row("late", 30, by=251 * MS).judge.void


def test_open_messages_are_counted():
    ledger = start()
    assert ledger.judge.open() == 1 and ledger.call(5).reply(9).judge.open() == 0
