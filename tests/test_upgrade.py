"""Hosts down by hand, the file of orders, and an upgrade under load with one decider at a time."""
import http.client
import os
import signal
import socket
import threading
import time

import pytest
from helpers import MS, Relay, S, Town, named, until

from courseroute.state.homecoming import Listener, Teller
from courseroute.state.orders import Orders


@pytest.fixture
def town(tmp_path):
    town = Town(tmp_path)
    town.hold_socket()
    yield town
    town.close()


# The module.


def test_a_host_down_by_hand_gets_nothing_until_it_is_let_back_whatever_the_list_says():
    relay = Relay(hosts=(("a", None),))
    assert named(relay.take()[1], "send")
    relay.tell("ban", "a", relay.now)
    assert not relay.relay.may_leave(relay.now, "m1", 0)        # not even one whose connection is coming up
    assert not named(relay.take()[1], "send")
    for state in ("draining", "ready"):
        assert not named(relay.tell("roster", "changes", [("a", state, "z", None, "plain", "d")]), "send")
    assert not named(relay.tell("roster", "full", [("a", "ready", "z", None, "plain", "d")]), "send")
    assert relay.relay.hosts_seen(relay.now) == (1, 1)
    relay.run(2 * S)
    assert [act[1:3] for act in named(relay.tell("lift", "a"), "send")] == [("m2", "a")]
    assert relay.relay.knows("a") and not relay.relay.knows("never listed")


def test_bookings_move_to_another_route_and_one_without_any_ends_by_the_ordinary_rules():
    relay = Relay(hosts=(("a", 1.0), ("b", 1.0)), kind="plain")
    relay.tell("ban", "a", relay.now)
    assert {act[2] for _ in range(3) for act in named(relay.take()[1], "send")} == {"b"}
    relay.tell("ban", "b", relay.now)
    name, acts = relay.take(left=3 * S)
    assert not acts and named(relay.run(4 * S), "push back")[-1][1] == name


def test_a_host_let_back_after_a_moment_is_led_back_as_a_cold_one():
    def sent(ban):
        relay = Relay(hosts=(("a", None),), slots=40, room=400)
        for _ in range(60):
            for act in named(relay.take()[1], "send"):
                relay.run(20 * MS)
                relay.back(act[1], "delivered")
        relay.tell("ban" if ban else "wake", *(("a", relay.now) if ban else ()))
        relay.run(500 * MS)
        relay.tell(*(("lift", "a") if ban else ("wake",)))
        before = len(relay.sends())
        for _ in range(100):
            relay.take()
            for act in relay.run(20 * MS, 20 * MS):
                if act[0] == "send":
                    relay.back(act[1], "delivered")
        return len(relay.sends()) - before
    assert sent(True) < 0.6 * sent(False)


def test_a_handover_sends_nothing_and_gives_nothing_back():
    relay = Relay(hosts=(("a", None),))
    name, acts = relay.take("once")
    assert named(acts, "send") and relay.relay.may_leave(relay.now, name, 0)
    relay.tell("hand_over")
    assert not relay.relay.may_leave(relay.now, name, 0)
    assert relay.take()[1] == [] and not relay.run(5 * S) and len(relay.sends()) == 1


@pytest.mark.parametrize("lane, ending, then", [
    ("once", "delivered", None), ("once", "error", "fail"), ("once", "reset", "fail"),
    ("once", "unsent", "send"), ("keyed", "error", "send"), ("retriable", "reset", "send"),
])
def test_a_leg_that_an_earlier_process_has_out_keeps_its_slot_until_it_is_told(lane, ending, then):
    relay = Relay(hosts=(("a", None),), slots=1)
    leg = "a", relay.now, "out"
    assert not relay.tell("take", "m", "d", lane, relay.now + 16 * S, None, None, False, [leg])
    assert not relay.take()[1] and not relay.run(S)
    acts = relay.tell("outcome", "m", 0, "a", ending, 100 * MS, 0, None, ending == "delivered")
    assert [act[1] for act in named(acts, "send")] == ["m1"]
    acts += relay.back("m1", "delivered")
    assert [act[0] for act in acts if act[1] == "m"] == ([then] if then else [])


def test_a_leg_still_out_at_a_host_that_nobody_lists_may_have_run():
    relay = Relay(hosts=(("a", None),))
    leg = "b", relay.now, "out"
    acts = relay.tell("take", "m", "d", "once", relay.now + 16 * S, None, None, False, [leg])
    assert [act[:2] for act in acts] == [("fail", "m")]


@pytest.mark.parametrize("room, fresh", [(100, 6), (10, 0)])
def test_what_an_earlier_life_took_on_is_not_judged_again_and_uses_up_no_share(room, fresh):
    relay = Relay(hosts=(("a", 2.0),), room=room, customers={"c": 1.0})
    relay.back(relay.take()[0], "full")

    def held(name, *legs):
        return not relay.tell("take", name, "d", "retriable", relay.now + 16 * S, None, "c", False, *legs)
    assert all(held(f"kept{n}", []) for n in range(14))
    assert [held(f"new{n}") for n in range(8)] == [n < fresh for n in range(8)]


