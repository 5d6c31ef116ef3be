"""Recent outcomes of the requests that a router sent to one service.

Load pattern: more requests arrive than a service can begin in time. Its servers
queue them, so first events come later and later, and then refuse them. A router
of a large fleet sees a few of these requests a second, so each outcome counts,
and a request that is silent for too long counts before it ends. Old outcomes
are dropped soon, so that a service that has recovered is used again.

All times are seconds of a monotonic clock.
"""

import collections
from collections.abc import Hashable
import itertools
import math

import attrs

from hibiscuspass.core.forwarding import unloaded_times

# Outcomes older than this are no evidence. A service that has recovered is
# used again within this time.
WINDOW_S = 2.0
# Time for which a priority counts as one that competes for the service. Longer
# than the window, since urgent requests may be rare.
_PRIORITY_S = 10.0
# Callers wait at least two seconds for a first event, so outcomes that took
# less than a tenth of it give no reason to look at all the others.
_PROMPT_S = 0.2
_MAX_OUTCOMES = 256
# Slow requests before any request is refused: one late event, or two of one
# faulty server, show nothing about the service.
_MIN_SLOW = 3
# Servers at which they were, for large services; small ones need more than half
# of their servers.
_MAX_SLOW_SERVERS = 3
# Longest time expected, as a multiple of the longest one observed. With few
# samples the estimate alone is too high by chance.
_MAX_GROWTH = 1.5
# A request that two requests sent later by this share of the caller's time have
# overtaken is stuck at its server, not in a queue that all requests meet.
_OVERTAKING = 2
_OVERTAKEN_SHARE = 0.15
# An outcome is slow if it took longer than a multiple of the time without load
# and a share of the caller's time, or more than half of the caller's time.
_SLOW_FACTOR = 3.0
_LEAST_SLOW_SHARE = 0.1
# Prompts up to this factor longer or shorter are of a similar size.
_SIZE_FACTOR = 2.0


@attrs.frozen
class Evidence:
    """What recent outcomes show for one request.

    Attributes:
      in_time: Number of similar requests whose first events came in the time
        that this request can wait.
      too_late: Number of similar requests whose first events did not, and of
        requests that all servers tried refused because they were full.
      slow: Number of requests that used up more than half of that time, beside
        the time that the service needs without load; includes `too_late`.
      slow_servers: Number of servers at which they were.
      expected_s: Expected time to the first event in seconds.
      unloaded_s: Time to a first event without load in seconds; 0 if unknown.
    """

    in_time: int = 0
    too_late: int = 0
    slow: int = 0
    slow_servers: int = 0
    expected_s: float = 0.0
    unloaded_s: float = 0.0


@attrs.frozen
class _Outcome:
    """End of one send, or of one request that all servers tried refused.

    Attributes:
      ended_s: Time of the first event, or of the end without one.
      elapsed_s: Time since the first send of the request; infinite if the
        servers refused it.
      has_event: Whether the first event came.
      input_tokens: Number of tokens of the prompt.
      servers: Ids of the servers.
      priority: Priority of the request, 0 first.
    """

    ended_s: float
    elapsed_s: float
    has_event: bool
    input_tokens: int
    servers: tuple[str, ...]
    priority: int = 0

    @property
    def began_s(self) -> float:
        """Time of the first send; of no meaning for refused requests."""
        return self.ended_s - self.elapsed_s


@attrs.frozen
class _Pending:
    began_s: float
    input_tokens: int
    server: str
    priority: int


def _stuck_s(begun: list[_Outcome], priority: int, margin_s: float) -> float:
    """Returns the time before which sends that have not begun are stuck.

    Args:
      begun: Requests that began.
      priority: Priority of the sends; more urgent ones may overtake them.
      margin_s: Time by which others that overtook them were sent later.
    """
    sent_s = sorted(o.began_s for o in begun if o.priority >= priority)
    if len(sent_s) < _OVERTAKING:
        return -math.inf
    return sent_s[-_OVERTAKING] - margin_s


