"""Which backend servers get new work."""

import attrs
import pytest

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.core.forwarding import backend_set

_READY = backend_lib.Backend(
    "i-1", "s", "10.0.0.1:80", "a", 4, backend_lib.BackendState.READY, 1000
)
_DRAINING = attrs.evolve(_READY, state=backend_lib.BackendState.DRAINING)


def _ids(backends: backend_set.BackendSet) -> list[str]:
    return [b.backend_id for b in backends.ready("s")]


def test_draining_ends_selection() -> None:
    """A server that is leaving gets no new work."""
    backends = backend_set.BackendSet()
    backends.on_entry(_READY)
    assert _ids(backends) == ["i-1"]
    backends.on_entry(_DRAINING)
    assert _ids(backends) == []


def test_removed_entry_ends_selection() -> None:
    """A removed entry ends selection at once while the store is well."""
    backends = backend_set.BackendSet()
    backends.on_entry(_READY)
    backends.on_removed("i-1", now_s=100.0)
    assert _ids(backends) == []


@pytest.mark.parametrize(("wait_s", "ids"), [(1.5, ["i-1"]), (2.5, [])])
def test_entry_that_lapsed_in_an_outage_has_time_to_return(
    wait_s: float, ids: list[str]
) -> None:
    """Entries lapse while the store is down though their servers are well."""
    backends = backend_set.BackendSet()
    backends.on_entry(_READY)
    backends.on_store_recovered(100.0)
    backends.on_list([], 100.0)
    backends.expire(100.0 + wait_s)
    assert _ids(backends) == ids


def test_missing_entry_is_the_last_choice() -> None:
    """A server whose entry is missing is used only if there is no other."""
    other = attrs.evolve(_READY, backend_id="i-2")
    backends = backend_set.BackendSet()
    backends.on_entry(_READY)
    backends.on_entry(other)
    backends.on_store_recovered(100.0)
    backends.on_list([other], 100.0)
    assert _ids(backends) == ["i-2"]


def test_own_sight_of_leaving_outweighs_an_old_entry() -> None:
    """A late entry must not bring back a server that said it is leaving."""
    backends = backend_set.BackendSet()
    backends.on_entry(_READY)
    backends.on_leaving("i-1")
    assert not backends.on_entry(_READY)
    assert _ids(backends) == []


def test_new_start_under_the_same_id_is_used() -> None:
    """A server may start again under its old id."""
    backends = backend_set.BackendSet()
    backends.on_entry(_READY)
    backends.on_leaving("i-1")
    assert backends.on_entry(attrs.evolve(_READY, started_ms=2000))
    assert _ids(backends) == ["i-1"]
