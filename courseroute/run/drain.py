"""Sees the clients of a drained relay off, without leaving a request unanswered.

The relay goes on accepting: whoever hands out connections asks every 0.1 s whether it is ready, and may use
the last yes for 0.2 s more. Connections end with their next answer. Idle ones are closed once no new ones are
to be expected, so that their clients don't come back here; silent ones get some time for their request. A
client that doesn't finish its request, or doesn't read its answer, is cut off in time.

Times are seconds of trio's clock.
"""

import trio

from courseroute.run.logbook import log_event

NEW_CONNECTIONS_FOR_S = 0.4
SILENT_S = 1.0  # without a byte, since a connection was accepted
UNFINISHED_AFTER_S = 3.3  # no connection may be held 4 s after the call
POLL_S = 0.1


class Drain:
    """Runs while the relay is drained. `clients`: the `wire.clients.Clients` to be seen off."""

    def __init__(self, clients):
        self.clients, self.scope = clients, None

    @property
    def is_active(self):
        return self.scope is not None

    def begin(self, nursery):
        """Starts to see clients off, in a task of the nursery."""
        self.scope = trio.CancelScope()
        self.clients.begin_seeing_off()
        nursery.start_soon(self.see_off, self.scope, trio.current_time())

    def end(self):
        """Clients may stay again."""
        self.scope.cancel()
        self.scope = None
        self.clients.keep_connections()

    async def see_off(self, scope, began_at):
        """Closes connections until cancelled; logs how many, once the last of the first ones has ended."""
        unused = unfinished = 0
        expected_before = began_at + NEW_CONNECTIONS_FOR_S
        is_logged = False
        with scope:
            await trio.sleep_until(expected_before)
            while True:
                unused += self.clients.close_unused(SILENT_S)
                if trio.current_time() >= began_at + UNFINISHED_AFTER_S:
                    unfinished += self.clients.end_unfinished(expected_before)
                if not is_logged and not self.clients.holds_accepted_before(expected_before):
                    is_logged = True
                    took_ms = round((trio.current_time() - began_at) * 1000)
                    log_event("clients seen off", unused=unused, unfinished=unfinished, took_ms=took_ms)
                await trio.sleep(POLL_S)
