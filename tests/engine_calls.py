"""Helpers of the tests that call an engine."""

import asyncio

from hibiscuspass.backends import engine as engine_lib

TIMEOUT_S = 10.0


def make_request(request_id="r1", *, chat=True, **kwargs):
    prompt = kwargs.pop("prompt", "hello")
    body = {"model": kwargs.pop("model", "model-a")}
    if chat:
        body["messages"] = [{"role": "user", "content": prompt}]
    else:
        body["prompt"] = prompt
    path = "/v1/chat/completions" if chat else "/v1/completions"
    return engine_lib.EngineRequest(
        request_id,
        path,
        {**body, **kwargs.pop("body", {})},
        kwargs.pop("priority", 5),
        kwargs.pop("output_limit", 100),
    )


async def collect(stream):
    async with asyncio.timeout(TIMEOUT_S):
        return [item async for item in stream]


async def run(engine, req=None, idle_timeout_s=TIMEOUT_S):
    return await collect(
        engine.complete(req or make_request(), idle_timeout_s=idle_timeout_s)
    )
