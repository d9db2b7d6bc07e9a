"""A small deployment: partners with a rate limit and load reports, relays, and clients that spread messages over them."""

import asyncio
import random

from peers import (
    QUOTE_ORDER,
    STATUS_NOTICE,
    Clients,
    Host,
    Platform,
    RelayProcess,
    arrivals,
    response,
    site_settings,
)


class Partner:
    """One destination: its hosts take `limit` calls a second from all relays together (a plain rate that saves up
    `depth_s` seconds of it). Above that it refuses with 429 and Wait-Ms. Answers tell share and figure of the limit."""

    def __init__(
        self, record, group, draw, hosts=2, limit=20.0, depth_s=0.5, wait_ms=(290, 990), work_s=(0.075, 0.13)
    ):
        self.record, self.group, self.draw, self.limit = record, group, draw, limit
        self.depth = self.tokens = max(1.0, limit * depth_s)
        self.filled_at, self.wait_ms, self.work_s = 0.0, wait_ms, work_s
        self.silent = False  # it takes calls and answers none
        self.report = None  # gives the text of the next answer's load report in place of the true one
        self.bodies = lambda call, status: b""
        self.hosts = [Host(f"s-{group}-{i}", group, record, self.behave) for i in range(hosts)]

    def within_limit(self):
        now = self.record.now()
        self.tokens = min(self.depth, self.tokens + (now - self.filled_at) * self.limit)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def answer(self, host, call, status, headers=()):
        text = self.report and self.report()
        text = text or f"TEXT x0={self.tokens / self.depth:.2f}, x1={self.limit:g}"
        fields = {name.replace("-", "_").lower(): value for name, value in headers}
        fields |= {"load": text if len(text) < 60 else f"{len(text)}-characters"}
        self.record.add("reply", host=host.name, id=call["id"], status=status, **fields)
        return response(status, [*headers, ("X-Load", text)], self.bodies(call, status))

    async def behave(self, host, call):
        if self.silent:
            return None
        if not self.within_limit():
            wait = int(self.draw.uniform(*self.wait_ms))
            return self.answer(host, call, 429, [("Wait-Ms", str(wait))])
        await asyncio.sleep(self.draw.uniform(*self.work_s))
        return self.answer(host, call, 200)


class Site:
    """Partners, the platform and relays. `start` starts them, `end` ends the relays."""

    def __init__(
        self, record, scratch, draw, partners, relays=2, grades=(QUOTE_ORDER, STATUS_NOTICE), **settings
    ):
        self.record, self.draw, self.partners = record, draw, partners
        self.hosts = [host for partner in partners for host in partner.hosts]
        self.platform = Platform(record, self.hosts)
        self.count, self.grades, self.settings, self.scratch = relays, grades, settings, scratch
        self.relays, self.clients, self.tasks = [], [], []

    async def start(self):
        for host in self.hosts:
            await host.server.listen()
        await self.platform.server.listen()
        for number in range(self.count):
            settings = site_settings(list(self.grades), balancers=self.count, me=number, **self.settings)
            relay = RelayProcess(
                self.record,
                f"n{number}",
                self.scratch,
                self.platform.server.address,
                self.platform.snapshot(),
                settings,
            )
            self.relays.append(relay)
            await relay.start()
            self.clients.append(Clients(self.record, relay.address))
        return self

    async def traffic(self, rate, until, pick):
        """Hands in `rate` messages a second, spread evenly over the relays, until the record's time `until`."""
        await asyncio.gather(
            *(arrivals(one, rate / self.count, until, self.draw, self.tasks, pick) for one in self.clients)
        )

    def lost(self):
        return [text for one in self.clients for text in one.lost()]

    def end(self):
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            relay.end()


def mixed_lanes(draw, partners):
    """Four fifths quote-order, one fifth status-notice, each for a partner drawn at random."""

    def pick():
        lane = "quote-order" if draw.random() < 0.8 else "status-notice"
        key = f"{draw.getrandbits(64):x}" if lane == "quote-order" else None
        left = 12000 if lane == "quote-order" else 8000
        return {"lane": lane, "dst": draw.choice(partners).group, "left_ms": left, "key": key}

    return pick


def seeded():
    """The draw of all cases."""
    return random.Random(52)
