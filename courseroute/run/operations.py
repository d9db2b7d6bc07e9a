"""Executes operators' calls: readiness, figures, hosts taken out and given back, drain.

What a call changes is written to the folder before it is answered, so that it outlives this process and binds
another one beside it. This process heeds it before the answer too.
"""

import time

import msgspec
import trio

from courseroute.decisions import host_bans
from courseroute.run.logbook import log_event
from courseroute.run.phase import Reaction, Trigger, reaction_to
from courseroute.state.overrides import Abandonment
from courseroute.wire.operator_calls import OperatorAnswer, OperatorCall
from courseroute.wire.operators import NOT_DONE

POLL_S = 0.05  # between two looks whether another process has changed the overrides
SAVE_WITHIN_S, SAVE_AGAIN_EVERY_S = 0.5, 0.5
DONE = OperatorAnswer(200)
NO_SUCH_HOST = OperatorAnswer(404, "no such host\n")
STARTING = OperatorAnswer(503, "the relay starts\n")
ENDING = OperatorAnswer(503, "the relay ends\n")
NOT_WRITTEN = "this could not be written, nothing has changed"
MAX_ID_LOGGED = 64
DRAIN_TRIGGERS = {
    OperatorCall.DRAIN_START: Trigger.DRAIN_START,
    OperatorCall.DRAIN_STOP: Trigger.DRAIN_STOP,
}


