"""Queue mechanics: messages that stand in line for a route, each line in booking order."""
import heapq


class Lines:
    """A message that was booked elsewhere or is over stays in its heap until it comes to the front."""

    def __init__(self):
        self.routes = {}

    def add(self, rt, msg):
        heapq.heappush(rt.line, (msg.seq, msg.name, msg))
        self.routes[rt.index] = rt

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
