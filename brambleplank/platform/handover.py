"""A process beside the one before it: two of one proxy, over a Unix socket in $TMPDIR.

The new one asks; in one turn of its reactor the old one gives its listening sockets and what it knows, and
takes nothing in from there on. So there is one queue of clients, which is never closed. The channel stays
open while both live, and carries what operators say at either and what each holds. Where it ends, the old
one takes clients in again. Each line is a JSON object, with `say` for its kind:

    take     new to old: its form, and the addresses that it wants to listen at, by key
    estate   old to new: its form, the keys of the sockets that come with it, what it knows (`estate.py`)
    here     new to old: it listens
    holds    either: descriptors, connections by server, connects and ids of flows made since the estate
    word     either: what an operator said, and of which server
    flow     old to new, once it is told to leave: a connection that goes along with its sockets (`carry.py`)
    had      new to old: it goes on there

Every wait is bounded, and whatever is wrong with the other side only costs what it would have told.
"""

from __future__ import annotations

import json
import os
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import unix
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from brambleplank.checks import UnfitError, need
from brambleplank.fronts.line import carry
from brambleplank.fronts.line.clients import Client as LineClient
from brambleplank.net.loop import reactor
from brambleplank.net.proxy import Proxy
from brambleplank.platform import estate
from brambleplank.records import Server
from brambleplank.rotation import Rotation, unlisted
from brambleplank.seams import Client
from brambleplank.sources.platform.discovery import Discovery

ASKED_WITHIN = 2.0  # seconds for the process before to hand over; it may be hung
HOLDS_EVERY = 0.1  # seconds
LONGEST = 16 * 1024 * 1024  # bytes of a line
MOST_SOCKETS = 4
MOST_UNDER_WAY = 16  # connections, each with one or two sockets
RESERVED = 4  # descriptors: the socket here, the channels, one that is just coming
OUT, BACK, DRAIN, RESUME = "out", "back", "drain", "resume"
Address = tuple[str, int]


def place(tmp: str, listen: Address, kind: str) -> str:
    return os.path.join(tmp, f"brambleplank-{listen[0]}-{listen[1]}.{kind}")


class Reachable:
    """A path for a Unix socket, however long it is: the kernel takes no more than 107 bytes of one."""

    def __init__(self, path: str) -> None:
        self.folder = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.path = f"/proc/self/fd/{self.folder}/{os.path.basename(path)}"

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *_: object) -> None:
        os.close(self.folder)


@dataclass
class Taken:
    """What the process before gave."""

    channel: socket.socket
    sockets: dict[str, socket.socket] = field(default_factory=dict)
    estate: estate.Estate | None = None
    refused: str = ""  # why what it knows was not taken up
    more: bytes = b""  # what it said after that
    came: list[int] = field(default_factory=list)  # descriptors that came with it

    def adopt(self, key: str) -> socket.socket | None:
        return self.sockets.pop(key, None)

    def close(self) -> None:
        """What nobody adopted."""
        for each in (self.channel, *self.sockets.values()):
            each.close()


def ask(path: str, wanted: dict[str, Address], say: Callable[[str], None]) -> Taken | None:
    """Takes over from the process before; None if nobody is there, or none that answers in time.

    It waits, as nothing else runs in this process yet.
    """
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    came: list[int] = []
    try:
        with Reachable(path) as near:
            channel.settimeout(ASKED_WITHIN)
            channel.connect(near)
        names = {key: estate.text_of(address) for key, address in wanted.items()}
        channel.sendall(line_of({"say": "take", "form": estate.FORM, "names": names}))
        answer, more = heard(channel, came)
        taken = Taken(channel, sockets_of(answer, wanted, came), more=more, came=came)
    except (FileNotFoundError, ConnectionRefusedError):
        channel.close()  # it is the first here, or the one before is gone
        return None
    except (OSError, ValueError, UnfitError) as error:
        # Danger: a process that is hung, of another version or killed amid this must not keep this one from
        # serving; what it has not given is learnt anew.
        say(f"upgrade: taken over nothing: {type(error).__name__} {error}")
        for number in came:
            os.close(number)
        channel.close()
        return None
    try:
        if answer.get("form") != estate.FORM:
            raise UnfitError(f"form {answer.get('form')!r:.20}, not {estate.FORM}")
        taken.estate = estate.read(answer.get("estate"))
    except (UnfitError, ValueError, TypeError, RecursionError) as error:
        taken.refused = str(error)
    return taken


