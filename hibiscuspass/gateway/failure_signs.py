"""Passes on what the server of a failed send says of itself."""

from hibiscuspass.core.forwarding import backend as backend_lib
from hibiscuspass.gateway import backend_chooser
from hibiscuspass.gateway import upstream


def report(
    chooser: backend_chooser.BackendChooser,
    backend: backend_lib.Backend,
    failure: upstream.Failure,
    sent_s: float,
) -> None:
    """Reports the signs of a failure.

    Args:
      chooser: Follows which servers accept requests.
      backend: Server of the send.
      failure: Failure of the send.
      sent_s: Time of the send on the monotonic clock.
    """
    if failure.is_busy:
        chooser.on_busy(backend)
    if failure.is_misdirected:
        chooser.on_leaving(backend, failure.detail)
    if failure.is_leaving:
        chooser.on_leaving(backend, "header of an answer")
    if failure.limit is not None:
        chooser.on_named_limit(backend, failure.limit, sent_s)
    if failure.hold_off_s is not None:
        chooser.on_hold_off(backend, failure.hold_off_s)
    if failure.unusable_hold_offs:
        chooser.on_unusable_hold_off(backend, failure.unusable_hold_offs)
