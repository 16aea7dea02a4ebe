"""The shared state of one proxy's decisions about servers and peers."""

from __future__ import annotations

from dataclasses import dataclass

from brambleplank.decisions.connection_counts import ConnectionCounts
from brambleplank.decisions.context import Context
from brambleplank.decisions.endpoint_list import EndpointList
from brambleplank.decisions.group_members import GroupMembers
from brambleplank.decisions.hash_ring import HashRing
from brambleplank.decisions.load_reports import LoadReports
from brambleplank.decisions.server_load import ServerLoad
from brambleplank.decisions.slow_start_slots import SlowStartSlots
from brambleplank.model import Endpoint


@dataclass(frozen=True)
class ServerPool:
    """The parts that hold the state the stages decide by."""

    endpoints: EndpointList
    ring: HashRing
    groups: GroupMembers
    counts: ConnectionCounts
    slots: SlowStartSlots
    load_reports: LoadReports
    load: ServerLoad

    def endpoints_received(self, now: float, endpoints: list[Endpoint], complete: bool) -> None:
        """Applies an endpoint list, or changes to it, and updates what depends on it."""
        self.endpoints.merge(now, endpoints, complete)
        self.load.refresh(now)
        self.counts.recount_ready()
        self.ring.build(self.endpoints.listed())


def create_server_pool(context: Context) -> ServerPool:
    """Returns a server pool without servers."""
    endpoints = EndpointList(context)
    counts = ConnectionCounts(context, endpoints)
    slots = SlowStartSlots(context, endpoints, counts)
    load_reports = LoadReports(context, endpoints, counts, slots)
    load = ServerLoad(context, endpoints, counts, load_reports)
    return ServerPool(endpoints, HashRing(), GroupMembers(), counts, slots, load_reports, load)
