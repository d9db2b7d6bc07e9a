"""Discovery: a watch kept up by one call after another; each failure is told, and the module asks anew."""
import orjson
import trio

from courseroute.wire.http import LOST, Call, Refused
from courseroute.wire.words import UNITS, roster_of


class Watch:
    """What a watch asks next, and what its answers say; knows no socket."""

    def __init__(self, listed_rates, index):
        self.listed_rates, self.index = listed_rates, index

    def target(self, wait):
        known = f"index={self.index}&" if self.index is not None else ""
        return f"/v1/endpoints?{known}wait={wait // UNITS['m']}" if known else "/v1/endpoints"

    def answer(self, status, body):
        """(scope, entries, addresses); ValueError where the answer is none, the whole list is asked then."""
        if status != 200:
            raise ValueError(f"status {status}")
        try:
            index, *told = roster_of(orjson.loads(body), self.listed_rates)
        except ValueError:
            self.index = None
            raise
        self.index = index
        return told


class Discovery:
    def __init__(self, desk, hosts, house, place, watch, log):
        self.desk, self.hosts, self.house, self.place = desk, hosts, house, place
        self.watch, self.log = watch, log
        self.wait, self.asked, self.conn = None, trio.Event(), None

    def ask(self, wait):
        self.wait = wait
        self.asked.set()

    def learn(self, scope, entries, where):
        self.hosts.where.update(where)
        self.desk.tell("roster", scope, entries)

    async def serve(self):
        while True:
            await self.asked.wait()
            self.asked = trio.Event()
            try:
                while True:
                    self.learn(*self.watch.answer(*await self.get(self.watch.target(self.wait))))
            except (*LOST, Refused, ValueError) as cause:
                self.log("discovery failed", error=str(cause)[:200] or type(cause).__name__)
                self.drop()
                self.desk.tell("roster", "failed", [])

    async def get(self, target):
        with trio.move_on_after((self.wait + self.house["list_within"]) / 1e9):
            if self.conn is None:
                sock = trio.socket.socket()
                self.conn = trio.SocketStream(sock), Call(self.house["head"], self.house["list"])
                await sock.connect(self.place)
            stream, call = self.conn
            await stream.send_all(call.begin("GET", target, [("Host", "discovery")]))
            while not call.done:
                call.feed(await stream.receive_some(self.house["body"]))
            told = call.status, call.body()
            if not call.reusable():
                self.drop()
            return told
        raise ValueError("no answer in time")

    def drop(self):
        if self.conn is not None:
            self.conn[0].socket.close()
            self.conn = None
