"""Creates admission controllers."""

from hibiscuspass.core.admission import config
from hibiscuspass.core.admission import controller
from hibiscuspass.core.admission import fair_controller


def make_admission_controller(
    cfg: config.AdmissionConfig | None = None,
) -> controller.AdmissionController:
    """Returns the admission controller of one router."""
    return fair_controller.FairController(cfg or config.AdmissionConfig())
