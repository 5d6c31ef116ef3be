"""A run of requests that need prepaid tokens, with kills of gateways."""

import asyncio
from collections.abc import Sequence
import signal
import time

from review.common_2 import stand_ins

GATEWAYS = 3
_SERVERS = 4
_INPUT_TOKENS = 600
_EVENTS = 8
_TOKENS_PER_EVENT = 6
_OUTPUT_TOKENS = _EVENTS * _TOKENS_PER_EVENT
_MAX_TOKENS = _INPUT_TOKENS + _OUTPUT_TOKENS
_ROUTES = ("draft", "note")
_EVENT_S = 0.03
# `bounds.recover_s` of the site, and the share that the rule names.
_RECOVER_S = 12.0
_SERVED_SHARE = 0.25


class PrepaidRun:
    """Requests at a steady rate, of which a tenant pays each with tokens.

    Attributes:
      began_s: Time of the first request on the monotonic clock.
      back_s: Time after `began_s` at which all gateways were ready again after
        the final fault.
    """

    def __init__(
        self,
        deployment: stand_ins.Deployment,
        record: stand_ins.Record,
        *,
        per_s: float,
        length_s: float,
        used_share: float,
    ) -> None:
        """Creates a run.

        Args:
          deployment: Deployment to use; its store may be changed before.
          record: Lines of `record.txt`.
          per_s: Requests per second.
          length_s: Time with requests in seconds.
          used_share: Share of the prepaid tokens that all requests of the run
            together take at most.
        """
        self.began_s = 0.0
        self.back_s = float("inf")
        self._deployment = deployment
        self._record = record
        self._per_s = per_s
        self._requests = round(per_s * length_s)
        self._prepaid = int(self._requests * _MAX_TOKENS / used_share)
        self._used = 0
        # Gateways to which the load balancer sends nothing.
        self._out: set[int] = set()
        # Times after `began_s` and statuses; 0 without a whole answer.
        self._statuses: list[tuple[float, int]] = []

    async def start(self) -> None:
        """Starts the deployment and waits until its gateways are calm."""
        deployment = self._deployment
        await deployment.start_store()
        routes = [
            stand_ins.route(
                name, "streaming", "llm", gap_aim_ms=400, priority=priority
            )
            for priority, name in enumerate(_ROUTES)
        ]
        engine = {"slots": 64, "kv_capacity": 344_282}
        service = {
            "name": "llm",
            "max_connections": 360,
            "engine": {**engine, "stride": _TOKENS_PER_EVENT},
        }
        deployment.write_config(routes, [service], self._prepaid)
        for number in range(_SERVERS):
            await deployment.start_server(f"i-{number}", "llm", self._serve)
        await deployment.start_gateways(GATEWAYS)
        await asyncio.sleep(5.0)
        self.began_s = time.monotonic()

    async def sleep_until(self, at_s: float) -> None:
        """Sleeps until a time after the first request."""
        await asyncio.sleep(max(0.0, self.began_s + at_s - time.monotonic()))

    async def send_all(self) -> None:
        """Sends all requests and waits for their answers."""
        tasks = []
        for number in range(self._requests):
            tasks.append(asyncio.create_task(self._call(number)))
            await self.sleep_until((number + 1) / self._per_s)
        await asyncio.gather(*tasks)

    async def kill(self, numbers: Sequence[int], start_s: float = 0.0) -> None:
        """Kills gateways at once and starts them again.

        Args:
          numbers: The gateways.
          start_s: Earliest time of their next start.
        """
        for number in numbers:
            self._out.add(number)
            self._deployment.signal(number, signal.SIGKILL)
        for number in numbers:
            await self._deployment.wait_end(number)
        await self.sleep_until(start_s)
        for number in numbers:
            await self._deployment.start_gateway(number)
        for number in numbers:
            await self._deployment.wait_ready(number)
            self._out.discard(number)
            self._record.write(f"edge-{number} is ready again")

    async def final_fault(self, at_s: float, start_s: float) -> None:
        """Kills all gateways at a time and starts them at another."""
        await self.sleep_until(at_s)
        await self.kill(range(GATEWAYS), start_s)
        self.back_s = time.monotonic() - self.began_s

    def has_recovered(self, fault_s: float) -> bool:
        """Returns whether the rule RECOVER held.

        Args:
          fault_s: Time of the final fault.

        Raises:
          RuntimeError: No request was sent late enough.
        """
        before = [s for at_s, s in self._statuses if at_s < fault_s]
        late_s = self.back_s + _RECOVER_S
        after = [s for at_s, s in self._statuses if at_s > late_s]
        for when, statuses in (
            ("before the final fault", before),
            (f"later than {_RECOVER_S} s after the machines were back", after),
        ):
            self._record.write(
                f"{when} {statuses.count(200)} of {len(statuses)} requests were"
                f" served, {statuses.count(402)} got 402 and"
                f" {statuses.count(503)} got 503"
            )
        self._record.write(
            f"servers have made {self._used} of {self._prepaid} prepaid tokens"
        )
        if not after:
            raise RuntimeError("no request was sent late enough")
        was_served = before.count(200) >= _SERVED_SHARE * len(before)
        is_served = after.count(200) >= _SERVED_SHARE * len(after)
        return is_served or not was_served

    async def _serve(
        self, req: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self._used += _INPUT_TOKENS
        writer.write(stand_ins.stream_head(req.attempt))
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_S)
            event = f"id: {number}\ndata: {req.attempt}/{number}\n\n"
            writer.write(stand_ins.chunk(event.encode()))
            await writer.drain()
            self._used += _TOKENS_PER_EVENT
        writer.write(stand_ins.chunk(b""))
        return True

    async def _call(self, number: int) -> None:
        at_s = time.monotonic() - self.began_s
        live = [n for n in range(GATEWAYS) if n not in self._out]
        name = _ROUTES[number // GATEWAYS % len(_ROUTES)]
        attempt = f"{name}{number}"
        reply = stand_ins.Reply()
        if live:
            reply = await stand_ins.send(
                self._deployment.ports[live[number % len(live)]],
                f"/{name}/2f",
                attempt,
                headers=f"X-Token-Counts: {_INPUT_TOKENS},{_OUTPUT_TOKENS}\r\n",
            )
        status = reply.status if reply.is_complete else 0
        self._statuses.append((at_s, status))
        self._record.write(
            f"client of {attempt}: {status or 'no whole answer'}; all requests"
            f" so far take at most {(number + 1) * _MAX_TOKENS} of"
            f" {self._prepaid} tokens, servers have made {self._used}"
        )
