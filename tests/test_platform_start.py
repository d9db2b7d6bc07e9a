"""Starts of a relay as the platform performs them: inherited socket, second address, a second process."""

import pytest
from helpers import RelayUnderTest


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
