"""Decides, without I/O, whether a configuration change is accepted.

A change is accepted once every required router has acknowledged its revision.
Required are the registered routers, those in the VM list, and all routers that
an acknowledgement reports.
"""

from collections.abc import Iterable

import attrs

from hibiscuspass.core.configuration import messages


@attrs.frozen
class Target:
    """A router whose acknowledgement is required.

    Attributes:
      process: `name/start_id`, or the name alone for a VM in the VM list whose
        incarnation is not known.
      address: `host:port` of its peer link.
    """

    process: str
    address: str

    @property
    def name(self) -> str:
        """Name of the router without its start id."""
        return self.process.partition("/")[0]

    @property
    def start_id(self) -> str:
        """Start id, empty if it is not known."""
        return self.process.partition("/")[2]


@attrs.frozen
class RouterStatus:
    """Acknowledgement status of one required router.

    Attributes:
      process: `name/start_id`, or the name alone.
      revision: Revision that it acknowledged; None if it did not answer.
    """

    process: str
    revision: int | None


class Acceptance:
    """Collects acknowledgements in rounds.

    The caller reads the registrations after it has written the change. In each
    round it sends the change to the targets of `begin_round` and passes their
    answers to `record_ack`, until `begin_round` returns no targets.
    """

    def __init__(self, workspace: str, revision: int) -> None:
        self._workspace = workspace
        self._revision = revision
        self._targets: dict[str, Target] = {}
        self._revisions: dict[str, int] = {}
        self._asked: set[str] = set()
        # Incarnations that have ended: another one answered under their name.
        self._superseded: set[str] = set()

    def add_targets(self, targets: Iterable[Target]) -> None:
        """Adds routers whose acknowledgement is required."""
        for target in targets:
            self._targets.setdefault(target.process, target)

    def begin_round(self) -> tuple[Target, ...]:
        """Returns the required routers that were not asked before."""
        asked = tuple(
            t for p, t in self._targets.items() if p not in self._asked
        )
        self._asked.update(t.process for t in asked)
        return asked

    def record_ack(self, target: Target, ack: messages.ConfigAck) -> None:
        """Records the acknowledgement that a target of this round returned.

        If another incarnation answers under the target's name, the target has
        ended: it was known before the request was sent, and only one process
        runs under a name. The answer to a request sent before the target was
        known would not prove this.
        """
        same_name = ack.process.partition("/")[0] == target.name
        if same_name and target.start_id and ack.process != target.process:
            self._superseded.add(target.process)
        acknowledged = next(
            (a.revision for a in ack.acknowledged if a.name == self._workspace),
            0,
        )
        self._revisions[ack.process] = max(
            acknowledged, self._revisions.get(ack.process, 0)
        )
        answered = Target(ack.process, target.address)
        self.add_targets([answered])
        self._asked.add(ack.process)
        self.add_targets(Target(r.process, r.address) for r in ack.routers)

    def routers(self) -> tuple[RouterStatus, ...]:
        """Returns the required routers, ordered by name."""
        return tuple(
            RouterStatus(p, self._revision_of(t))
            for p, t in sorted(self._targets.items())
            if p not in self._superseded
        )

    def _revision_of(self, target: Target) -> int | None:
        if target.start_id:
            return self._revisions.get(target.process)
        by_name = [
            r
            for p, r in self._revisions.items()
            if p.partition("/")[0] == target.name
        ]
        return min(by_name, default=None)

    def missing(self) -> tuple[str, ...]:
        """Returns the routers that have not acknowledged the revision."""
        return tuple(
            r.process
            for r in self.routers()
            if r.revision is None or r.revision < self._revision
        )

    def is_accepted(self) -> bool:
        """Returns whether all required routers acknowledged the revision."""
        return not self.missing()
