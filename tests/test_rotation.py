"""Servers that operators have taken out of rotation, whatever their listed status."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brambleplank.decisions.rotation import MAX_LISTED, Rotation, UnknownServerError
from brambleplank.model import Endpoint, EndpointStatus

IDS = st.sampled_from("abc")
LISTS = st.dictionaries(IDS, st.tuples(st.sampled_from(EndpointStatus), st.sampled_from([0.0, 3.0, 90.0])))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), LISTS, st.booleans()),
        st.tuples(st.sampled_from(["out", "back"]), IDS, st.none()),
    ),
    max_size=12,
)


def make_endpoint(
    server_id: str, status: EndpointStatus = EndpointStatus.READY, started: float = 0.0
) -> Endpoint:
    return Endpoint(server_id, "a", 0, status, 1.0, started)


@given(STEPS)
def test_server_out_of_rotation_is_never_ready_until_put_back(steps: list[tuple[str, Any, Any]]) -> None:
    rotation = Rotation()
    out = set()
    known = set()
    for now, (step, argument, complete) in enumerate(steps, 10):
        if step == "list":
            known |= set(argument)
            returned = rotation.apply(
                [make_endpoint(name, *listed) for name, listed in argument.items()], complete
            )
        elif argument not in known:
            with pytest.raises(UnknownServerError):
                (rotation.take_out if step == "out" else rotation.put_back)(now, argument)
            continue
        elif step == "out":
            out.add(argument)
            returned = [rotation.take_out(now, argument)]
        else:
            out.discard(argument)
            returned = [rotation.put_back(now, argument)]
        assert not [e for e in returned if e[0] in out and e[3] is EndpointStatus.READY]
        assert set(rotation.out_since) == out


def test_server_put_back_counts_as_just_started() -> None:
    rotation = Rotation()
    rotation.apply([make_endpoint("s", started=5.0)], True)
    assert rotation.take_out(100.0, "s")[3] is rotation.take_out(104.0, "s")[3] is EndpointStatus.DRAINING
    assert (
        rotation.put_back(110.0, "s")[5]
        == 110.0
        == rotation.apply([make_endpoint("s", started=5.0)], False)[0][5]
    )
    assert rotation.apply([make_endpoint("s", started=103.0)], False)[0][5] == 103.0
    assert rotation.put_back(200.0, "s")[5] == 103.0  # it was not out of rotation


def test_removed_servers_are_forgotten_unless_out_of_rotation() -> None:
    rotation = Rotation()
    rotation.apply([make_endpoint("out")], False)
    rotation.take_out(1.0, "out")
    for n in range(2 * MAX_LISTED):
        rotation.apply([make_endpoint(f"s{n}")], True)
    assert len(rotation.listed) <= MAX_LISTED + 1
    assert rotation.apply([make_endpoint("out")], True)[0][3] is EndpointStatus.DRAINING
