"""How the folder passes from one process to the next: one process at a time sends, and writes to the folder.

A new process that finds the folder in use waits as its successor and says that it is ready. At SIGTERM the
old process finds that successor. It sends nothing more, goes on accepting while calls that are out return,
then stops accepting, closes the journal and releases the folder. The successor replays the journal and
accepts; connections that came in between wait on the shared socket. Requests that the old process has read
in part are answered with 503 once they are complete, and are safe to hand in again.

A process that dies at any step releases its locks. A successor that dies or hangs before it has taken the
folder leaves it to the old process, which locks it again and shuts down as it would without a successor.
"""

import os

import trio

from courseroute.decisions.limits import RELAY_LIMITS
from courseroute.journal.lock import has_successor, try_lock, try_lock_as_successor
from courseroute.run.logbook import log_event
from courseroute.run.phase import Phase
from courseroute.run.retry import retry_os_errors

FOLDER_NOT_USABLE = "folder not usable"  # a log event
LOCK_POLL_S = 0.005
ACCEPTED_GRACE_S = 0.05  # until the request on a connection that was just accepted has come
TAKEOVER_WITHIN_S = 0.5  # a successor that has not locked the folder by then is taken to be dead or hung
PARTIAL_REQUESTS_WITHIN_S = 3.1  # since the handover began: it ends before SIGKILL, 3.7 s behind SIGTERM


async def acquire_folder(folder, check, on_waiting):
    """Locks a folder and returns the handle. While another process uses the folder, waits as its successor:
    once `check()` raises no OSError and no other successor waits, `on_waiting()` is called."""
    handle = await retry_os_errors(lambda: try_lock(folder), FOLDER_NOT_USABLE, log_event)
    if handle is not None:
        return handle
    await retry_os_errors(check, FOLDER_NOT_USABLE, log_event)
    successor = await lock_patiently(lambda: try_lock_as_successor(folder))
    on_waiting()
    handle = await lock_patiently(lambda: try_lock(folder))
    os.close(successor)
    return handle


async def lock_patiently(attempt):
    """The handle that `attempt()` returns once it is not None."""
    while (handle := await retry_os_errors(attempt, FOLDER_NOT_USABLE, log_event)) is None:
        await trio.sleep(LOCK_POLL_S)
    return handle


class Handover:
    """The old process's side. `relay` is the Relay of this process, which serves."""

    def __init__(self, relay):
        self.relay, self.folder = relay, relay.settings["state"]

    async def run(self):
        """Hands the folder over, or shuts down as without a successor if that dies or hangs."""
        relay, began_at = self.relay, trio.current_time()
        relay.enter(Phase.HANDING_OVER, **relay.counts(), calls=len(relay.tracker.hosts.cancel_scopes))
        relay.clients.close_idle()
        relay.tracker.notify_dispatcher("hand_over")
        await self.wait_for_calls()
        if not has_successor(self.folder):
            log_event("successor lost", locked=False)
            return relay.leave()
        relay.clients.stop_accepting()
        with trio.move_on_after(ACCEPTED_GRACE_S):
            await relay.clients.wait_all_closed()
        await self.wait_for_notices()
        self.release()
        if not await self.is_taken_over():
            log_event("successor lost", locked=True)
            if await self.take_back():
                return relay.leave()
        with trio.move_on_at(began_at + PARTIAL_REQUESTS_WITHIN_S):
            await relay.clients.wait_all_closed()
        relay.left.set()

    async def wait_for_calls(self):
        """Returns once no call is out and each final state is written; the dispatcher cancels calls that take
        too long. A final state that is not written would be lost with this process."""
        tracker = self.relay.tracker
        while tracker.hosts.cancel_scopes or tracker.unwritten:
            await trio.sleep(LOCK_POLL_S)
            if tracker.unwritten:
                tracker.retry_unwritten()

    async def wait_for_notices(self):
        """Returns once no notice is pending, or after some time: the successor sends the others again."""
        with trio.move_on_after(RELAY_LIMITS["closing_grace"] / 1e9):
            while self.relay.tracker.pending_notices:
                await trio.sleep(LOCK_POLL_S)

    def release(self):
        """Stops all tasks that send or write, then unlocks the folder."""
        relay = self.relay
        relay.tracker.save_learned_state()
        relay.save_endpoints()
        relay.tracker.is_released = True
        relay.stop_working()
        relay.journal.close()
        relay.pool.close_all()
        relay.unlock()
        relay.enter(Phase.HANDED_OVER, **relay.counts(), clients=len(relay.clients.accepted))

    async def is_taken_over(self):
        """Whether the successor has locked the folder in time; otherwise this process has locked it again."""
        with trio.move_on_after(TAKEOVER_WITHIN_S):
            while has_successor(self.folder):
                await trio.sleep(LOCK_POLL_S)
        self.relay.lock = await retry_os_errors(lambda: try_lock(self.folder), FOLDER_NOT_USABLE, log_event)
        return self.relay.lock is None

    async def take_back(self):
        """Goes on after `release`. False where the successor has begun to use the folder before it died: what
        it did is not known here."""
        relay = self.relay
        try:
            relay.journal.reopen()
        except OSError as error:
            log_event("folder not taken back", error=str(error)[:200])
            return False
        relay.tracker.is_released = False
        await relay.resume_working()
        relay.clients.resume_accepting(relay.nursery)
        return True
