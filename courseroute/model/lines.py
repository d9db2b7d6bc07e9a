"""Queue mechanics: messages that stand in line for a route, each line in booking order."""

import heapq


class Lines:
    """A message that was booked elsewhere or is over stays in its heap until it comes to the front."""

    def __init__(self, at):
        self.routes, self.at = {}, at

    def expect(self, rt, msg):
        msg.lined = False
        self.plan(rt, msg.due)

    def plan(self, rt, due):
        """One event a route, for its soonest booking: one for each would outlast many a rebooking."""
        if rt.next is None or due < rt.next:
            rt.next = due
            self.at(due, self.fall_due, rt, due)

    def fall_due(self, now, rt, due):
        if rt.next != due:
            return
        rt.next = None
        for msg in [msg for msg in rt.held.values() if not msg.lined]:
            if msg.due <= now:
                msg.lined = True
                heapq.heappush(rt.line, (msg.seq, msg.name, msg))
                self.routes[rt.index] = rt
            else:
                self.plan(rt, msg.due)

    def first(self, rt):
        while rt.line and (rt.line[0][2].route is not rt or rt.line[0][2].over):
            heapq.heappop(rt.line)
        if not rt.line:
            self.routes.pop(rt.index, None)
        return bool(rt.line)

    def walk(self):
        """(route, message) in booking order; a route whose first message stays is left alone from then on."""
        heads = [(rt.line[0][0], rt.index, rt) for rt in list(self.routes.values()) if self.first(rt)]
        heapq.heapify(heads)
        while heads:
            _, _, rt = heapq.heappop(heads)
            msg = rt.line[0][2]
            yield rt, msg
            if msg.route is not rt and self.first(rt):
                heapq.heappush(heads, (rt.line[0][0], rt.index, rt))
