"""Calls to discovery for the list of endpoints, one at a time; the dispatcher decides when each is made."""

import orjson
import trio

from courseroute.state.endpoint_cache import ListOrigin
from courseroute.wire.connection import CONNECTION_ERRORS, PersistentConnection
from courseroute.wire.http import ProtocolError
from courseroute.wire.protocol import UNITS, parse_endpoint_list

MAX_NAMES_LOGGED = 16  # endpoints that are draining or gone, named in one line of the log
MAX_PROCESSING_NS = 1_000_000_000  # longest time that discovery spends on a call, apart from its wait


class UnexpectedStatus(ValueError):
    """An answer whose status is not 200."""


class Watch:
    """Builds the request for the list and parses the answer, without any I/O.

    `index` is the version of the last answer, None where the whole list must be requested.
    """

    def __init__(self, listed_rates, index):
        self.listed_rates, self.index = listed_rates, index

    def target(self, wait):
        """The request target. With a known version, discovery waits up to `wait` nanoseconds for changes."""
        known = f"index={self.index}&" if self.index is not None else ""
        return f"/v1/endpoints?{known}wait={max(1, wait // UNITS['m'])}" if known else "/v1/endpoints"

    def parse_answer(self, status, body):
        """[scope, entries, addresses]. Raises ValueError for an answer that cannot be used; after one that
        cannot be parsed the next call requests the whole list."""
        if status != 200:
            raise UnexpectedStatus(f"status {status}")
        try:
            index, *answer = parse_endpoint_list(orjson.loads(body), self.listed_rates)
        except ValueError:
            self.index = None
            raise
        self.index = index
        return answer


class ListCall:
    """One call for the list; times are nanoseconds of the relay's clock."""

    def __init__(self, connection, wait, started_at, continues):
        self.connection, self.wait, self.started_at = connection, wait, started_at
        self.continues = continues  # sent right after the previous answer, on the same connection
        self.scope = trio.CancelScope()

    def as_of(self, received):
        """The time at which the list in its answer was current: the end of the wait if there was no change
        until then, else the earliest time at which discovery may have read its list."""
        waited_until = self.started_at + self.wait
        if received >= waited_until:
            return waited_until
        return max(self.started_at, received - MAX_PROCESSING_NS)


