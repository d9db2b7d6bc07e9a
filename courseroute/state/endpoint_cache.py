"""The endpoint list of a relay and what is known of it, saved in its folder for the next process.

Two files. `list` holds the endpoints in discovery's form, with discovery's address and version; it is
written as soon as the list changes. `list-state` holds the ListKnowledge, which changes with each answer.
That counts for the list of its address and version only: behind a write that failed, the list has the
knowledge that was written with it.

A process reads both when it starts, and again when it takes the folder over; it writes once the folder is its
own. Files are replaced whole, so that none is partly written; one that can't be read counts as missing. An
earlier version of this program reads a `list` that is not compressed.
"""

import contextlib
import os
import threading
import zlib
from typing import NamedTuple

import msgspec
import orjson

from courseroute.decisions.endpoint_list import ListKnowledge
from courseroute.decisions.limits import RELAY_LIMITS
from courseroute.journal.checked_file import CheckedFile
from courseroute.journal.disk import Disk

STATUS_OF_STATE = {"ready": "active", "draining": "leaving"}
LIST_FILE, STATE_FILE = "list", "list-state"
STATE_VERSIONS = 1, 1  # the oldest and the newest that are read
STATE_BYTES = 512  # size of `list-state` on disk, in whole sectors
FASTEST_COMPRESSION = 1
MAX_LIST_BYTES = RELAY_LIMITS["max_list_bytes"]  # of a compressed list that is read


class ListOrigin(NamedTuple):
    """Where a list came from: discovery's address as text, and its version; None where unknown."""

    source: str | None = None
    version: int | None = None


class Endpoint(NamedTuple):
    """A listed endpoint: the entry as in `protocol.parse_endpoint_list`, and its address, None if unknown."""

    entry: tuple
    address: tuple | None


class ListState(msgspec.Struct, frozen=True):
    """The content of `list-state`."""

    source: str | None
    version: int | None
    knowledge: ListKnowledge


class SavedList(NamedTuple):
    """A list that was read: in discovery's form, with its origin and what was known of it."""

    document: dict
    origin: ListOrigin
    knowledge: ListKnowledge


class EndpointCache:
    """The saved list: `endpoints` maps each name to its Endpoint."""

    def __init__(self, folder, max_bytes, describe=lambda: (ListOrigin(), ListKnowledge())):
        """`max_bytes`: a longer `list` is not written; `describe()` returns the ListOrigin and the
        ListKnowledge of the relay's list."""
        self.path, self.max_bytes, self.describe = os.path.join(folder, LIST_FILE), max_bytes, describe
        self.state_file = CheckedFile(Disk(folder), STATE_FILE, STATE_VERSIONS, syncs=False)
        self.endpoints, self.last_state = {}, None
        self.state_lock = threading.Lock()
        self.is_unsaved, self.saved_origin = False, ListOrigin()

    def load(self):
        """The saved list in discovery's form, None where there is none."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(self.max_bytes + 1)
            is_plain = data[:1] == b"{"
            saved = orjson.loads(data if is_plain else zlib.decompressobj().decompress(data, MAX_LIST_BYTES))
            return saved if isinstance(saved, dict) else None
        except (OSError, ValueError, zlib.error):
            return None

    def load_list(self):
        """The SavedList, None where there is none."""
        document = self.load()
        if document is None:
            return None
        try:
            written = msgspec.convert(document.get("state"), ListState)
        except msgspec.ValidationError:  # written by an earlier version
            return SavedList(document, ListOrigin(), ListKnowledge())
        latest = self.load_state()
        if latest and (latest.source, latest.version) == (written.source, written.version):
            written = latest
        return SavedList(document, ListOrigin(written.source, written.version), written.knowledge)

    def load_state(self):
        """The latest ListState, None where there is none."""
        try:
            return msgspec.json.decode(self.state_file.read().data, type=ListState)
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
        if scope != "changes":
            self.endpoints.clear()
        for entry in entries:
            name, state, *_ = entry
            if state not in STATUS_OF_STATE:
                self.endpoints.pop(name, None)
                continue
            known = self.endpoints.get(name)
            self.endpoints[name] = Endpoint(entry, addresses.get(name) or (known and known.address))
        self.is_unsaved = self.is_unsaved or bool(entries) or scope != "changes"

    def save(self):
        """Saves the list if it changed and returns whether it wrote. A write that fails leaves no partial
        file and is not reported: the relay works without the saved list, and writes it at the next call."""
        origin, knowledge = self.describe()
        if not self.is_unsaved and origin == self.saved_origin:
            return False
        data = self.serialize(ListState(*origin, knowledge))
        if len(data) > self.max_bytes:
            self.is_unsaved, self.saved_origin = False, origin
            return False
        with contextlib.suppress(OSError):
            with open(self.path + ".new", "wb") as file:
                file.write(data)
            os.replace(self.path + ".new", self.path)
            self.is_unsaved, self.saved_origin = False, origin
            return True
        with contextlib.suppress(OSError):
            os.unlink(self.path + ".new")
        return False

    def serialize(self, state):
        """The bytes of `list`, compressed if they would be too long."""
        endpoints = [document_of(endpoint) for endpoint in self.endpoints.values() if endpoint.address]
        document = {"index": 1 if state.version is None else state.version, "snapshot": True}
        document |= {"state": msgspec.to_builtins(state), "endpoints": endpoints}
        data = orjson.dumps(document)
        return data if len(data) <= self.max_bytes else zlib.compress(data, FASTEST_COMPRESSION)

    def save_state(self, origin, knowledge):
        """Saves the ListKnowledge of the list with this ListOrigin, if it changed; may be called on any
        thread. A write that fails is not reported: the next process takes the list to be as old as it
        knows."""
        state = ListState(*origin, knowledge)
        with self.state_lock, contextlib.suppress(OSError):
            if state != self.last_state:
                self.state_file.write(msgspec.json.encode(state), knowledge.as_of or 0)
                self.last_state = state


def document_of(endpoint):
    """An Endpoint in discovery's form."""
    name, state, zone, rate, kind, destination = endpoint.entry
    return {
        "name": name,
        "address": "{}:{}".format(*endpoint.address),
        "status": STATUS_OF_STATE[state],
        "zone": zone,
        "weight": rate,
        "type": kind,
        "group": destination,
    }
