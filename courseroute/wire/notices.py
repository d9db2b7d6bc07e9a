"""Notices to the platform: a queue of ends owed, told in batches over one connection until they are taken."""

import orjson
import trio

from courseroute.wire.http import Refused
from courseroute.wire.link import LOST, Line
from courseroute.wire.words import UNITS


class Notices:
    def __init__(self, desk, house, place, log):
        self.desk, self.house, self.log = desk, house, log
        self.line = Line(place, house["head"], house["body"])
        self.lines, self.some = {}, trio.Event()
        self.failing = False

    def owe(self, name, state, after):
        line = {"id": name, "state": state}
        if after:
            line["after_ms"] = -(-after // UNITS["m"])
        self.lines[name] = orjson.dumps(line) + b"\n"
        self.some.set()

    def batch(self):
        """As many as a body holds, the oldest first."""
        names, size = [], 0
        for name, line in self.lines.items():
            size += len(line)
            if size > self.house["body"]:
                break
            names.append(name)
        return names, b"".join(self.lines[name] for name in names)

    async def serve(self):
        while True:
            while not self.lines:
                self.some = trio.Event()
                await self.some.wait()
            names, body = self.batch()
            status = await self.post(body)
            if status is None:
                await trio.sleep(self.house["notice_pause"] / 1e9)
                continue
            if status != 204:
                self.log("notices not taken", status=status, count=len(names))
                if status != 400:
                    await trio.sleep(self.house["notice_pause"] / 1e9)
                    continue
            for name in names:
                del self.lines[name]
            self.desk.told_of(names)

    async def post(self, body):
        """The answer's status, None where none came."""
        begun = trio.current_time()
        try:
            status, _ = await self.line.exchange(
                self.house["notice_within"], "POST", "/v1/notices", [("Host", "platform")], body
            )
            if not await self.line.is_sure():  # told once more on a new connection, which does no harm
                self.log("notices told again", count=body.count(b"\n"), status=status)
                return await self.post(body)
        except (*LOST, Refused) as error:
            status = None
            self.log(
                "notice call failed",
                error=str(error)[:200] or type(error).__name__,
                call_ms=round((trio.current_time() - begun) * 1000),
                notices=body.count(b"\n"),
            )
        if (status is None) != self.failing:
            self.failing = status is None
            self.log("notices fail" if self.failing else "notices are taken again", owed=len(self.lines))
        return status
