"""The gateway program, `hibiscuspass-gateway`."""

import asyncio
from collections.abc import Sequence
import os
import sys

from hibiscuspass.gateway import process
from hibiscuspass.settings import gateway as settings_lib
from hibiscuspass.settings import loader
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import signals

# Where the platform tells a process the path of its settings file.
_PATH_VARIABLE = "HIBISCUSPASS_CONFIG"
_EXIT_BAD_SETTINGS = 2


async def _run(cfg: settings_lib.GatewaySettings) -> int:
    gateway = process.GatewayProcess(cfg)
    logs.configure(cfg.logging, str(gateway.process))
    await gateway.start()
    await signals.wait_for_stop()
    await gateway.stop()
    return 0


def _run_from_environment(path: str) -> int:
    loaded = loader.load(path, settings_lib.GatewaySettings)
    if isinstance(loaded, loader.SettingsError):
        print(loaded, file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    return asyncio.run(_run(loaded))


def main(argv: Sequence[str] | None = None) -> int:
    """Parses the command line and runs the gateway."""
    arguments = sys.argv[1:] if argv is None else argv
    path = os.environ.get(_PATH_VARIABLE)
    if path and not arguments:
        return _run_from_environment(path)
    # Only needed with arguments; its import takes memory on small VMs.
    from hibiscuspass.settings import program

    return program.run_program(
        "hibiscuspass-gateway",
        settings_lib.GatewaySettings,
        _run,
        asyncio.run,
        argv,
    )


if __name__ == "__main__":
    sys.exit(main())
