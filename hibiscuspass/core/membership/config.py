"""Settings of membership."""

import attrs


@attrs.frozen
class MembershipConfig:
    """Timing and bounds of membership.

    A leaving mark says that a backend server must get no new work. With the
    defaults it crosses one link in one round trip, or in at most
    `heartbeat_interval_s + 2 * heartbeat_timeout_s` (1.8 s) if the first push
    on the link is lost.

    Attributes:
      heartbeat_interval_s: Time between heartbeat rounds in seconds.
      heartbeat_timeout_s: Time limit of one heartbeat in seconds.
      list_interval_s: Time between reads of the VM list in seconds, for lists
        of up to `list_vms_per_interval` VMs. It grows with the size of the
        list, so that the bytes per second stay the same. The routers read at
        different times, and the first one that sees a change shares it.
      list_vms_per_interval: Size of the list above which reads become rarer.
      list_timeout_s: Time limit of one read in seconds.
      suspect_after_s: Silence after which a router is suspected, in seconds.
      max_neighbours: Routers that one router pushes urgent changes to. Up to
        this number of other routers, each router sends heartbeats to all.
      max_heartbeats: Heartbeats per round in larger fleets, one of them to a
        random router.
      max_records: Member records per heartbeat.
      mark_refresh_s: Shortest time between two renewals of a mark by the same
        evidence, in seconds.
      clear_after_s: Time for which evidence that a backend server accepts work
        must last to clear its mark, in seconds; larger than the lag of load
        reports.
      service_mark_ttl_s: Time after which an observed mark of a plain service
        expires, in seconds. Services send no load reports, so only a new
        request can show that they accept work again.
      drop_after_reads: Consecutive reads of the list without a VM after which
        the VM is gone.
      retention_s: Time for which gone routers and marks of unlisted backend
        servers are kept, in seconds.
    """

    heartbeat_interval_s: float = 1.0
    heartbeat_timeout_s: float = 0.4
    list_interval_s: float = 1.0
    list_vms_per_interval: int = 25
    list_timeout_s: float = 0.8
    suspect_after_s: float = 3.0
    max_neighbours: int = 9
    max_heartbeats: int = 3
    max_records: int = 12
    mark_refresh_s: float = 3.0
    clear_after_s: float = 10.0
    service_mark_ttl_s: float = 60.0
    drop_after_reads: int = 2
    retention_s: float = 3600.0
