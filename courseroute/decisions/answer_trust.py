"""How long a connection to a host rests behind an answer, and whether it is used again at all.

HTTP/1.1 ties an answer to its call by nothing but the order on the connection. A host that sends bytes which
no call asked for, such as an answer a second time, may have them meet the next call on that connection, whose
message would end by an answer that is not its own. Bytes that come while the connection rests do no harm.

Once a host has sent such bytes, only the first answer on a connection is believed, until none have come for a
while. Then connections are used again, but rest for longer until some rests have passed without such bytes,
twice as many behind each loss of trust.

Times are whole nanoseconds of the caller's clock.
"""

MS = 1_000_000
S = 1000 * MS
REST = 100 * MS
REST_AFTER_REFUSAL = 250 * MS  # a late copy of a refusal would have the next message sent twice
REST_UNPROVEN = 500 * MS  # of a host that has lost trust and has to prove itself
RESTS_TO_PROVE = 8  # behind the first loss of trust
DISTRUST_TIME = 30 * S
MAX_TRUST_LOSSES = 5  # that are counted
FORGET_LOSSES_AFTER = 3600 * S


def keeps_connections(now, host):
    """Whether answers are believed on a connection that has had one already."""
    return host.unsolicited_at is None or now - host.unsolicited_at >= DISTRUST_TIME


def rests_to_prove(host):
    """How many rests have to pass without unsolicited bytes until the host is trusted as before."""
    return RESTS_TO_PROVE << (host.trust_losses - 1) if host.trust_losses else 0


def connection_rest(now, host, is_delivery):
    """How long a connection rests behind an answer; None if it is not used again."""
    if not keeps_connections(now, host):
        return None
    if host.clean_rests < rests_to_prove(host):
        return REST_UNPROVEN
    return REST if is_delivery else REST_AFTER_REFUSAL


def record_clean_rest(now, host):
    """A rest has passed without unsolicited bytes. Rests before the end of distrust prove nothing: then few
    connections are kept."""
    if keeps_connections(now, host):
        host.clean_rests = min(host.clean_rests + 1, rests_to_prove(host))


def record_unsolicited_bytes(now, host):
    """The host has sent bytes that no call asked for."""
    if host.unsolicited_at is not None and now - host.unsolicited_at >= FORGET_LOSSES_AFTER:
        host.trust_losses = 0
    if keeps_connections(now, host):
        host.trust_losses = min(host.trust_losses + 1, MAX_TRUST_LOSSES)
    host.unsolicited_at, host.clean_rests = now, 0
