"""The one file of helpers: a relay under hand-held time, and what it was seen to do."""
from courseroute.decide import MS, Dispatcher, S

LANES = {
    "retriable": {"target": 2 * S, "deadline": 16 * S, "effect": "retriable"},
    "keyed": {"target": 2 * S, "deadline": 16 * S, "effect": "keyed", "group": "all", "window": 4 * S},
    "zoned": {"target": 2 * S, "deadline": 16 * S, "effect": "keyed", "group": "zone", "window": 4 * S},
    "once": {"target": 2 * S, "deadline": 16 * S, "effect": "non-retriable"},
    "ordered": {"target": 2 * S, "deadline": 16 * S, "effect": "retriable", "ordered": True},
}


class Relay:
    def __init__(self, hosts=(("a", 4.0),), kind="plain", **terms):
        told = {"slots": 8, "room": 40, "legs": 8, "cancel": True, "stay_away": 2 * S, "tick": 5 * MS,
                "cold": 10 * S, "cold_from": 0.25, "overload": 2.0, "turn_gap": S, "lanes": LANES,
                "kinds": {"plain": {"apart": False, "per_call": 1}, "apart": {"apart": True, "per_call": 5}}}
        self.now, self.n, self.seen = 1000 * S, 0, []
        self.relay = Dispatcher(7, told | terms)
        self.tell("start")
        self.tell("roster", "full", [(name, "ready", "z", rate, kind, "d") for name, rate in hosts])

    def tell(self, what, *told):
        acts = getattr(self.relay, what)(self.now, *told) + self.relay.settle(self.now)
        self.seen += [(self.now, *act) for act in acts]
        return [act for act in acts if act[0] not in ("wake", "log")]

    def take(self, lane="retriable", key=None, left=16 * S, dst="d"):
        self.n += 1
        return f"m{self.n}", self.tell("take", f"m{self.n}", dst, lane, self.now + left, key, None, False)

    def back(self, name, ending, n=0, host="a", wait=0, over=None, took=100 * MS, report=None):
        over = ending == "delivered" if over is None else over
        return self.tell("outcome", name, n, host, ending, took, wait, report, over)

    def run(self, span, step=5 * MS):
        """Lets time pass, a wake-up each step; returns what was done."""
        done, end = [], self.now + span
        while self.now < end:
            self.now += step
            done += self.tell("wake")
        return done

    def sends(self):
        return [act for act in self.seen if act[1] == "send"]


def named(acts, what):
    return [act for act in acts if act[0] == what]
