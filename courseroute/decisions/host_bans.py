"""Hosts that an operator has taken out of service, until the operator gives them back.

A ban is of a host's id: nothing that discovery tells ends it. A host that is given back was restarted
meanwhile, so its slow start begins; the end of a ban is kept for as long as that lasts, for a process that
starts in between. What is kept is bounded: an old ban of a host that discovery doesn't list gives way.

Times are whole nanoseconds of the caller's clock.
"""

from typing import NamedTuple

S = 1_000_000_000
DAY = 24 * 3600 * S
KEPT_AFTER_END = 60 * S  # longer than any slow start
MAX_AGE_UNLISTED = 30 * DAY
MAX_BANS = 4096


class HostBan(NamedTuple):
    """A host that is taken out of service, or was until `ended_at`; None while it is."""

    host: str
    began_at: int
    ended_at: int | None = None

    @property
    def in_force(self):
        return self.ended_at is None


class TooManyBans(Exception):
    """There is no room for another ban, as discovery lists all hosts that are banned."""


def with_ban(bans, host, now):
    """The bans and that of `host`; one that is in force already goes on."""
    if any(ban.host == host and ban.in_force for ban in bans):
        return bans
    return [ban for ban in bans if ban.host != host] + [HostBan(host, now)]


def without_ban(bans, host, now):
    """The bans without that of `host`, however often it was begun."""
    return [ban._replace(ended_at=now) if ban.host == host and ban.in_force else ban for ban in bans]


def bounded(bans, now, is_listed, fits):
    """The bans without those that are no longer needed, oldest first: ended ones, those of hosts that were
    last seen long ago, then any of hosts that aren't listed until `fits(bans)`. Raises TooManyBans."""
    kept = [ban for ban in bans if is_needed(ban, now, is_listed)]
    for ban in sorted(kept, key=lambda ban: (ban.in_force, ban.began_at)):
        if len(kept) <= MAX_BANS and fits(kept):
            break
        if not ban.in_force or not is_listed(ban.host):
            kept.remove(ban)
    if len(kept) > MAX_BANS or not fits(kept):
        raise TooManyBans(f"{len(kept)} hosts are banned")
    return kept


def is_needed(ban, now, is_listed):
    """Whether a ban still has an effect, or may have one."""
    if not ban.in_force:
        return now - ban.ended_at < KEPT_AFTER_END
    return is_listed(ban.host) or now - ban.began_at < MAX_AGE_UNLISTED


class BannedHosts:
    """The bans that a dispatcher knows; `update` tells what a new set of them changes."""

    def __init__(self):
        self.bans = {}  # host -> HostBan

    def is_banned(self, host):
        ban = self.bans.get(host)
        return ban is not None and ban.in_force

    def update(self, bans, now):
        """Replaces the bans; returns the HostBans that are not as they were, in order of their begin. One
        that is missing, as its file was lost, has ended now."""
        before, self.bans = self.bans, {ban.host: ban for ban in bans}
        dropped = [
            ban._replace(ended_at=now)
            for ban in before.values()
            if ban.in_force and ban.host not in self.bans
        ]
        changed = [ban for ban in self.bans.values() if before.get(ban.host) != ban]
        return sorted(dropped + changed, key=lambda ban: ban.began_at)
