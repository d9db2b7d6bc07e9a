"""Gives a process the endpoint list to begin with.

At its start a process takes the list that an earlier process left in the folder, or that of the
configuration where the folder has none or an older one. When it takes the folder over it looks again: the
process before may have been told of changes meanwhile, and may know that discovery is down. The newer list
counts, and both processes are one relay to the failures of discovery.
"""

from courseroute.decisions.endpoint_list import is_configured_newer
from courseroute.run.logbook import log_event
from courseroute.state.endpoint_cache import ListOrigin
from courseroute.wire.protocol import parse_endpoint_list


class InitialEndpoints:
    """`configured`: the list of the configuration in discovery's form, None where it has none; `clock`: the
    relay's Clock. `discovery` is the Discovery that gets the list."""

    def __init__(self, cache, configured, listed_rates, discovery, schedule, clock):
        self.cache, self.configured, self.listed_rates = cache, configured, listed_rates
        self.discovery, self.schedule, self.clock = discovery, schedule, clock

    def restore_at_start(self):
        """Gives discovery's driver and the dispatcher the list to begin with, if there is one."""
        if saved := self.load_saved():
            self.restore(saved.document, saved.origin, self.comparable(saved.knowledge), "folder")
        elif self.configured is not None:
            self.restore(self.configured, self.configured_origin(), None, "configuration")

    def restore_at_takeover(self, follows):
        """Takes over what the process before knew at its end; `follows`: that process served until now."""
        saved = self.load_saved()
        if saved is None:
            return
        knowledge = self.comparable(saved.knowledge)
        if self.is_outdated_by(knowledge):
            self.restore(saved.document, saved.origin, knowledge, "folder")
        if follows and knowledge is not None:
            self.discovery.tracker.notify_dispatcher("continue_list_failures", knowledge)

    def is_outdated_by(self, knowledge):
        """Whether the list of another process is newer; where times can't be compared, an answer that this
        process had from discovery counts."""
        if knowledge is None:
            return self.schedule.answered_at is None
        return self.schedule.is_outdated_by(knowledge)

    def load_saved(self):
        """The SavedList of the folder, None where there is none or the configuration has a newer one."""
        saved, origin = self.cache.load_list(), self.configured_origin()
        is_older = saved and origin.version is not None and is_configured_newer(saved.origin, origin)
        return None if is_older else saved

    def configured_origin(self):
        """The ListOrigin of the configuration's list; its version is None where it has none."""
        try:
            version = None if self.configured is None else int(self.configured["index"])
        except (KeyError, TypeError, ValueError):
            version = None
        return ListOrigin(self.discovery.source(), version)

    def comparable(self, knowledge):
        """The ListKnowledge, None where its times are readings of another clock."""
        return knowledge if self.clock.continues else None

    def restore(self, document, origin, knowledge, found_in):
        """Restores a list in discovery's form; one that can't be read must not prevent the start."""
        try:
            _, _, entries, addresses = parse_endpoint_list(document, self.listed_rates)
        except ValueError as cause:
            log_event("saved list not read", error=str(cause)[:200])
            return
        self.discovery.restore_endpoints(entries, addresses, origin, knowledge)
        age = None if knowledge is None or knowledge.as_of is None else self.clock.now() - knowledge.as_of
        log_event(
            "endpoint list restored",
            origin=found_in,
            version=origin.version,
            entries=len(entries),
            age_ms=None if age is None else age // 1_000_000,
            discovery_down=bool(knowledge and knowledge.is_down),
        )
