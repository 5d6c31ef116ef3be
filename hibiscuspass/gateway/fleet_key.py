"""Reads the shared key that signs messages between routers from the store."""

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


async def get_or_create_key(store: txn_store.TxnStore) -> bytes:
    """Returns the key of the fleet; creates it if there is none.

    Retries until the store answers. If several routers create a key at the same
    time, the first write wins and the others read it.
    """
    while True:
        result = await store.get(_KEY, timeout_s=_TIMEOUT_S)
        if isinstance(result, refusal.Refusal):
            _log.warning("reading the fleet key failed", detail=result.detail)
            await asyncio.sleep(random.uniform(0.1, 0.4))
            continue
        if result.entries:
            return result.entries[0].value
        key = os.urandom(codec.MIN_KEY_BYTES)
        outcome = await store.commit(
            {_KEY: 0}, {_KEY: key}, timeout_s=_TIMEOUT_S
        )
        if isinstance(outcome, txn_store.Committed):
            return key
