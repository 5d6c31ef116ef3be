"""Time at which a process started.

A router may take over tokens of its earlier start, which had ended by then. The
module imports little, so that the time can be taken before the other imports,
which take most of the start-up time.
"""

import time

import attrs


@attrs.frozen
class StartTime:
    """Start of a process.

    Attributes:
      boot_s: Time since the VM booted in seconds, see `boot_time_s`.
      wall_s: Wall clock time in Unix seconds.
    """

    boot_s: float
    wall_s: float


def boot_time_s() -> float:
    """Returns the boot time, which also advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now() -> StartTime:
    """Returns the present time as the start of this process."""
    return StartTime(boot_time_s(), time.time())
