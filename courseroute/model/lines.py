"""Queues of due messages, one for each route, in booking order."""

import heapq


class RouteQueues:
    """A message that was booked elsewhere or closed stays in its heap until it reaches the front."""

    def __init__(self, at):
        self.routes, self.schedule = {}, at

    def add(self, route, message):
        message.is_queued = False
        self.schedule_due(route, message.due_at)

    def schedule_due(self, route, due):
        """Schedules one event for a route, at its earliest booking. Events for each booking would pile up
        when messages are booked again."""
        if route.next_due is None or due < route.next_due:
            route.next_due = due
            self.schedule(due, self.enqueue_due, route, due)

    def enqueue_due(self, now, route, due):
        if route.next_due != due:
            return
        route.next_due = None
        for message in [message for message in route.held_messages.values() if not message.is_queued]:
            if message.due_at <= now:
                message.is_queued = True
                heapq.heappush(route.queue, (message.booking_number, message.name, message))
                self.routes[route.index] = route
            else:
                self.schedule_due(route, message.due_at)

    def has_waiting(self, route):
        while route.queue and (route.queue[0][2].route is not route or route.queue[0][2].is_closed):
            heapq.heappop(route.queue)
        if not route.queue:
            self.routes.pop(route.index, None)
        return bool(route.queue)

    def heads(self):
        """Yields (route, message) in booking order. A route whose first message stays queued is not
        visited again."""
        heads = [
            (route.queue[0][0], route.index, route)
            for route in list(self.routes.values())
            if self.has_waiting(route)
        ]
        heapq.heapify(heads)
        while heads:
            _, _, route = heapq.heappop(heads)
            message = route.queue[0][2]
            yield route, message
            if message.route is not route and self.has_waiting(route):
                heapq.heappush(heads, (route.queue[0][0], route.index, route))
