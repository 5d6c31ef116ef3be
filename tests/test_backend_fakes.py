"""Checks that a fake store behaves like the service."""

from hibiscuspass.backends import kv_store
from tests import backend_fakes


async def test_fake_store_deletes_an_absent_key() -> None:
    """The service accepts the deletion of a key that must be absent."""
    kv = backend_fakes.FakeKv()
    result = await kv.compare_and_swap("a", 0, None, timeout_s=1.0)
    assert isinstance(result, kv_store.CasResult)
    assert result.succeeded