def _expected_s(waiting: list[int], begun: list[int], span_s: float) -> float:
    """Returns the time to a first event in seconds, by Little's law.

    It is the longest one of all priorities, since engines begin more urgent
    requests first, and others would be late if only the mean were in time. The
    request itself waits too; one more start than observed counts, since few may
    have come by chance. A router without requests that wait sends one, or it
    would learn nothing.

    Args:
      waiting: Priorities of the requests that wait.
      begun: Priorities of those that began.
      span_s: Time in which they began, in seconds.
    """
    return max(
        (
            span_s
            * (sum(p >= least for p in waiting) + 1)
            / (sum(p >= least for p in begun) + 1)
            for least in set(waiting)
        ),
        default=0.0,
    )


def _slow_s(unloaded_s: float, patience_s: float) -> float:
    """Returns the time in seconds above which an outcome is slow."""
    half_s = max(0.0, unloaded_s + (patience_s - unloaded_s) / 2)
    if not unloaded_s:
        return half_s
    least_s = _LEAST_SLOW_SHARE * patience_s
    return min(half_s, max(least_s, _SLOW_FACTOR * unloaded_s))


class ServiceOutcomes:
    """Outcomes of the last seconds, and the sends without a first event."""

    def __init__(self) -> None:
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        self._pending: dict[Hashable, _Pending] = {}
        self._priorities: dict[int, float] = {}
        self._unloaded = unloaded_times.UnloadedTimes()
        self._last_slow_s = -math.inf
        self._resumed_s = -math.inf
        self._is_short = False

    @property
    def has_pending(self) -> bool:
        """Whether a send has neither a first event nor an end."""
        return bool(self._pending)

    def on_request(self, priority: int, now_s: float) -> None:
        """Records the arrival of a request with a priority, 0 first."""
        self._priorities[priority] = now_s

    def on_sent(
        self,
        key: Hashable,
        began_s: float,
        input_tokens: int,
        server: str,
        priority: int,
    ) -> None:
        """Records a send.

        Args:
          key: Identifies the send.
          began_s: Time of the first send of the request.
          input_tokens: Number of tokens of the prompt.
          server: Id of the server.
          priority: Priority of the request, 0 first.
        """
        self._pending[key] = _Pending(began_s, input_tokens, server, priority)

    def on_first_event(self, key: Hashable, now_s: float) -> None:
        """Records the first event after a send, or the head of an answer."""
        self._end(key, now_s, has_event=True)

    def on_ended(self, key: Hashable, now_s: float) -> None:
        """Records the end of a send; ignored after its first event."""
        self._end(key, now_s, has_event=False)

    def on_resumed(self, now_s: float) -> None:
        """Records that this process was suspended until now.

        Answers to earlier sends may have arrived in time and not been read.
        """
        self._resumed_s = now_s

    def on_refused(
        self, input_tokens: int, servers: tuple[str, ...], now_s: float
    ) -> None:
        """Records that all servers tried refused a request as full."""
        self._add(_Outcome(now_s, math.inf, False, input_tokens, servers))

    def is_short(self, evidence: Evidence, servers: int) -> bool:
        """Returns whether the service is shown to be short of capacity.

        Once it is, one slow request in each window shows that it still is,
        since few are sent then.

        Args:
          evidence: What recent outcomes show for a request.
          servers: Number of servers that accept requests.
        """
        self._is_short = (self._is_short and evidence.slow > 0) or (
            evidence.slow >= _MIN_SLOW
            and evidence.slow_servers
            >= min(_MAX_SLOW_SERVERS, servers // 2 + 1)
        )
        return self._is_short

    def rank(self, priority: int, now_s: float) -> tuple[int, int]:
        """Returns the rank of a priority, 0 first, and the number of ranks."""
        recent = {
            p
            for p, at_s in self._priorities.items()
            if at_s > now_s - _PRIORITY_S
        }
        self._priorities = {p: self._priorities[p] for p in recent}
        return sum(p < priority for p in recent), len(recent | {priority})

    def evidence(
        self, patience_s: float, input_tokens: int, now_s: float
    ) -> Evidence:
        """Returns what recent outcomes show for a request.

        A longer prompt that began in time shows that this one can, and a
        shorter one that did not that this one can't; both count only up to a
        similar size. The expected time follows from the requests of this router
        that wait and the rate at which they begin. Other than times of first
        events, it doesn't lag behind a growing queue.

        Args:
          patience_s: Time that the request can wait for its first event.
          input_tokens: Number of tokens of its prompt.
          now_s: Current time.
        """
        oldest = next(iter(self._pending.values()), None)
        is_prompt = (
            oldest is None
            or now_s - oldest.began_s <= patience_s * _LEAST_SLOW_SHARE
        )
        if is_prompt and self._last_slow_s <= now_s - WINDOW_S:
            return Evidence()
        unloaded_s = self._unloaded.of(input_tokens)
        slow_s = _slow_s(unloaded_s, patience_s)
        recent = self._recent(now_s)
        begun = [o for o in recent if o.has_event]
        priorities = {p.priority for p in self._pending.values()}
        priorities.update(o.priority for o in recent)
        stuck_s = {
            p: _stuck_s(begun, p, _OVERTAKEN_SHARE * patience_s)
            for p in priorities
        }
        similar = [
            o
            for o in (*recent, *self._silent(patience_s, now_s))
            if o.elapsed_s > slow_s
            and o.input_tokens <= input_tokens * _SIZE_FACTOR
            and (
                o.has_event
                or math.isinf(o.elapsed_s)
                or o.began_s >= stuck_s[o.priority]
            )
        ]
        waiting = [
            p.priority
            for p in self._pending.values()
            if now_s - p.began_s <= patience_s
            and p.began_s >= stuck_s[p.priority]
        ]
        longest_s = max((o.elapsed_s for o in similar), default=0.0)
        return Evidence(
            in_time=sum(
                o.has_event
                and o.elapsed_s <= patience_s
                and o.input_tokens * _SIZE_FACTOR >= input_tokens
                for o in recent
            ),
            too_late=sum(o.elapsed_s > patience_s for o in similar),
            slow=len(similar),
            slow_servers=len({s for o in similar for s in o.servers}),
            expected_s=min(
                _expected_s(
                    waiting, [o.priority for o in begun], self._span_s(now_s)
                ),
                _MAX_GROWTH * longest_s,
            ),
            unloaded_s=unloaded_s,
        )

    def _span_s(self, now_s: float) -> float:
        """Returns the time in seconds that the kept outcomes cover."""
        if len(self._outcomes) < _MAX_OUTCOMES:
            return WINDOW_S
        return now_s - self._outcomes[0].ended_s

    def _recent(self, now_s: float) -> list[_Outcome]:
        while self._outcomes and self._outcomes[0].ended_s <= now_s - WINDOW_S:
            self._outcomes.popleft()
        return [
            o
            for o in self._outcomes
            if math.isinf(o.elapsed_s) or o.began_s >= self._resumed_s
        ]

    def _silent(self, patience_s: float, now_s: float) -> list[_Outcome]:
        """Returns the sends without a first event.

        A send that became too late before the window is no newer evidence than
        an outcome of that time; its server may hang.
        """
        return [
            _Outcome(
                now_s, age_s, False, p.input_tokens, (p.server,), p.priority
            )
            for p in itertools.islice(self._pending.values(), _MAX_OUTCOMES)
            if (age_s := now_s - p.began_s) <= patience_s + WINDOW_S
            and p.began_s >= self._resumed_s
        ]

    def _end(self, key: Hashable, now_s: float, *, has_event: bool) -> None:
        sent = self._pending.pop(key, None)
        if sent is None or sent.began_s < self._resumed_s:
            return
        if has_event:
            self._unloaded.on_first_event(
                sent.input_tokens, now_s - sent.began_s, now_s
            )
        self._add(
            _Outcome(
                now_s,
                now_s - sent.began_s,
                has_event,
                sent.input_tokens,
                (sent.server,),
                sent.priority,
            )
        )

    def _add(self, outcome: _Outcome) -> None:
        self._outcomes.append(outcome)
        if outcome.elapsed_s > _PROMPT_S:
            self._last_slow_s = outcome.ended_s
