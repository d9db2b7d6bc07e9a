"""The interface between the decisions and whatever protocol stands before them.

One Dispatcher(seed, terms) lives for each relay. Times are whole nanoseconds of one clock that the caller
hands in as `now`; it stands still for one batch. Names of messages, hosts and lanes are opaque strings.

Told by the caller, each returning a list of actions:

    start(now)                                  the relay is up
    roster(now, scope, entries)                 news of the list; scope is full, saved, changes or failed;
                                                an entry is (host, state, area, rate, kind, destination),
                                                state ready, draining or gone, rate None if not listed
    memory(now)                                 asked now and then: what the next life is to know, plain lists
    recall(now, told, at)                       that, told after the list of a new life, and when it was kept
    take(now, name, dst, lane, deadline, key, customer, again, legs)
                                                legs of the earlier life that took it on, else None; each
                                                (host, sent at, ending or None; "out" where that life is still
                                                there and will tell)
    withdraw(now, name)                         nobody wants the message any more
    outcome(now, name, n, host, ending, took, wait, report, over, idle)
                                                idle: how long the connection had stood so, None for a new one
    fresh_for(now)                              how long a connection may have stood idle to be used again
    may_leave(now, name, n)                     a call's connection is up: True if it may still leave
    ban(now, name, since)                       staff: nothing new to that host, whatever the list says
    lift(now, name)                             staff: it may serve again
    knows(name)                                 whether the list has or had that host, or staff took it out
    hand_over(now)                              a successor waits: no leg leaves any more
    hosts_seen(now)                             (hosts on the list, those of them that are avoided now)
    stop(now)                                   the relay is asked to end
    wake(now)                                   an asked-for wake-up
    settle(now)                                 the batch is read: held messages are released

Endings: delivered, error, full, timeout, cancelled, unsent; unreachable (no connection came up), broken (it
did, and broke before all was written), reset (it broke behind that), stale (so did a kept one, no answer
begun). A report is a map with `left` (share of the allowance) and `limit` (calls a second), or None.

Actions: ("send", name, host, until)  ("cancel", name, n)  ("push back", name, stay_away)  ("fail", name)
("close", host)  ("wake", delay)  ("watch", wait)  ("log", text)
("see off",): clients that stand between requests go to other relays  ("exit",)

Beside it stands a table of the figures that a real relay's house holds to, HOUSE: shares of its limits on
descriptors, memory and disk, sizes in bytes, times.

Terms handed over at start, a plain map; any of them may be missing:

    relays, number (this relay's among them, from 0), area, slots, room, legs, cancel, copies,
    stay_away (longest advice that clients heed), tick, connect_within, idle_close,
    drain_grace, ask (the list answers only when asked), ask_within, cold, cold_from, overload, fall,
    rough (listed rates are), turn_gap, kinds (kind -> {apart, per_call}),
    customers (name -> quota a second), over_share (value kept),
    lanes (name -> {target, deadline, effect, group, window, value, late_value, ordered})
"""
