"""Memory that the machine allows a process, for settings that name none."""

from collections.abc import Iterable
import os
import pathlib
import resource

# Limits of control groups, versions 2 and 1.
_GROUP_FILES = (
    pathlib.Path("/sys/fs/cgroup/memory.max"),
    pathlib.Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)


def limit_bytes(memory_mb: float | None) -> float:
    """Returns the memory that a process may use, in bytes.

    Args:
      memory_mb: Setting in megabytes (10^6 bytes); None for what the machine
        allows the process.
    """
    return read_bytes() if memory_mb is None else memory_mb * 1e6


def read_bytes(group_files: Iterable[pathlib.Path] = _GROUP_FILES) -> float:
    """Returns the smallest limit of the memory of this process, in bytes.

    It is that of the machine, of the control group or of the address space.

    Args:
      group_files: Files with the limit of a control group; files that are
        missing or hold no number are left out.
    """
    machine = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    address_space, _ = resource.getrlimit(resource.RLIMIT_AS)
    limits = [machine, *filter(None, map(_read_number, group_files))]
    if address_space != resource.RLIM_INFINITY:
        limits.append(address_space)
    return float(min(limits))


def _read_number(path: pathlib.Path) -> int | None:
    try:
        return int(path.read_text())
    except (OSError, ValueError):
        return None