# Outcomes told on.


def test_outcomes_are_heard_once_and_those_untold_may_have_run(tmp_path):
    assert not Listener(tmp_path).out
    teller = Teller(tmp_path, {("a", 0): 1, ("b", 2): 1, ("c", 0): 1})
    listener = Listener(tmp_path)
    assert listener.out == {("a", 0), ("b", 2), ("c", 0)} and listener.hear() == []
    teller.tell("b", 2, "h", "delivered", 0, True, 5, {"left": 1.0, "limit": 4.0}, None)
    assert [told[:4] for told in listener.hear()] == [["b", 2, "h", "delivered"]] and listener.hear() == []
    os.write(teller.handle, b'["a",0,"h","err')       # killed while it told that
    assert listener.hear() == []
    os.close(teller.lock)
    assert [told[:4] for told in listener.hear()] == [["a", 0, None, "reset"], ["c", 0, None, "reset"]]
    assert not listener.out and not Listener(tmp_path).out
    listener.close()
    assert not (tmp_path / "home").exists()


# The file.


def test_orders_outlast_their_writer_and_are_seen_by_another(tmp_path):
    one, two = Orders(tmp_path, 4096), Orders(tmp_path, 4096)
    assert two.read() == ({}, False) and not two.changed()
    one.change("a", 5)
    one.change("a", 9)      # once more: it is down since the first
    two.change(drain=True)
    assert one.changed() and one.read() == ({"a": 5}, True) and not one.changed()
    two.change("a")
    assert one.read() == ({}, True)
    two.change("b", 7)
    assert one.read() == ({"b": 7}, True)
    (tmp_path / "orders").write_bytes(b"{")     # no ban ends because the file is bad
    assert one.changed() and one.read() == ({"b": 7}, True) and one.bad
    one.change("c", 8)
    assert two.read() == ({"b": 7, "c": 8}, True) and not two.bad
    (tmp_path / "orders").unlink()
    assert two.read() == ({}, False)


def test_bans_of_hosts_that_left_give_way_oldest_first_and_listed_ones_never(tmp_path):
    orders = Orders(tmp_path, 120)
    names = [f"host-{n:02d}" for n in range(12)]
    gone = [old for n, name in enumerate(names) for old in orders.change(name, n, listed=lambda _: False)]
    assert gone == names[:len(gone)] and 0 < len(gone) < 12
    kept = orders.read()[0]
    with pytest.raises(OSError):
        for n in range(12):
            orders.change(f"more-{n}", n, listed=lambda _: True)
    assert kept.items() <= orders.read()[0].items()


def test_an_order_that_cannot_be_written_is_told_and_leaves_the_old_ones(tmp_path):
    orders = Orders(tmp_path, 4096)
    orders.change("a", 5)
    (tmp_path / "orders.new").mkdir()
    with pytest.raises(OSError):
        orders.change("b", 6)
    assert Orders(tmp_path, 4096).read() == ({"a": 5}, False)


# The program.


def test_a_host_taken_out_by_staff_stays_out_over_a_kill(town):
    town.start()
    hosts = [entry["name"] for entry in town.entries()]
    assert town.staff("POST /ops/hosts/down/never-listed")[0] == 404
    assert town.staff("POST /ops/hosts/up/never-listed")[0] == 404
    assert {town.staff(f"POST /ops/hosts/down/{host}")[0] for host in hosts * 2} == {200}
    assert town.figures()["hosts_excluded"] == len(hosts)
    assert town.hand_in("a") == 202
    town.end()
    town.start()
    assert town.figures()["hosts_excluded"] == len(hosts)
    time.sleep(0.3)
    assert not town.calls
    assert {town.staff(f"POST /ops/hosts/up/{host}")[0] for host in hosts} == {200}
    assert until(lambda: town.sent("a")) and until(lambda: town.figures()["hosts_excluded"] == 0)


