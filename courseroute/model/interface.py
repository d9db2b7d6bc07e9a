"""The interface between the decisions and whatever protocol stands before them.

One Dispatcher(seed, terms) lives for each relay. Times are whole nanoseconds of one clock that the caller
hands in as `now`; it stands still for one batch. Names of messages, hosts and lanes are opaque strings.

Told by the caller, each returning a list of actions:

    start(now)                                  the relay is up
    roster(now, scope, entries, as_of)          news of the list; scope is full, saved, changes, failed,
                                                spoilt (by an answer that can't be read, written at as_of) or
                                                ended (by discovery, a standing watch);
                                                an entry is (host, state, area, rate, kind, destination),
                                                state ready, draining or gone, rate None if not listed;
                                                as_of: when the list was discovery's own, None: now
    discovery_moved(now)                        it is called at another address from now on
    memory(now)                                 asked now and then: what the next life is to know, plain lists
    recall(now, told, at)                       that, told after the list of a new life, and when it was kept
    take(now, name, dst, lane, deadline, key, customer, again, legs)
                                                deadline: by when its end has to be told; legs: of an earlier
                                                life, each (host, sent at, ending or None)
    withdraw(now, name)                         nobody wants the message any more
    outcome(now, name, n, host, ending, took, wait, report, over, idle)
                                                idle: how long the connection had stood so, None for a new one
    fresh_for(now)                              how long a connection may have stood idle to be used again
    why_held(now, name, n)                      an attempt's connection is up: a HoldCause if it must not be
                                                sent any more, else None
    send_by(name, n)                            when its last byte has to be written, None where that is open
    first_may_have_run(name, n)                 (time, window) of the first attempt that may have run, if the
                                                n-th repeats it, else None
    stop(now)                                   the relay is asked to end
    wake(now)                                   an asked-for wake-up
    settle(now)                                 the batch is read: held messages are released

Endings: delivered, error, full, timeout, cancelled, unsent; unreachable (no connection came up), broken (it
did, and broke before all was written), reset (it broke behind that), stale (so did a kept one, no answer
begun). A report is a map with `left` (share of the allowance) and `limit` (calls a second), or None.

Actions: ("send", name, host, until)  ("cancel", name, n)  ("push back", name, stay_away, CloseCause)
("fail", name, CloseCause)
("close", host)  ("wake", delay)  ("watch", wait)  ("log", text)
("see off",): clients that stand between requests go to other relays  ("exit",)

Beside it stands a table of the figures that a real relay's house holds to, HOUSE: shares of its limits on
descriptors, memory and disk, sizes in bytes, times.

Terms handed over at start, a plain map; any of them may be missing:

    relays, number (this relay's among them, from 0), area, slots, room, legs, cancel, copies,
    stay_away (longest advice that clients heed), tick, connect_within, idle_close,
    drain_grace, ask (the list answers only when asked), ask_within, told_within (where each call for the
    list is one exchange: a change counts as told so long after it was made), moved_told_within (and so long
    after discovery moved), cold, cold_from, overload, fall,
    rough (listed rates are), turn_gap, kinds (kind -> {apart, per_call}),
    customers (name -> quota a second), over_share (value kept),
    lanes (name -> {target, deadline, effect, group, window, value, late_value, ordered})
"""
