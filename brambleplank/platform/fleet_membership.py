"""Makes a proxy of the platform a member of a fleet."""

from __future__ import annotations

from brambleplank.checks import InvalidConfigurationError
from brambleplank.fleet.messages import FORMAT_BYTE
from brambleplank.fleet.routing.active_routes import RouteTableError
from brambleplank.fleet.shapes import FleetSettings
from brambleplank.net.fleet_link import FleetLink
from brambleplank.net.proxy import Proxy


def join_fleet(proxy: Proxy, fleet: FleetSettings, seed: int) -> None:
    """Shares budgets and routes with the other proxies, over their peer link.

    Raises InvalidConfigurationError.
    """
    peers = proxy.peer_link
    assert peers is not None  # configuration.decode refuses a fleet without peers
    first_number = proxy.settings.proxy_number - fleet.number

    def send(data: bytes, member: int | None) -> None:
        peers.write(data, None if member is None else member + first_number)

    try:
        fleet_link = FleetLink(
            proxy,
            fleet,
            seed,
            send,
            False,
        )
    except OSError as error:
        raise InvalidConfigurationError(f"fleet.routes: {fleet.routes}: {error.strerror}") from None
    except RouteTableError as error:
        raise InvalidConfigurationError(f"fleet.routes: {fleet.routes}: {error}") from None
    proxy.requests.set_fleet_admission(fleet_link)
    peers.add_datagram_handler(
        FORMAT_BYTE, lambda data, number: fleet_link.datagram_received(data, number - first_number)
    )
