"""A simulated proxy: translates between the ids on the wire and the objects of the decisions."""

from __future__ import annotations

from base64 import b85decode, b85encode
from collections.abc import Callable, Iterable
from typing import Any

from brambleplank.decisions.balancer import Balancer
from brambleplank.peer_messages import TAG_WIDTHS_BY_FIRST_BYTE, PeerMessenger
from brambleplank.records import Request, Server
from brambleplank.server_tags import ServerTags
from brambleplank.settings import MICRO, decode_settings, decode_word
from brambleplank.wirehost.wire import (
    ALL_PEERS,
    LIST_FAILED,
    LIST_KINDS,
    MAX_PEER_MESSAGE_SIZE,
    MESSAGE_TIME_CHANGE,
    OUTCOMES,
    Action,
    RequestEvent,
    RequestOption,
    decode_endpoint,
    to_micros,
)

MILLIS_PER_SECOND = 1000


class SimulatedProxy:
    """The `Host` of one balancer: passes events to it and turns its calls into actions on the wire."""

    def __init__(self, name: str, seed: int, settings: dict[str, Any], actions: list[list[Any]]) -> None:
        self.name = name
        self.actions = actions
        self.requests: dict[str, Request] = {}
        self.timers = Timers()
        self.calls_at_event_end: list[Callable[[], None]] = []
        self.now = 0.0
        self.tags: ServerTags | None = None  # built when first needed after a new list
        self.balancer = Balancer(self, decode_settings(settings), seed)
        self.messenger = PeerMessenger(
            self.send_to_peers,
            MAX_PEER_MESSAGE_SIZE,
            self.calls_at_event_end.append,
            self.server_tags,
            self.message_time_received,
            self.load_report_received,
            self.group_server_received,
            self.permit_message_received,
        )

    # Events. Each method takes the event's fields in the order of the wire.

    def request_received(self, now: float, *fields: Any) -> None:
        """Handles a new request, or with a server id a session that is already established there."""
        event = RequestEvent(*fields)
        options = RequestOption(event.options or 0)
        request = self.balancer.request_received(
            now,
            event.request_id,
            decode_word(self.balancer.settings.traffic_classes, event.traffic_class, "service type"),
            event.key,
            event.group,
            (event.deadline_us or 0) * MICRO,
            RequestOption.RESUMED in options,
            RequestOption.RECONNECTING in options,
            None if event.server_id is None else self.balancer.find_or_add_server(now, event.server_id),
        )
        self.keep_while_open(event.request_id, request)

    def attempt_established(
        self, now: float, request_id: str, number: int, _server_id: str, delay_us: int
    ) -> None:
        """Handles the establishment of a session by an attempt."""
        if request := self.requests.get(request_id):
            self.balancer.attempt_established(now, request, number, delay_us * MICRO)

    def attempt_ended(
        self,
        now: float,
        request_id: str,
        number: int,
        _server_id: str,
        reason: int,
        delay_us: int | None,
        complete: bool,
        _gauge: list[float] | None,
    ) -> None:
        """Handles the end of an attempt or of the session that it established."""
        outcome = decode_word(OUTCOMES, reason, "reason")
        if request := self.requests.get(request_id):
            delay = (delay_us or 0) * MICRO
            self.balancer.attempt_ended(now, request, number, outcome, delay, complete)
            self.keep_while_open(request_id, request)

    def client_disconnected(self, now: float, request_id: str) -> None:
        """Handles the disconnection of a client."""
        if request := self.requests.get(request_id):
            self.balancer.client_disconnected(now, request)
            self.keep_while_open(request_id, request)

    def session_changed(
        self, now: float, request_id: str, _server_id: str, amount: float, number: int, kind: int
    ) -> None:
        """Handles a change of a session: uses message times and ignores a connection's load."""
        if kind == MESSAGE_TIME_CHANGE and (request := self.requests.get(request_id)):
            server = request.attempts[number].server
            self.balancer.message_time_reported(now, server, amount / MILLIS_PER_SECOND)

    def timer_expired(self, now: float, number: int) -> None:
        """Runs the callback of the timer."""
        self.timers.pop(number)(now)

    def endpoints_received(self, now: float, kind: str, entries: list[list[Any]]) -> None:
        """Handles a complete endpoint list, changes to the list, or a failed subscription."""
        if kind == LIST_FAILED:
            self.balancer.endpoint_list_failed(now)
            return
        self.tags = None
        endpoints = [decode_endpoint(entry) for entry in entries]
        self.balancer.endpoints_received(now, endpoints, decode_word(LIST_KINDS, kind, "kind of list"))

    def peer_message_received(self, now: float, peer: int, text: str) -> None:
        """Handles a message from another proxy. Ignores unknown formats, which other builds may send."""
        try:
            message = b85decode(text)
            if message and message[0] in TAG_WIDTHS_BY_FIRST_BYTE:
                self.now = now
                self.messenger.receive(message, peer)
        except ValueError:
            return

    def finish_event(self) -> None:
        """Runs the calls deferred to the end of the event, which send the messages for peers."""
        while self.calls_at_event_end:
            self.calls_at_event_end.pop()()

    def keep_while_open(self, request_id: str, request: Request) -> None:
        """Keeps a request until it is answered and has no active attempt; then drops it."""
        if request.answered and request.active_attempt is None:
            self.requests.pop(request_id, None)
        else:
            self.requests[request_id] = request

    # Messages between proxies.

    def server_tags(self) -> ServerTags:
        """Returns the tags that identify the servers of the current list in peer messages."""
        self.tags = self.tags or ServerTags(self.balancer.servers.values())
        return self.tags

    def message_time_received(self, server: Server, seconds: float, _usual: float) -> None:
        """Handles a peer's report of a message time."""
        self.balancer.message_time_reported(self.now, server, seconds)

    def load_report_received(
        self, peer: int, connections: dict[Server, int], complete: bool, is_aggregate: bool
    ) -> None:
        """Handles a peer's load report."""
        self.balancer.load_report_received(self.now, peer, connections.items(), complete, is_aggregate)

    def group_server_received(self, position: int, server: Server) -> None:
        """Handles a peer's report of the server to which a displaced group has moved."""
        self.balancer.group_server_reported(self.now, position, server)

    def permit_message_received(self, peer: int, server: Server, message: int) -> None:
        """Handles a peer's permit request, or its answer to one."""
        self.balancer.permit_message_received(self.now, peer, server, message)

    def send_to_peers(self, message: bytes, recipient: int | None) -> None:
        """Sends a message to one proxy, or to all if there is no recipient."""
        to = ALL_PEERS if recipient is None else recipient
        self.add_action(Action.SEND_TO_PEERS, to, b85encode(message).decode())

    # Calls of the decisions to their host. Most become an action on the wire.

    def add_action(self, action: Action, *fields: Any) -> None:
        """Adds an action to the reply."""
        self.actions.append([action.value, self.name, *fields])

    def start_attempt(self, request: Request, server: Server, max_wait: float) -> None:
        """Starts an attempt of the request at the server."""
        self.add_action(Action.START_ATTEMPT, request.handle, server.id, max(1, to_micros(max_wait)))

    def cancel_attempt(self, request: Request, number: int) -> None:
        """Cancels an attempt."""
        self.add_action(Action.CANCEL_ATTEMPT, request.handle, number)

    def reject(self, request: Request, retry_after: float) -> None:
        """Sends the final answer that a retry is harmless."""
        self.add_action(Action.REJECT, request.handle, to_micros(retry_after))

    def abort(self, request: Request) -> None:
        """Sends the final answer that does not promise that a retry is harmless."""
        self.add_action(Action.ABORT, request.handle)

    def migrate(self, request: Request) -> None:
        """Ends a session and asks its client to reconnect."""
        self.add_action(Action.MIGRATE, request.handle)

    def probe(self, server: Server) -> None:
        """Does nothing: the simulator reports message times itself, so no probe is needed."""

    def report_message_time(self, server: Server, seconds: float) -> None:
        """Does nothing: the simulator reports message times to every proxy."""

    def send_load_report(
        self,
        connections: Iterable[tuple[Server, int]],
        complete: bool,
        recipient: int | None,
        is_aggregate: bool,
    ) -> None:
        """Sends connection counts by server to one proxy, or to all if there is no recipient."""
        self.messenger.send_load_report(dict(connections), complete, recipient, is_aggregate)

    def send_permit_message(self, server: Server, recipient: int, message: int) -> None:
        """Sends a permit request, or the answer to one."""
        self.messenger.send_permit_message(server, recipient, message)

    def report_group_servers(self, reports: Iterable[tuple[int, Server]]) -> None:
        """Reports to all proxies the servers to which displaced groups have moved."""
        self.messenger.report_group_servers(dict(reports))

    def free_descriptor_share(self) -> float:
        """Returns 1, as no descriptors are counted in the simulator."""
        return 1.0

    def follow_endpoints(self) -> None:
        """Subscribes to the endpoint list."""
        self.add_action(Action.FOLLOW_ENDPOINTS, True)

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        """Sets a timer."""
        self.add_action(Action.SET_TIMER, max(0, to_micros(delay)), self.timers.add(call))

    def log(self, text: str) -> None:
        """Logs a line in the simulator's log."""
        self.add_action(Action.LOG, text)


class Timers:
    """The callbacks of timers set in the simulator, by timer number."""

    def __init__(self) -> None:
        self.calls: dict[int, Callable[[float], None]] = {}
        self.last_number = 0

    def add(self, call: Callable[[float], None]) -> int:
        """Stores the callback of a new timer and returns the timer's number."""
        self.last_number += 1
        self.calls[self.last_number] = call
        return self.last_number

    def pop(self, number: int) -> Callable[[float], None]:
        """Removes an expired timer and returns its callback. Raises MalformedError if it is unknown."""
        call = decode_word(self.calls, number, "alarm")
        del self.calls[number]
        return call
