"""Starts of a relay as the platform performs them: inherited socket, second address, a second process."""

import socket
import time

import pytest
from helpers import RelayUnderTest, wait_until


@pytest.fixture
def town(tmp_path):
    town = RelayUnderTest(tmp_path)
    town.hold_listener()
    yield town
    town.close()


# Report ad6129: each start ended with "Address already in use", as the platform holds the listening socket.
def test_a_relay_serves_on_the_listening_socket_that_the_platform_holds(town):
    assert town.start()
    assert town.submit("a") == 202


# Report ad6129: an address in use ended the start, although a start may wait until it is free.
def test_a_start_waits_until_its_address_is_free(tmp_path):
    town = RelayUnderTest(tmp_path)
    try:
        with socket.create_server(town.relay_address):
            town.start(wait=False)
            assert wait_until(lambda: logged(town, "address not free"))
            time.sleep(0.5)
            assert town.relay.poll() is None
            assert len(logged(town, "address not free")) == 1
        assert wait_until(lambda: town.submit("a") == 202)
    finally:
        town.close()


# Report ad6129: a descriptor that is no socket must not end the start either.
@pytest.mark.parametrize("passed", ["a closed descriptor", "a file"])
def test_a_descriptor_that_is_no_socket_leaves_the_address_to_be_bound(tmp_path, passed):
    town = RelayUnderTest(tmp_path)
    try:
        number = 99 if passed == "a closed descriptor" else 1
        assert town.start(router_socket_fd=number)
        assert logged(town, "inherited socket not usable") and town.submit("a") == 202
    finally:
        town.close()


def logged(town, event):
    """The events of that name in the relay's log."""
    return [line for line in town.events() if line["event"] == event]
