"""A queue of timed events, and the list of actions that they and the inputs produce."""

import heapq


class Scheduler:
    """Runs callbacks in order of time; the caller collects the actions."""

    def __init__(self):
        self.actions, self.events, self.sequence, self.timer_at = [], [], 0, None

    def schedule(self, when, callback, *args):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, callback, args))

    def run_due(self, now):
        while self.events and self.events[0][0] <= now:
            _, _, callback, args = heapq.heappop(self.events)
            callback(now, *args)

    def request_timer(self, now):
        """Requests a timer for the first event, unless one at least as early is already requested."""
        if self.events and (self.timer_at is None or self.events[0][0] < self.timer_at):
            self.timer_at = self.events[0][0]
            self.actions.append(("wake", self.timer_at - now))

    def log(self, text):
        self.actions.append(("log", text))

    def take_actions(self):
        actions, self.actions = self.actions, []
        return actions
