"""Agenda mechanics: what is to be done later, in time order, and the actions said meanwhile."""

import heapq


class Agenda:
    def __init__(self):
        self.acts, self.agenda, self.ticket, self.armed = [], [], 0, None

    def at(self, when, what, *told):
        self.ticket += 1
        heapq.heappush(self.agenda, (when, self.ticket, what, told))

    def run_due(self, now):
        while self.agenda and self.agenda[0][0] <= now:
            _, _, what, told = heapq.heappop(self.agenda)
            what(now, *told)

    def arm(self, now):
        """Asks for a wake-up where none so early is asked for yet."""
        if self.agenda and (self.armed is None or self.agenda[0][0] < self.armed):
            self.armed = self.agenda[0][0]
            self.acts.append(("wake", self.armed - now))

    def log(self, text):
        self.acts.append(("log", text))

    def said(self):
        acts, self.acts = self.acts, []
        return acts
