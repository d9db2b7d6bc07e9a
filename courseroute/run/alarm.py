"""Wakes the dispatcher at the earliest of the times that it asked for."""

import trio


class Alarm:
    """`clock()`: nanoseconds; `wake()` is called once a time that was set has come."""

    def __init__(self, clock, wake):
        self.clock, self.wake = clock, wake
        self.due_at, self.changed = None, trio.Event()

    def set(self, delay):
        """Wakes in `delay` nanoseconds, or earlier if an earlier time is set."""
        due_at = self.clock() + delay
        self.due_at = min(due_at, self.due_at or due_at)
        self.changed.set()

    async def serve(self):
        """Runs until cancelled."""
        while True:
            self.changed = trio.Event()
            with trio.CancelScope() as scope:
                if self.due_at:
                    scope.deadline = trio.current_time() + max(0, self.due_at - self.clock()) / 1e9
                await self.changed.wait()
            if self.due_at and self.clock() >= self.due_at:
                self.due_at = None
                self.wake()
