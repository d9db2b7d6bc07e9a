"""Syncs what is written, beside the event loop: now and then, or before it is answered for, many at once."""

import trio


class Syncer:
    """`mode` interval: every `every` nanoseconds; each: `settled` waits until all written so far is safe."""

    def __init__(self, journal, mode, every, say):
        self.journal, self.mode, self.every, self.say = journal, mode, every / 1e9, say
        self.safe, self.news, self.asked, self.failing = 0, trio.Event(), trio.Event(), False

    async def settled(self):
        if self.mode != "each":
            return
        target = self.journal.written
        while self.safe < target:
            self.asked.set()
            await self.news.wait()

    async def serve(self):
        while self.mode != "off":
            if self.mode == "each":
                await self.asked.wait()
                self.asked = trio.Event()
            else:
                await trio.sleep(self.every)
            await self.sync()

    async def sync(self):
        """One sync for all that is written by now; one that fails is told and tried again."""
        journal, target = self.journal, self.journal.written
        handles, left = journal.to_sync()
        try:
            if handles:
                await trio.to_thread.run_sync(self.sync_all, handles)
            journal.release(left)
            self.safe, self.failing = max(self.safe, target), False
            news, self.news = self.news, trio.Event()
            news.set()
        except OSError as cause:
            if not self.failing:
                self.failing = True
                self.say("journal cannot be synced", error=str(cause)[:200])
            journal.unsynced = True
            self.asked.set()
            await trio.sleep(self.every)
        finally:
            for handle in handles:
                journal.disk.close(handle)

    def sync_all(self, handles):
        for handle in handles:
            self.journal.disk.sync(handle)
        self.journal.disk.sync_folder()
