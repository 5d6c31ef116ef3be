"""The key that signs messages between routers, kept in the store."""

import asyncio
import os
import random

import structlog

from hibiscuspass.backends import txn_store
from hibiscuspass.core import refusal
from hibiscuspass.peers import codec

_log = structlog.get_logger(__name__)

_KEY = "fleet/key"
_TIMEOUT_S = 1.0


async def obtain(store: txn_store.TxnStore) -> bytes:
    """Returns the fleet's key; creates it if there is none.

    Tries until the store answers. Of several routers that start at the same
    time, the first write wins.
    """
    while True:
        found = await store.get(_KEY, timeout_s=_TIMEOUT_S)
        if isinstance(found, refusal.Refusal):
            _log.warning("fleet key not readable", detail=found.detail)
            await asyncio.sleep(random.uniform(0.1, 0.4))
            continue
        if found.entries:
            return found.entries[0].value
        key = os.urandom(codec.MIN_KEY_BYTES)
        written = await store.commit(
            {_KEY: 0}, {_KEY: key}, timeout_s=_TIMEOUT_S
        )
        if isinstance(written, txn_store.Committed):
            return key
