"""The interface between the dispatcher and the protocol in front of it.

There is one Dispatcher(seed, terms) for each relay. Times are whole nanoseconds of one clock that the caller
passes as `now`; it does not advance within a batch. Names of messages, hosts and lanes (message classes) are
opaque strings.

Methods that the caller uses for its inputs; each returns a list of actions unless noted otherwise:

    start(now)
        The relay starts.
    update_endpoints(now, scope, entries, as_of)
        An endpoint list or a failed request for one. scope: full, saved, changes, failed, spoilt (malformed
        answer that was written at as_of) or ended (discovery ended a watch). An entry is (host, state, area,
        rate, kind, destination); state: ready, draining or gone; rate: None if not listed. as_of: when
        discovery's list is known to have had this content, None for now.
    discovery_moved(now)
        Discovery has a new address.
    update_host_bans(now, bans)
        Operators took hosts out of service or gave them back. bans: all HostBans (decisions.host_bans).
    restore_endpoints(now, entries, knowledge)
        The endpoint list with which a process begins. knowledge: the ListKnowledge that came with it, or
        None.
    continue_list_failures(now, knowledge)
        The ListKnowledge of a predecessor that has called discovery up to now.
    was_listed(name), count_hosts(now)
        Return whether discovery has ever listed a host; how many it lists, and how many of them get nothing.
    learned_state(now)
        Returns the state for a restarted relay as plain lists; called periodically.
    restore_learned_state(now, state, saved_at)
        Restores that state, after the endpoint list; saved_at: when it was saved.
    accept(now, name, destination_name, lane, deadline, key, customer, is_retry, attempts)
        A new message. deadline: when its final answer has to be given. attempts: None; for a message that an
        earlier process accepted, its attempts, each (host, sent at, ending or None).
    advance_deadlines(now, deadlines)
        The process may be delayed: messages have earlier deadlines. deadlines: pairs of name and deadline.
    withdraw(now, name)
        The client no longer wants the message.
    attempt_ended(now, name, number, host_name, ending, duration, wait, report, is_final, idle)
        An attempt ended. wait: the pause that the host requested, 0 for none. is_final: the message gets no
        further attempt. idle: how long the connection had been idle, None for a new one.
    max_idle_time(now)
        Returns how long a connection may have been idle to be reused.
    connection_rest(now, host_name, is_delivery)
        Returns how long a connection rests behind an answer until it may be reused; None: it may not.
    keeps_connections(now, host_name)
        Returns whether an idle connection to the host may be reused.
    may_follow_refusal(lane_name)
        Returns whether a call of the class may use a connection whose last answer was no delivery.
    expects_different_bodies(host_name)
        Returns whether a delivery that equals the one before it on its connection is likely to be a copy.
    record_delivery_body(host_name, body)
        A delivery that is no copy came. body: its checksum, None if it equals the delivery before it. Returns
        nothing.
    record_rest(now, host_name, is_clean)
        A connection has rested behind an answer; is_clean: nothing came meanwhile. Returns nothing.
    hold_cause(now, name, number)
        Called when an attempt's connection is up. Returns a HoldCause if it must not be sent any more, else
        None.
    send_by(name, number)
        Returns the time by which its last byte has to be written, None if there is no limit.
    earlier_attempt(name, number)
        Returns (dispatch time, idempotency window) of the first attempt that may have run if this attempt
        repeats it, else None.
    final_statuses_accepted(now, names)
        The final statuses of these messages are known outside the relay.
    hand_over(now)
        A successor waits for the messages: nothing more is sent, calls that are out are cancelled in time.
    stop(now)
        The relay is requested to shut down; also where the successor was lost.
    wake(now)
        A requested timer fired.
    end_batch(now)
        The batch ends: due messages are sent.

Endings: delivered, error, full, timeout, cancelled, unsent; unreachable (no connection), broken (the
connection broke before the request was written), reset (it broke afterwards), stale (a reused connection
broke after the request was written and before the answer began). A report is a map with `left` (share of the
allowance) and `limit` (calls a second), or None.

Actions:

    ("send", name, host, until)
    ("cancel", name, number)
    ("push back", name, stay_away, CloseCause)  reject the message; the client may retry after stay_away
    ("fail", name, CloseCause)
    ("close", host)                             close the host's idle connections
    ("wake", delay)
    ("watch", wait)                             request the endpoint list, waiting that long for news
    ("log", text)
    ("see off",)                                close idle client connections; clients go to other relays
    ("exit",)

The table RELAY_LIMITS (`decisions.limits`) holds the resource limits of a relay: shares of its memory and
disk, sizes in bytes, times. `decisions.descriptors` divides its descriptors.

The terms are a plain map; any of them may be missing:

    relays, number (this relay's index among them, from 0), area, slots, room, legs, cancel, copies,
    stay_away (longest retry delay that clients observe), tick, connect_within, idle_close,
    ends_by_notice (a message that is rejected or failed is over once `final_statuses_accepted` names it),
    drain_grace, ask (the list has to be requested), ask_within, notified_within (each call for the list is
    one exchange, and relays count as notified of a change so long after it was made), moved_notified_within
    (the same after discovery changed its address), cold, cold_from, overload, fall,
    rough (listed rates are approximate), turn_gap, kinds (kind -> {apart, per_call}),
    customers (name -> quota a second), over_share (value kept),
    lanes (name -> {target, deadline, effect, group, window, value, late_value, ordered})
"""
