"""Ports that are kept for daemons while these do not run."""

import random
import socket

import pytest

from cassiaseam_standin.ports import LAST_PORT, ReservedPorts, bind_unused


@pytest.fixture
def ports():
    reserved = ReservedPorts()
    yield reserved
    reserved.release()


def listens(port, reuses):
    """Return whether a process can listen on a port, with or without `SO_REUSEADDR`."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuses)
        try:
            listener.bind(('127.0.0.1', port))
            listener.listen()
        except OSError:
            return False
        return True


def test_port_of_a_killed_daemon_is_not_given_to_another_process(ports):
    # A daemon that was killed and started again ended because its port was in use meanwhile.
    (port,) = ports.reserve(1, random.Random(1))
    assert listens(port, reuses=True)
    assert bind_unused(port) is None
    assert not listens(port, reuses=False)
    assert listens(port, reuses=True)


def test_two_deployments_with_one_seed_get_different_ports(ports):
    others = ReservedPorts()
    chosen = ports.reserve(9, random.Random(1))
    try:
        assert not set(chosen) & set(others.reserve(9, random.Random(1)))
    finally:
        others.release()


def test_port_that_is_used_for_datagrams_is_not_chosen():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.bind(('127.0.0.1', LAST_PORT))
        assert bind_unused(LAST_PORT) is None


def test_released_port_can_be_used_by_others(ports):
    (port,) = ports.reserve(1, random.Random(1))
    ports.release()
    assert listens(port, reuses=False)
