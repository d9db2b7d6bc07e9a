"""The last known list of endpoints, saved in the relay's folder for a restart while discovery is unavailable.

Used by `run.relay` in installations of one's own; the platform passes the list to each start itself. The file
is written under a temporary name and renamed, so that it is never partly written; a file that cannot be read
counts as missing.
"""

import contextlib
import os

import orjson

STATUS_OF_STATE = {"ready": "active", "draining": "leaving"}
CACHED_FIELDS = ("zone", "weight", "type", "group")


class EndpointCache:
    """The saved list: `endpoints` maps each name to its fields in discovery's form."""

    def __init__(self, folder, max_bytes):
        """`max_bytes`: a longer file is neither written nor read."""
        self.path, self.max_bytes = os.path.join(folder, "list"), max_bytes
        self.endpoints, self.last_written = {}, None

    def load(self):
        """The saved list in discovery's form, None where there is none."""
        try:
            with open(self.path, "rb") as file:
                saved = orjson.loads(file.read(self.max_bytes + 1))
            return saved if isinstance(saved, dict) else None
        except (OSError, ValueError):
            return None

    def update_and_save(self, scope, entries, addresses):
        """Applies an update and saves it at once: a process killed right after it must not forget a drain."""
        self.update(scope, entries, addresses)
        if entries:
            self.save()

    def update(self, scope, entries, addresses):
        """Applies an update as in `Discovery.apply_endpoints`. Entries are (name, state, zone, rate, kind,
        destination), `addresses` maps names to addresses."""
        if scope == "full":
            self.endpoints.clear()
        for name, state, zone, rate, kind, destination in entries:
            if state not in STATUS_OF_STATE:
                self.endpoints.pop(name, None)
                continue
            address = addresses.get(name) or self.endpoints.get(name, {}).get("address")
            self.endpoints[name] = {
                "status": STATUS_OF_STATE[state],
                "address": address,
                "zone": zone,
                "weight": rate,
                "type": kind,
                "group": destination,
            }

    def save(self):
        """Saves the list if it changed and returns whether it wrote. A write that fails leaves no partial
        file and is not reported: the relay works without the saved list."""
        data = orjson.dumps(
            {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {
                        "name": name,
                        "address": "{}:{}".format(*one["address"]),
                        "status": one["status"],
                        **{field: one[field] for field in CACHED_FIELDS},
                    }
                    for name, one in self.endpoints.items()
                    if one["address"]
                ],
            }
        )
        if data == self.last_written or not self.endpoints or len(data) > self.max_bytes:
            return False
        with contextlib.suppress(OSError):
            with open(self.path + ".new", "wb") as file:
                file.write(data)
            os.replace(self.path + ".new", self.path)
            self.last_written = data
            return True
        with contextlib.suppress(OSError):
            os.unlink(self.path + ".new")
        return False
