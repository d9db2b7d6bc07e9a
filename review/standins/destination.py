"""A destination with a limit, a capacity and cold returns, as the brief and the rules on sockets describe it."""

import asyncio
from collections import deque

from peers import Host

SLACK = ((30, 3, 3), (float("inf"), 2, 2))  # (N below, factor of its root, constant)


class Destination:
    """All hosts of one destination. `limit`: calls a second of all relays together; `workers` calls at once and
    `queue` waiting calls for each host; `work_s`: time of a call when warm. Cold hosts work at a share of their pace."""

    def __init__(
        self, record, group, draw, hosts=2, limit=60.0, workers=4, queue=8, work_s=0.1, depth_s=0.5, **terms
    ):
        self.record, self.group, self.draw, self.limit = (
            record,
            group,
            draw,
            limit,
        )  # None: none but its capacity
        self.workers, self.queue, self.work_s = workers, queue, work_s
        self.depth = self.tokens = (limit or 0) * depth_s
        self.filled_at = 0.0
        self.cold_s, self.cold_from = terms.get("cold_s", 10.0), terms.get("cold_from", 0.25)
        self.overload, self.fall_s = terms.get("overload", 1.5), terms.get("fall_s", 1.5)
        self.tells_wait, self.wait_s = terms.get("tells_wait", 0.85), terms.get("wait_s", (0.29, 0.99))
        self.reports = terms.get("reports", True)
        self.hosts = [
            Host(f"s-{group}-{i}", group, record, self.behave, terms.get("kind", "large"))
            for i in range(hosts)
        ]
        self.busy = {host.name: 0 for host in self.hosts}
        self.room = {host.name: asyncio.Semaphore(workers) for host in self.hosts}
        self.shut_until = self.cold_since = None
        self.silent = False  # it takes calls and answers none
        self.recent, self.fell_at, self.broken = deque(), None, []
        self.aware = False  # a call failed or was refused during the outage
        self.most = (
            0.0,
            0,
            0.0,
        )  # the highest load after the return: (share of what is allowed, calls, allowed)

    @property
    def capacity(self):
        return len(self.hosts) * self.workers / self.work_s

    def share(self):
        """The share of its capacity that it has now."""
        if self.cold_since is None:
            return 1.0
        return min(
            1.0, self.cold_from + (1 - self.cold_from) * (self.record.now() - self.cold_since) / self.cold_s
        )

    def goes_down(self):
        """Its hosts' processes end: connections are reset, new ones refused."""
        for host in self.hosts:
            host.server.die()
        self.record.add("down", group=self.group)

    async def comes_up(self):
        """Its hosts' processes are back, and cold."""
        for host in self.hosts:
            await host.server.listen()
        self.returns()

    def returns(self):
        """The end of an outage: it is cold from now on."""
        self.shut_until, self.silent, self.cold_since = None, False, self.record.now()
        self.recent.clear()
        self.record.add("returned", group=self.group, aware=self.aware)

    def weigh(self):
        """Counts a call against what a cold destination takes; it falls over above that."""
        now = self.record.now()
        if self.cold_since is None or now > self.cold_since + self.cold_s:
            return
        self.recent.append(now)
        while self.recent[0] <= now - self.fall_s:
            self.recent.popleft()
        allowed = self.overload * self.capacity * self.share() * self.fall_s
        factor, constant = next((factor, constant) for below, factor, constant in SLACK if allowed < below)
        bound = allowed + factor * allowed**0.5 + constant
        self.most = max(self.most, (len(self.recent) / bound, len(self.recent), bound))
        if len(self.recent) > bound and self.fell_at is None:
            self.fell_at = now
            text = (
                f"{now - self.cold_since:.2f} s after its return destination {self.group} had {len(self.recent)} calls "
                f"in {self.fall_s} s, where {allowed:.1f} are allowed and {bound:.1f} with the slack; "
                f"it had refused this relay in the outage: {self.aware}"
            )
            self.record.add("fell", group=self.group, calls=len(self.recent), allowed=round(allowed, 1))
            if self.aware:
                self.broken.append(text)

    def within_limit(self):
        now = self.record.now()
        if self.limit is None:
            return True
        self.tokens = min(self.depth, self.tokens + (now - self.filled_at) * self.limit)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def fields(self):
        if not self.reports:
            return {}
        if self.limit is None:
            return {"X_Load": "TEXT x0=0, x1=0"}
        return {"X_Load": f"TEXT x0={max(0.0, self.tokens / self.depth):.2f}, x1={self.limit:g}"}

    async def behave(self, host, call):
        now = self.record.now()
        if self.shut_until is not None:
            self.aware = True
            told = (
                {"Wait_Ms": int((self.shut_until - now) * 1000) + 1}
                if self.draw.random() < self.tells_wait
                else {}
            )
            return host.reply(call, 429 if told else 503, **told)
        if self.silent:
            self.aware = True
            return None
        self.weigh()
        if self.fell_at is not None:
            return host.reply(call, 503)
        if not self.within_limit():
            told = (
                {"Wait_Ms": int(1000 * self.draw.uniform(*self.wait_s))}
                if self.draw.random() < self.tells_wait
                else {}
            )
            return host.reply(call, 429 if told else 503, **self.fields(), **told)
        if self.busy[host.name] >= self.workers + self.queue:
            return host.reply(call, 503, **self.fields())
        self.busy[host.name] += 1
        try:
            async with self.room[host.name]:
                await asyncio.sleep(self.work_s * self.draw.uniform(0.75, 1.3) / self.share())
        finally:
            self.busy[host.name] -= 1
        return host.reply(call, 200, **self.fields())
