"""The list of hosts as last told, kept in the relay's folder for a restart while the directory is away.

Called by `run.relay`, for installations of one's own; the platform hands each start the list itself. The file
is written beside and renamed, so that it is never half written; one that can't be read counts as none.
"""

import contextlib
import os

import orjson

STATES = {"ready": "active", "draining": "leaving"}
FIELDS = ("zone", "weight", "type", "group")


class Roster:
    def __init__(self, folder, most):
        """`most`: bytes the file may have; a longer list is not kept."""
        self.path, self.most = os.path.join(folder, "list"), most
        self.told, self.written = {}, None

    def read(self):
        """The list in discovery's form, None where there is none."""
        try:
            with open(self.path, "rb") as file:
                told = orjson.loads(file.read(self.most + 1))
            return told if isinstance(told, dict) else None
        except (OSError, ValueError):
            return None

    def keep(self, scope, entries, where):
        """Learns news and writes it at once: a process killed right behind it must not forget a drain."""
        self.learn(scope, entries, where)
        if entries:
            self.write()

    def learn(self, scope, entries, where):
        """News as `Discovery.learn` has them; entries are (name, state, area, rate, kind, destination)."""
        if scope == "full":
            self.told.clear()
        for name, state, area, rate, kind, dst in entries:
            if state not in STATES:
                self.told.pop(name, None)
                continue
            place = where.get(name) or self.told.get(name, {}).get("place")
            self.told[name] = {
                "status": STATES[state],
                "place": place,
                "zone": area,
                "weight": rate,
                "type": kind,
                "group": dst,
            }

    def write(self):
        """Keeps the list where it changed; a folder that can't be written costs the list, nothing else. What
        its answer is: whether it wrote."""
        data = orjson.dumps(
            {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": name,
                        "address": "{}:{}".format(*one["place"]),
                        "status": one["status"],
                        **{field: one[field] for field in FIELDS},
                    }
                    for name, one in self.told.items()
                    if one["place"]
                ],
            }
        )
        if data == self.written or not self.told or len(data) > self.most:
            return False
        with contextlib.suppress(OSError):
            with open(self.path + ".new", "wb") as file:
                file.write(data)
            os.replace(self.path + ".new", self.path)
            self.written = data
            return True
        with contextlib.suppress(OSError):
            os.unlink(self.path + ".new")
        return False