def test_an_upgrade_under_load_loses_nothing_and_no_connection_is_refused(town):
    town.plan = lambda call: (200, {})
    town.start()
    answers, stop = [], threading.Event()

    def clients(n):
        """Keeps its connection; a message that met its close goes once more, on a new one."""
        conn = name = None
        while name or not stop.is_set():
            kept = conn is not None
            conn = conn or http.client.HTTPConnection("127.0.0.1", town.port, timeout=0.4)
            name = name or f"{n}-{time.monotonic_ns()}"
            try:
                conn.request("POST", "/notice", b"x", {
                    "X-Request-Id": name, "X-Class": "notice", "X-Deadline": "8000m", "Envelope": "dest=7"})
                answer = conn.getresponse()
                answer.read()
                answers.append((name, answer.status))
                conn = None if answer.getheader("Connection") == "close" else conn
                name = time.sleep(0.02)
            except (OSError, http.client.HTTPException) as cause:
                if not kept:
                    answers.append((name, repr(cause)))
                    name = None
                conn = None
    threads = [threading.Thread(target=clients, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    for _ in range(2):
        old = town.upgrade()
        old.send_signal(signal.SIGTERM)
        assert old.wait(3.7) == 0
        assert until(lambda: town.staff("GET /ops/readiness")[1] == "serving\n")
    time.sleep(0.5)
    stop.set()
    for thread in threads:
        thread.join()
    taken_on = [name for name, status in answers if status == 202]
    assert len(taken_on) > 50 and {status for _, status in answers} == {202}
    assert until(lambda: {call["id"] for call in town.calls} >= set(taken_on))
    assert not town.notices and len(town.calls) == len(taken_on)


def test_a_ban_and_a_drain_told_to_either_process_bind_both(town):
    town.start()
    hosts, first = [entry["name"] for entry in town.entries()], town.ops
    old = town.upgrade()
    assert {town.staff(f"POST /ops/hosts/down/{host}")[0] for host in hosts} == {200}   # told to who waits
    assert town.hand_in("a") == 202
    time.sleep(0.2)
    assert not town.calls       # heeded by the one that decides
    assert town.staff("POST /ops/drain/start")[0] == 200
    assert town.ask("GET", "/ready")[0] == 503
    second, town.ops = town.ops, first
    assert town.staff("POST /ops/drain/stop")[0] == 200
    assert town.ask("GET", "/ready")[0] == 200
    town.ops = second
    old.send_signal(signal.SIGTERM)
    assert old.wait(3.7) == 0 and until(lambda: town.staff("GET /ops/readiness")[1] == "serving\n")
    time.sleep(0.2)
    assert not town.calls
    assert {town.staff(f"POST /ops/hosts/up/{host}")[0] for host in hosts} == {200}
    assert until(lambda: town.sent("a"))


@pytest.mark.parametrize("who", ["old", "new"])
def test_a_death_during_an_upgrade_leaves_one_that_serves(town, who):
    town.start()
    old = town.upgrade()
    town.hand_in("a")
    if who == "old":
        old.kill()
    else:
        town.relay.kill()
        town.relay.wait()
        town.relay = old
    assert until(lambda: town.hand_in(f"b{time.monotonic_ns()}") == 202)
    assert until(lambda: town.sent("a"))
    if who == "new":        # and a successor can come again, or the old one ends as ever
        assert town.end(signal.SIGTERM) == 0
    else:
        old.wait()


@pytest.mark.parametrize("ends", ["comes home", "hangs", "is killed"])
def test_a_call_out_at_a_handover_ends_once(town, ends):
    """It is a non-retriable one: delivered where it comes home, else failed, and never sent twice."""
    def plan(call):
        time.sleep(1.2 if ends == "comes home" else 0)
        return (200, {}) if ends == "comes home" else "hang"
    town.plan = plan
    town.start()
    town.hand_in("a", "once", left="20000m")
    assert until(lambda: town.calls)
    old = town.upgrade()
    old.send_signal(signal.SIGTERM)
    assert until(lambda: town.staff("GET /ops/readiness")[1] == "serving\n")
    assert town.figures()["in_flight"] == 1
    if ends == "is killed":
        old.kill()
    assert old.wait(3.7) == (-9 if ends == "is killed" else 0)
    if ends == "comes home":
        assert until(lambda: town.figures()["requests.once.served"] == 1) and not town.notices
    else:
        assert until(lambda: town.notices == [{"id": "a", "state": "failed"}])
    assert len(town.sent("a")) == 1 and town.figures()["in_flight"] == 0


def test_a_successor_told_to_stop_while_it_waits_leaves_the_old_one_serving(town):
    town.start()
    old = town.upgrade()
    assert town.end(signal.SIGTERM) == 0
    town.relay = old
    assert town.hand_in("a") == 202 and until(lambda: town.sent("a"))


def test_a_half_read_message_is_answered_though_its_process_let_go(town):
    town.start()
    slow = socket.create_connection(("127.0.0.1", town.port), timeout=3)
    slow.sendall(b"POST /notice HTTP/1.1\r\nHost: r\r\nX-Request-Id: t\r\nX-Deadline: 5000m\r\n")
    time.sleep(0.1)
    old = town.upgrade()
    old.send_signal(signal.SIGTERM)
    assert until(lambda: town.staff("GET /ops/readiness")[1] == "serving\n")
    slow.sendall(b"Envelope: dest=7\r\nContent-Length: 0\r\n\r\n")
    assert b" 503 " in slow.recv(1000) and old.wait(3.7) == 0       # its client hands it in again


def test_a_start_beside_a_relay_without_a_socket_to_share_is_refused(town):
    town.held.close()
    town.held = None
    town.start()
    second = town.launch()
    assert second.wait(6) == 2 and town.hand_in("a") == 202
