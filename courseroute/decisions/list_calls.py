"""The calls to discovery for the endpoint list: carries out what `endpoint_list.EndpointListSchedule` plans.

Times are whole nanoseconds of the caller's clock.
"""


class ListCalls:
    """Makes each call when it is planned, and tells the schedule how it ended.

    `at(when, callback, *args)` calls back at a time; `act(action)` has the relay execute an action.
    """

    def __init__(self, schedule, at, act):
        self.schedule, self.at, self.act = schedule, at, act
        self.watched_since, self.number = None, 0  # of the watch that is open; of the latest plan

    def plan(self, when, call):
        """Plans a request to discovery. Only the latest plan is carried out, so that a failing discovery is
        not flooded."""
        self.number += 1
        self.at(when, call, self.number)

    def start(self, now):
        """Plans the first call."""
        self.plan(now, self.call)

    def call(self, now, number):
        """Requests the list, and plans the next request in case no answer comes in time."""
        if number == self.number:
            self.act(("watch", self.schedule.call_wait()))
            self.plan(now + self.schedule.call_timeout(), self.repeat)

    def repeat(self, now, number):
        """Repeats a request that was not answered in time; a standing watch is left alone."""
        is_standing = self.watched_since is not None and not self.schedule.is_polled
        if number != self.number or is_standing:
            return
        if self.schedule.is_polled:
            self.record_failure(now, "late")
        self.call(now, number)

    def answered(self, now, as_of):
        """Discovery has answered, with the list as it was at `as_of`."""
        self.watched_since = now
        self.schedule.call_answered(now, as_of)
        if self.schedule.is_polled:
            self.plan(now, self.call)

    def failed(self, now, reason, written_at):
        """A call has failed; `reason`: failed, ended, or spoilt (an answer written at `written_at`)."""
        self.watched_since = None
        self.record_failure(now, reason, written_at)
        self.plan(now + self.schedule.retry_delay(), self.call)

    def record_failure(self, now, reason, written_at=None):
        is_first = self.schedule.failing_since is None
        if reason == "ended":
            self.schedule.watch_ended(now)
        elif reason == "spoilt":
            self.schedule.answer_malformed(now, written_at)
        else:
            self.schedule.call_failed(now, is_late=reason == "late")
        if is_first:
            self.wake_when_down()

    def wake_when_down(self):
        """From then on discovery counts as down, and held messages may be sent."""
        self.at(self.schedule.down_from(), int)

    def moved(self, now):
        """Discovery has a new address."""
        self.watched_since = None
        self.schedule.address_changed(now)
        self.plan(now, self.call)

    def restored(self, now, knowledge):
        """The process begins with a list; `knowledge`: its ListKnowledge, None where its age is not known."""
        self.schedule.list_restored(now, knowledge)
        if self.schedule.restored_from is not None:
            self.at(self.schedule.restored_from, int)

    def continue_failures(self, knowledge):
        """Takes over the failures that the process before has seen up to now."""
        self.schedule.continue_failures(knowledge)
        if self.schedule.failing_since is not None:
            self.wake_when_down()
