"""The router program, `hibiscuspass-router`."""

import asyncio
from collections.abc import Sequence
import sys

from hibiscuspass.router import assembly
from hibiscuspass.settings import program
from hibiscuspass.settings import router as router_settings
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import signals


async def _run(cfg: router_settings.RouterSettings) -> int:
    """Runs a router until SIGTERM or SIGINT, then stops it gracefully.

    Returns:
      The exit code: 0 if all billing records were flushed and all grants
      returned.
    """
    try:
        fleet_key = secrets.read_fleet_key(cfg.peer_link.fleet_key_file)
    except (OSError, ValueError) as exc:
        print(f"fleet key: {exc}", file=sys.stderr)
        return program.EXIT_BAD_SETTINGS
    router = assembly.RouterProcess(cfg, fleet_key)
    await router.start()
    await signals.wait_for_stop()
    flushed = await router.stop(cfg.shutdown_grace_s)
    return program.EXIT_OK if flushed else program.EXIT_FAILURE


def main(argv: Sequence[str] | None = None) -> int:
    """Parses the command line and runs the router."""
    return program.run_program(
        "hibiscuspass-router",
        router_settings.RouterSettings,
        _run,
        asyncio.run,
        argv,
    )


if __name__ == "__main__":
    sys.exit(main())