def heard(channel: socket.socket, came: list[int]) -> tuple[dict[str, Any], bytes]:
    """Its answer, and what follows it; the descriptors that came are added to `came`."""
    until = time.monotonic() + ASKED_WITHIN
    said = bytearray()
    # Danger: it may go on to say what it holds ahead of this process's next look, in the same piece.
    while b"\n" not in said:
        channel.settimeout(max(0.001, until - time.monotonic()))
        piece, numbers, _, _ = socket.recv_fds(channel, 256 * 1024, MOST_SOCKETS)
        came += numbers
        if not piece:
            raise ConnectionError("the process before ended amid it")
        said += piece
        if len(said) > LONGEST or time.monotonic() > until:
            raise TimeoutError("its answer is too long, or late")
    answer, _, more = bytes(said).partition(b"\n")
    return message_of(answer), more


def sockets_of(
    answer: dict[str, Any], wanted: dict[str, Address], came: list[int]
) -> dict[str, socket.socket]:
    """Raises UnfitError if they are not the ones that are wanted."""
    found = {}
    for key in estate.texts(answer.get("sockets"), "sockets"):
        if key not in wanted or not came:
            raise UnfitError(f"sockets: {key!r:.40} is not wanted, or did not come")
        found[key] = socket.socket(fileno=came.pop(0))
        if found[key].getsockname() != wanted[key]:
            raise UnfitError(f"sockets: {key} is at {found[key].getsockname()}")
        found[key].setblocking(False)
        found[key].set_inheritable(False)
    return found


def line_of(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def message_of(line: bytes) -> dict[str, Any]:
    message = json.loads(line)
    if not isinstance(message, dict):
        raise ValueError("no object")
    return message


class Words:
    """The operators' word on servers, in a file: for a process whose predecessor cannot be asked."""

    def __init__(self, path: str, say: Callable[[str], None]) -> None:
        self.path, self.say = path, say

    def read(self, rotation: Rotation) -> None:
        """Danger: left from a process that was killed, it may be torn; it must not stop a start."""
        try:
            with open(self.path, encoding="utf-8") as file:
                told = json.load(file)
            need(told, "words", dict)
            out = estate.each(told.get("out"), "words.out", estate.number)
            back = estate.each(told.get("back"), "words.back", estate.two)
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError, UnfitError) as error:
            self.say(f"upgrade: {self.path}: passed over: {error}")
            return
        rotation.out, rotation.back = out, back
        if out:
            self.say(f"operator: still out: {', '.join(out)}")

    def write(self, rotation: Rotation) -> None:
        """Whole or not at all; it is small, and no disk is behind it."""
        try:
            with open(f"{self.path}.new", "w", encoding="utf-8") as file:
                json.dump({"out": rotation.out, "back": rotation.back}, file)
            os.replace(f"{self.path}.new", self.path)
        except OSError as error:
            self.say(f"operator: {self.path}: not written: {error.strerror}")