class Operations:
    """The operators' calls to a Relay."""

    def __init__(self, relay, overrides_file):
        self.relay, self.file = relay, overrides_file
        self.is_drained = False  # as ordered; `Drain` is the execution
        self.is_drain_unsaved = False  # the order could not be written
        self.drain_write_failed = False  # and that was logged
        self.saving = trio.Lock()  # one drain order is written at a time, in the order of the calls
        self.last_status = {}  # of each call that changes nothing

    async def answer(self, request, abandonment=None):
        """The OperatorAnswer to an OperatorRequest, which is executed, unless it is abandoned before."""
        started, phase = time.monotonic(), self.relay.phase
        abandonment = abandonment or Abandonment()
        handler = self.HANDLERS[request.call]
        status = 503  # where the call is cancelled, as it takes too long
        try:
            answer = await (
                handler(self) if request.host is None else handler(self, request.host, abandonment)
            )
            status = answer.status
            return answer
        finally:
            if not abandonment.is_set:
                self.log_call(request, status, phase, started)

    def log_call(self, request, status, phase, started):
        """Logs a call and its outcome; one that changes nothing only where its status has changed."""
        is_news = self.last_status.get(request.call) != status
        if request.call.changes_nothing:
            self.last_status[request.call] = status
        if is_news or not request.call.changes_nothing:
            fields = {} if request.host is None else {"host": request.host[:MAX_ID_LOGGED]}
            log_event(
                "operator call",
                call=request.call.path,
                **fields,
                status=status,
                phase_before=phase.value,
                phase_after=self.relay.phase.value,
                bans=sum(ban.in_force for ban in self.file.overrides.bans),
                took_ms=round((time.monotonic() - started) * 1000, 1),
            )

    def answer_in_stall(self, request):
        """The OperatorAnswer where the relay's loop stands still; called from another thread. A drain is
        ordered, and executed as soon as the loop goes on."""
        try:
            if request.call is OperatorCall.READINESS:
                return self.report_phase()
            if request.call is OperatorCall.STATS:
                return self.report_figures()
        except RuntimeError:  # a table changed while it was read: the loop goes on
            return NOT_DONE
        trigger = DRAIN_TRIGGERS.get(request.call)
        if trigger is None or reaction_to(trigger, self.relay.phase) not in (Reaction.DRAIN, Reaction.SERVE):
            return NOT_DONE
        self.is_drained, self.is_drain_unsaved = trigger is Trigger.DRAIN_START, True
        return DONE

    async def readiness(self):
        return self.report_phase()

    def report_phase(self):
        return OperatorAnswer(200 if self.relay.phase.is_ready else 503, f"{self.relay.phase.value}\n")

    async def stats(self):
        return self.report_figures()

    def report_figures(self):
        tracker = self.relay.tracker
        return STARTING if tracker is None else OperatorAnswer(200, tracker.read_figures())

    # Hosts.

    async def take_host_out(self, host, abandonment):
        return await self.change_ban(host, host_bans.with_ban, abandonment)

    async def give_host_back(self, host, abandonment):
        return await self.change_ban(host, host_bans.without_ban, abandonment)

    async def change_ban(self, host, change, abandonment):
        """Changes the bans by `change(bans, host, now)`, if the host was ever listed."""
        if self.relay.tracker is None:
            return STARTING
        while not self.knows(host):
            if self.relay.tracker.dispatcher.list_schedule.answered_at is not None:
                return NO_SUCH_HOST
            await trio.sleep(POLL_S)  # the list of the configuration may be old
        hosts, now = self.relay.tracker.dispatcher.hosts, self.relay.relay_clock.now()

        def changed(overrides):
            bans = change(overrides.bans, host, now)
            bans = host_bans.bounded(bans, now, hosts.__contains__, self.file.fits)
            return msgspec.structs.replace(overrides, bans=bans)

        try:
            await self.save(changed, abandonment)
        except (OSError, host_bans.TooManyBans) as error:
            return OperatorAnswer(503, f"{NOT_WRITTEN}: {error}\n")
        return DONE

    def knows(self, host):
        """Whether the host was ever listed, as far as that is known."""
        is_banned = any(ban.host == host for ban in self.file.overrides.bans)
        return is_banned or self.relay.tracker.dispatcher.was_listed(host)

    # Drain.

    async def start_drain(self):
        return await self.order_drain(Trigger.DRAIN_START, True)

    async def stop_drain(self):
        return await self.order_drain(Trigger.DRAIN_STOP, False)

    async def order_drain(self, trigger, is_drained):
        """Executes a call to begin or to end a drain. It needs no disk where this process serves; what could
        not be written is written later."""
        reaction = reaction_to(trigger, self.relay.phase)
        if reaction is Reaction.REFUSE:
            return ENDING
        if reaction is not Reaction.RECORD:
            self.is_drained, self.is_drain_unsaved = is_drained, True
            self.apply_drain()
            await self.save_drain()
            return DONE
        error = await self.save_drain(is_drained)
        return OperatorAnswer(503, f"{NOT_WRITTEN}: {error}\n") if error else DONE

    async def save_drain(self, ordered=None):
        """Writes whether the relay is drained: as ordered for the process that serves, else as this process
        is. Returns the error where that failed."""
        try:
            with trio.fail_after(SAVE_WITHIN_S):
                async with self.saving:
                    wanted = self.is_drained if ordered is None else ordered
                    await self.save(lambda overrides: msgspec.structs.replace(overrides, is_drained=wanted))
        except (OSError, trio.TooSlowError) as error:
            if not self.drain_write_failed:
                self.drain_write_failed = True
                log_event("drain not written", error=str(error)[:200])
            return error
        self.drain_write_failed = False
        if self.is_drained == wanted:
            self.is_drain_unsaved = False
        return None

    def apply_drain(self):
        """Begins or ends the drain, as ordered, if the phase allows it."""
        relay = self.relay
        if relay.drain is None or relay.drain.is_active == self.is_drained:
            return
        reaction = reaction_to(Trigger.DRAIN_START if self.is_drained else Trigger.DRAIN_STOP, relay.phase)
        if reaction is Reaction.DRAIN:
            relay.begin_drain()
        elif reaction is Reaction.SERVE:
            relay.end_drain()

    # The file.

    async def save(self, change, abandonment=None):
        """Applies a change to the file, unless it is abandoned before, and heeds the result; OSError where it
        could not be written."""
        relay, abandonment = self.relay, abandonment or Abandonment()
        now = relay.relay_clock.now() if relay.relay_clock else 0
        try:
            await trio.to_thread.run_sync(self.file.change, change, now, abandonment, abandon_on_cancel=True)
        except trio.Cancelled:
            abandonment.is_set = True
            raise
        self.heed_changes()

    def heed_changes(self):
        """Reads the overrides if they have changed, and heeds them."""
        if self.file.read_if_changed():
            self.heed()

    def heed(self):
        """Tells the dispatcher of the bans, and begins or ends the drain."""
        overrides, tracker = self.file.overrides, self.relay.tracker
        if not self.is_drain_unsaved:
            self.is_drained = overrides.is_drained
        if tracker is not None:
            tracker.notify_dispatcher("update_host_bans", overrides.bans)
        self.apply_drain()

    def begin(self, follows):
        """The folder is this process's now. A drain goes on in a process that `follows` another one beside
        it, as both are one relay; it ends with a restart, behind which a relay has to serve."""
        self.file.read()
        if not follows:
            self.is_drained = False
            self.is_drain_unsaved = self.file.overrides.is_drained
        self.heed()

    async def watch(self):
        """Heeds what another process changes, and writes what could not be written."""
        save_at = 0.0
        while True:
            await trio.sleep(POLL_S)
            self.heed_changes()
            if self.is_drain_unsaved and trio.current_time() >= save_at:
                save_at = trio.current_time() + SAVE_AGAIN_EVERY_S
                await self.save_drain()

    HANDLERS = {
        OperatorCall.READINESS: readiness,
        OperatorCall.STATS: stats,
        OperatorCall.HOST_DOWN: take_host_out,
        OperatorCall.HOST_UP: give_host_back,
        OperatorCall.DRAIN_START: start_drain,
        OperatorCall.DRAIN_STOP: stop_drain,
    }
