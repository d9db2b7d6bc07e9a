"""Syncs the journal to disk in a worker thread: periodically, or before each response, for many at once."""

import trio


class Syncer:
    """`mode`: "off"; "interval": a sync every `every` nanoseconds; "each": `wait_synced` waits until
    everything written so far is synced."""

    def __init__(self, journal, mode, every, log_event):
        self.journal, self.mode, self.interval_s, self.log_event = journal, mode, every / 1e9, log_event
        self.synced_bytes, self.progress, self.requested, self.failing = 0, trio.Event(), trio.Event(), False

    async def wait_synced(self):
        """Returns when all bytes written before the call are synced; in other modes than "each", at once."""
        if self.mode != "each":
            return
        target = self.journal.written
        while self.synced_bytes < target:
            self.requested.set()
            await self.progress.wait()

    async def serve(self):
        """Syncs as the mode asks until cancelled; returns at once in mode "off"."""
        while self.mode != "off":
            if self.mode == "each":
                await self.requested.wait()
                self.requested = trio.Event()
            else:
                await trio.sleep(self.interval_s)
            await self.sync()

    async def sync(self):
        """Runs one sync for everything written so far. A failure is logged once in a row and retried."""
        journal, target = self.journal, self.journal.written
        handles, closed = journal.handles_to_sync()
        try:
            if handles:
                await trio.to_thread.run_sync(self.sync_all, handles)
            journal.release(closed)
            self.synced_bytes, self.failing = max(self.synced_bytes, target), False
            progress, self.progress = self.progress, trio.Event()
            progress.set()
        except OSError as cause:
            if not self.failing:
                self.failing = True
                self.log_event("journal cannot be synced", error=str(cause)[:200])
            journal.has_unsynced = True
            self.requested.set()
            await trio.sleep(self.interval_s)
        finally:
            for handle in handles:
                journal.disk.close(handle)

    def sync_all(self, handles):
        """Runs in a worker thread."""
        for handle in handles:
            self.journal.disk.sync(handle)
        self.journal.disk.sync_folder()
