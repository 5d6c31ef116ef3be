"""Command line of the soak test: python -m tests.soak --seeds 50."""

import asyncio
import pathlib
import signal
import sys
import tempfile

import defopt

from tests.soak import run as run_lib


def soak(
    *,
    first: int = 1,
    seeds: int = 50,
    gateways: int = 3,
    callers: int = 12,
    length_s: float = 10.0,
    logs: str = "",
) -> int:
    """Runs the soak test once per seed.

    Args:
      first: First seed.
      seeds: Number of seeds.
      gateways: Gateway processes.
      callers: Callers.
      length_s: Time with faults, in seconds.
      logs: Folder for settings and logs; a temporary one by default.
    """
    # Shells start background programs with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    # SIGTERM is handled like SIGINT, so that the run stops its processes.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    size = run_lib.Size(gateways=gateways, callers=callers, length_s=length_s)
    failed: list[int] = []
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(logs or scratch) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(run_lib.run(seed, folder, size))
        print(
            f"seed {seed}: {len(outcome.problems)} problems,"
            f" {outcome.served} served, {len(outcome.faults)} faults,"
            f" used {outcome.used}",
            flush=True,
        )
        for problem in outcome.problems:
            print(f"  {problem}", flush=True)
        if outcome.problems:
            failed.append(seed)
    print(f"{seeds} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
