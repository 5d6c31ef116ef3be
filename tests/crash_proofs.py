"""What routers know of suspects, for replays without a network."""

from collections.abc import Sequence

from hibiscuspass.core.forwarding import crash_evidence
from hibiscuspass.core.forwarding import crash_reports
from hibiscuspass.core.forwarding import messages
from hibiscuspass.core.forwarding import proven_parts


def prove(
    reports: crash_reports.CrashReports,
    proven: proven_parts.ProvenParts,
    suspects: Sequence[crash_evidence.Suspect],
) -> messages.Proof:
    """Returns what is known of suspects; forgets those that are sound."""
    proof = messages.Proof(
        [
            s.part_id
            for s in suspects
            if proven.is_proven_since(s.part_id, s.since_s)
        ],
        [proven.answers_since(s.since_s) for s in suspects],
    )
    for part_id in proof.part_ids:
        reports.forget(part_id)
    return proof
