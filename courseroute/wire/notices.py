"""Notices to the platform: a queue of ends owed, told in batches over one connection until they are taken."""
import orjson
import trio

from courseroute.wire.http import LOST, Call, Refused
from courseroute.wire.words import UNITS


class Notices:
    def __init__(self, desk, house, place, log):
        self.desk, self.house, self.place, self.log = desk, house, place, log
        self.lines, self.some = {}, trio.Event()
        self.conn = None
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
        """The answer's status, None where none came; if a kept connection was closed it is tried anew."""
        status, kept = None, self.conn is not None
        try:
            with trio.move_on_after(self.house["notice_within"] / 1e9):
                if self.conn is None:
                    sock = trio.socket.socket()
                    self.conn = trio.SocketStream(sock), Call(self.house["head"])
                    await sock.connect(self.place)
                stream, call = self.conn
                await stream.send_all(call.begin("POST", "/v1/notices", [("Host", "platform")], body) + body)
                while not call.done:
                    call.feed(await stream.receive_some(self.house["head"]))
                status = call.status
        except (*LOST, Refused):
            pass
        if status is None or not self.conn[1].reusable():
            self.conn[0].socket.close()
            self.conn = None
            if status is None and kept:
                return await self.post(body)
        if (status is None) != self.failing:
            self.failing = status is None
            self.log("notices fail" if self.failing else "notices are taken again", owed=len(self.lines))
        return status