@implementer(IFileDescriptorReceiver)
class Channel(LineReceiver):
    """One end of the channel; `taken` is what the other end gave, None if that is the process after this."""

    delimiter = b"\n"
    MAX_LENGTH = LONGEST
    transport: Any

    def __init__(self, handover: Handover, taken: Taken | None) -> None:
        self.handover, self.taken, self.after = handover, taken, taken is None
        self.descriptors = 0  # that the other process holds, by its last word
        self.told: dict[str, Any] = {}  # what it was last told that this one holds
        self.ids: set[str] = set()  # that it knows of
        self.came = taken.came if taken else []  # descriptors ahead of their line
        self.under_way: deque[list[int]] = deque()  # handed on and not acknowledged, oldest first
        self.to_hand_on: dict[Client, None] = {}

    def connectionMade(self) -> None:  # noqa: N802
        if self.taken:
            self.say({"say": "here"})
            self.handover.joined(self)
            self.dataReceived(self.taken.more)  # type: ignore[no-untyped-call]

    def say(self, message: dict[str, Any], descriptors: Iterable[int] = ()) -> None:
        for descriptor in descriptors:
            self.transport.sendFileDescriptor(descriptor)
        self.transport.write(line_of(message))

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802
        os.set_inheritable(descriptor, False)
        self.came.append(descriptor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            self.handover.heard(self, message_of(line))
        except (ValueError, RecursionError, UnfitError) as error:
            self.handover.proxy.log(f"upgrade: the other process says {line[:60]!r}: {error}")
            self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        for numbers in (self.came, *self.under_way):
            carry.close(numbers)
        self.handover.parted(self)


class Channels(Factory):
    noisy = False

    def __init__(self, handover: Handover, taken: Taken | None = None) -> None:
        self.handover, self.taken = handover, taken

    def buildProtocol(self, addr: object) -> Channel:  # noqa: N802
        return Channel(self.handover, self.taken)


class Handover:
    """This process between the one before and the one after it."""

    def __init__(
        self, proxy: Proxy, discovery: Discovery, tmp: str, listen: Address, step: Callable[[bool], None]
    ) -> None:
        """`step` is called with whether this process takes clients in, as that changes."""
        self.proxy, self.discovery, self.step = proxy, discovery, step
        self.path = place(tmp, listen, "sock")
        self.words = Words(place(tmp, listen, "words"), proxy.log)
        self.sockets: dict[str, tuple[Address, Callable[[], int]]] = {}  # by key: address, and descriptor
        self.channels: dict[Channel, None] = {}
        self.waiting: Any = None  # where the process after this one asks
        self.handed_on = 0  # connections that went along
        self.speaking: Channel | None = None  # whose word is being carried out
        proxy.door.held(RESERVED)
        proxy.heard_word, proxy.hand_on, proxy.beside = self.word, self.hand_on, self.before_holds
        proxy.clock.later(HOLDS_EVERY, self.tell_holds)

    # Coming.

    def go_on(self, taken: Taken | None) -> bool:
        """Goes on where the process before stands; False if there is nothing to go on from."""
        if taken is None:
            self.words.read(self.proxy.rotation)
            return False
        if taken.estate is None:
            self.proxy.log(f"upgrade: only sockets taken over: {taken.refused}")
            self.words.read(self.proxy.rotation)
            return False
        estate.take_up(self.proxy, self.discovery, taken.estate)
        self.proxy.log("upgrade: taken over")
        return True

    def join(self, taken: Taken) -> None:
        """From here on both tell each other."""
        taken.channel.setblocking(False)
        reactor.adoptStreamConnection(taken.channel.fileno(), socket.AF_UNIX, Channels(self, taken))
        taken.close()

    def listen(self) -> None:
        """Waits for the process after this one, also after another has taken the path and is gone."""
        if self.waiting:
            self.waiting.stopListening()
        try:
            waiting = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
            with Reachable(f"{self.path}.{os.getpid()}") as near:
                with suppress(FileNotFoundError):
                    os.unlink(near)
                waiting.bind(near)
                os.chmod(near, 0o600)
                waiting.listen(MOST_SOCKETS)
                waiting.setblocking(False)
                # Danger: between taking away the old path and making the new one nobody could ask.
                os.rename(near, os.path.join(os.path.dirname(near), os.path.basename(self.path)))
        except OSError as error:
            self.proxy.log(f"upgrade: the next process cannot ask here: {error.strerror}")
            return
        adopt: Any = unix.Port._fromListeningDescriptor
        port = self.waiting = adopt(reactor, waiting.fileno(), Channels(self))
        # Danger: Twisted takes the path away at the end, and it may be the next process's by then.
        port._bindPath = b"\0"
        port.startListening()
        waiting.close()

    # While both live.

    def joined(self, channel: Channel) -> None:
        channel.ids = {*self.proxy.door.used_ids, *self.proxy.door.open_ids}
        self.channels[channel] = None

    def heard(self, channel: Channel, message: dict[str, Any]) -> None:
        """Raises UnfitError."""
        kind = message.get("say")
        if kind == "take" and channel.after:
            self.give(channel, message)
        elif kind == "here" and channel in self.channels:
            self.proxy.log("upgrade: the next process listens")
        elif kind == "holds" and channel in self.channels:
            self.hold(channel, message)
        elif kind == "word" and channel in self.channels:
            self.carry_out(channel, message)
        elif kind == "flow" and channel in self.channels:
            self.take_on(channel, message)
        elif kind == "had" and channel.under_way:
            carry.close(channel.under_way.popleft())
            self.hand_on_more(channel)
        else:
            raise UnfitError(f"say: {kind!r:.20} is not for now")

    def give(self, channel: Channel, message: dict[str, Any]) -> None:
        if any(each.after for each in self.channels):
            raise UnfitError("another process is taking over")
        names = estate.table(message.get("names"), "names")
        given = {
            key: descriptor()
            for key, (address, descriptor) in self.sockets.items()
            if names.get(key) == estate.text_of(address)
        }
        known = estate.left(self.proxy, self.discovery)
        answer = {"say": "estate", "form": estate.FORM, "sockets": list(given), "estate": known}
        channel.say(answer, given.values())
        self.joined(channel)
        if "listen" in given:
            self.step(False)
        self.proxy.log(f"upgrade: {', '.join(given) or 'no socket'} handed to the next process")

    def hold(self, channel: Channel, message: dict[str, Any]) -> None:
        descriptors = estate.whole(message.get("descriptors"), "descriptors")
        held = estate.each(message.get("held"), "held", estate.whole)
        ids = estate.texts(message.get("ids"), "ids")
        self.proxy.door.held(descriptors - channel.descriptors)
        channel.descriptors = descriptors
        sent = estate.each(message.get("sent"), "sent", estate.whole)
        estate.beside(self.proxy, channel, held, sent)
        channel.ids.update(ids)
        self.proxy.door.in_use_elsewhere(ids)

    def tell_holds(self) -> None:
        self.proxy.clock.later(HOLDS_EVERY, self.tell_holds)
        sent, self.proxy.sent_beside = self.proxy.sent_beside, {}
        for channel in self.channels:
            others = [other for other in self.channels if other is not channel]
            holds: dict[str, Any] = {
                "descriptors": self.proxy.door.in_use - channel.descriptors,
                "held": estate.stands(self.proxy, others),
                "sent": sent if channel.after else {},
                "ids": sorted(self.proxy.door.open_ids - channel.ids),
            }
            # What was sent is told as it grows: the same twice in a row is twice as much.
            if holds != channel.told or holds["sent"]:
                channel.told = holds
                channel.ids.update(holds["ids"])
                channel.say({"say": "holds", **holds})

    def hand_on(self, client: Client) -> None:
        """A client goes along with the process after this one, if there is one, and now or soon."""
        for channel in self.channels:
            if channel.after:
                channel.to_hand_on[client] = None
                self.hand_on_more(channel)

    def hand_on_more(self, channel: Channel) -> None:
        # Danger: descriptors under way count for both, and the kernel lets only so many be.
        while channel.to_hand_on and len(channel.under_way) < MOST_UNDER_WAY:
            client = next(iter(channel.to_hand_on))
            del channel.to_hand_on[client]
            if not isinstance(client, LineClient) or not carry.ready(client):
                continue
            try:
                told, descriptors = carry.leave(client)
            except Exception as error:
                # Danger: one that cannot be handed on would keep all behind it here until SIGKILL.
                self.proxy.fault(error, error.__traceback__)
                continue
            channel.under_way.append(descriptors)
            channel.say({"say": "flow", "flow": told, "sockets": len(descriptors)}, descriptors)
            self.handed_on += 1

    def take_on(self, channel: Channel, message: dict[str, Any]) -> None:
        count = estate.whole(message.get("sockets"), "sockets")
        numbers, channel.came = channel.came[:count], channel.came[count:]
        channel.say({"say": "had"})
        # Danger: until the other side tells anew what it holds, they count twice; it looks crowded here, and
        # who has not said all yet is shown out.
        self.proxy.door.held(-min(count, channel.descriptors))
        channel.descriptors -= min(count, channel.descriptors)
        try:
            carry.take_on(self.proxy, estate.table(message.get("flow"), "flow"), numbers)
        except UnfitError as error:
            self.proxy.log(f"upgrade: {error}")

    def before_holds(self, server: Server) -> int:
        """Connections at a server that the process before still holds."""
        return sum(server.elsewhere.get(channel, 0) for channel in self.channels if not channel.after)

    def word(self, what: str, server_id: str) -> None:
        """An operator's word was carried out here; the other process is told, and the file."""
        if what in (OUT, BACK):
            self.words.write(self.proxy.rotation)
        for channel in self.channels:
            if channel is not self.speaking:
                channel.say({"say": "word", "what": what, "server": server_id})

    def carry_out(self, channel: Channel, message: dict[str, Any]) -> None:
        what, server_id = estate.texts([message.get("what"), message.get("server")], "word")
        proxy = self.proxy
        self.speaking = channel
        try:
            if what in (OUT, BACK) and server_id not in proxy.rotation.listed:
                # Danger: it is listed there and not here yet; passed over, the ban would bind one of two.
                proxy.rotation.told([unlisted(server_id)], False)
            calls: dict[str, Callable[[], object]] = {
                OUT: lambda: proxy.take_out(server_id),
                BACK: lambda: proxy.call_back(server_id),
                DRAIN: proxy.drain,
                RESUME: proxy.resume,
            }
            if what in calls:
                calls[what]()
        finally:
            self.speaking = None

    def end(self) -> None:
        """This process ends. Danger: its parting looks like the other's end, and the path would be taken."""
        if self.handed_on:
            self.proxy.log(f"upgrade: {self.handed_on} connections went along")
        self.channels = {}

    def parted(self, channel: Channel) -> None:
        """The other process is gone, or hung up."""
        if channel not in self.channels:
            return
        del self.channels[channel]
        self.proxy.door.held(-channel.descriptors)
        estate.beside(self.proxy, channel, {}, {})
        if channel.after:
            self.proxy.log("upgrade: the next process is gone; clients are taken in here again")
            self.step(True)
            self.listen()
        else:
            self.proxy.log("upgrade: the process before is gone")
