"""Draining servers."""

from __future__ import annotations

from brambleplank.model import EndpointStatus
from tests.fake_host import FakeHost


def test_draining_server_gets_no_new_attempt(fake: FakeHost) -> None:
    server = fake.request(7).attempts[0].server
    fake.receive_endpoints({server.id: EndpointStatus.DRAINING})
    assert fake.request(7).attempts[0].server is not server


def test_resumed_session_reaches_draining_server_within_grace() -> None:
    fake = FakeHost()
    server = fake.request(7).attempts[0].server
    fake.receive_endpoints({server.id: EndpointStatus.DRAINING})
    assert fake.request(7, resumed=True).attempts[0].server is server
    fake.advance(1.0)
    assert fake.request(7, resumed=True).attempts[0].server is not server