class Discovery:
    """Makes the calls and passes the lists to the tracker and to the drivers of the hosts.

    `on_endpoints(scope, entries, addresses)` is called for each list too, where the relay saves it, and
    `on_failure()` behind each call that failed. `list_origin`: the ListOrigin of the list that is used.
    """

    def __init__(self, nursery, tracker, hosts, limits, address, watch, clock, log):
        self.nursery, self.tracker, self.hosts, self.limits = nursery, tracker, hosts, limits
        self.address, self.watch, self.clock, self.log = address, watch, clock, log
        self.call = None  # the ListCall under way
        self.idle_connection = None  # that of the last answer, until the next call
        self.on_endpoints = None
        self.on_failure = lambda: None
        self.list_origin = ListOrigin()
        self.answered_at, self.failures = None, 0  # time of the last answer, failed calls since then

    def request_list(self, wait):
        """Starts a call, which discovery may hold for `wait` nanoseconds until the list changes. A call under
        way has failed to answer in time and is abandoned."""
        if self.call:
            self.log_failure(self.call, "no answer in time")
            self.abandon_call()
        if self.failures or self.answered_at is None:
            self.log("discovery asked", wait_ms=wait // UNITS["m"], **self.list_state())
        connection, self.idle_connection = self.idle_connection, None
        wait = wait if self.watch.index is not None else 0
        self.call = ListCall(
            connection or self.new_connection(), wait, self.clock(), continues=connection is not None
        )
        self.nursery.start_soon(self.make_call, self.call)

    def new_connection(self):
        return PersistentConnection(
            self.address, self.limits["max_head_bytes"], self.limits["max_list_bytes"]
        )

    def source(self):
        """Discovery's present address as text."""
        return "{}:{}".format(*self.address)

    def set_address(self, address):
        """Sets discovery's address. A call under way is abandoned, and the new address is called at once."""
        # Versions are valid at one address only: the whole list is requested.
        self.address, self.watch.index = address, None
        if self.call:
            self.abandon_call()
        if self.idle_connection:
            self.idle_connection.close()
            self.idle_connection = None
        self.tracker.notify_dispatcher("discovery_moved")
        self.on_failure()  # what was known of the list holds for a shorter time now

    def abandon_call(self):
        self.call.scope.cancel()
        self.call = None

    def apply_endpoints(self, scope, entries, addresses, as_of=None):
        """Applies a list. `scope`: full or changes; `addresses`: host -> address; `as_of`: when the list was
        current, None for now."""
        gone = [name for name, state, *_ in entries if state == "gone"]
        self.hosts.update_addresses(addresses, gone, is_whole=scope == "full")
        self.tracker.notify_dispatcher("update_endpoints", scope, entries, as_of)
        if self.on_endpoints:
            self.on_endpoints(scope, entries, addresses)

    def restore_endpoints(self, entries, addresses, origin, knowledge):
        """Applies the whole list of an earlier process or of the configuration. `origin`: its ListOrigin;
        `knowledge`: its ListKnowledge, None where its age is not known."""
        self.list_origin = origin
        if self.answered_at is None:  # versions are valid at one address only
            self.watch.index = origin.version if origin.source == self.source() else None
        self.hosts.update_addresses(addresses, [], is_whole=True)
        self.tracker.notify_dispatcher("restore_endpoints", entries, knowledge)
        if self.on_endpoints:
            self.on_endpoints("saved", entries, addresses)

    async def make_call(self, call):
        """Makes a call and handles its answer or failure, unless it was abandoned meanwhile."""
        answer, cause = None, None
        try:
            with call.scope:
                received = await call.connection.exchange(
                    call.wait + self.limits["list_timeout"],
                    "GET",
                    self.watch.target(call.wait),
                    [("Host", "discovery")],
                )
                if call is self.call:
                    answer = self.watch.parse_answer(*received)
        except (*CONNECTION_ERRORS, ProtocolError, ValueError) as error:
            cause = error
        if call is not self.call:
            call.connection.close()
        elif answer is None:
            self.handle_failure(call, cause)
        else:
            self.handle_answer(call, answer)

    def report_arrived(self):
        """Handles an answer that has arrived while the process stood still, or its failure, before anything
        is sent. Its call's task is ended, and its connection with it."""
        call = self.call
        if call is None or not call.connection.is_sent or call.connection.open_connection is None:
            return
        try:
            received = call.connection.receive_arrived()
            if received is None:
                return
            self.handle_answer(call, self.watch.parse_answer(*received))
            self.idle_connection = None
        except (ProtocolError, ValueError) as cause:
            self.handle_failure(call, cause)
        call.scope.cancel()

    def handle_answer(self, call, answer):
        self.call, self.idle_connection = None, call.connection
        self.log_answer(call, *answer)
        self.list_origin = ListOrigin("{}:{}".format(*call.connection.address), self.watch.index)
        self.apply_endpoints(*answer, call.as_of(self.clock()))

    def handle_failure(self, call, cause):
        """Tells the dispatcher how a call failed. `spoilt`: an answer came that cannot be parsed, with the
        time at which it was written; `ended`: a call failed that continued the previous one; `failed`: any
        other."""
        self.call = None
        call.connection.close()
        self.log_failure(call, str(cause)[:200] or type(cause).__name__)
        if call.connection.first_byte_at is not None and not isinstance(cause, UnexpectedStatus):
            since_written = int((trio.current_time() - call.connection.first_byte_at) * 1e9)
            self.tracker.notify_dispatcher("update_endpoints", "spoilt", [], self.clock() - since_written)
        else:
            self.tracker.notify_dispatcher("update_endpoints", "ended" if call.continues else "failed", [])
        self.on_failure()

    def list_state(self):
        """Log fields on how current the list is; its age is the time since discovery's last answer."""
        age = None if self.answered_at is None else self.elapsed_ms(self.answered_at)
        return {"version": self.watch.index, "list_age_ms": age, "failures": self.failures}

    def log_answer(self, call, scope, entries, _):
        """Logs an answer that has entries or is the first one after a failure."""
        if entries or self.failures:
            unlisted = [name for name, state, *_ in entries if state != "ready"]
            self.log(
                "endpoints told",
                scope=scope,
                entries=len(entries),
                unlisted=unlisted[:MAX_NAMES_LOGGED],
                call_ms=self.elapsed_ms(call.started_at),
                **self.list_state(),
            )
        self.answered_at, self.failures = self.clock(), 0

    def log_failure(self, call, error):
        self.failures += 1
        self.log(
            "discovery failed", error=error, call_ms=self.elapsed_ms(call.started_at), **self.list_state()
        )

    def elapsed_ms(self, since):
        return (self.clock() - since) // UNITS["m"]
