"""The gateway program, `hibiscuspass-gateway`."""

from __future__ import annotations

import functools
import os
import signal
import sys
import typing

from hibiscuspass.gateway import start_time
from hibiscuspass.platform import environment

# Most imports take place after `main` has made the process ignore SIGHUP, since
# they take most of the start-up time.
if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspass.settings import gateway as settings_lib

_EXIT_BAD_SETTINGS = 2


async def _run(
    cfg: settings_lib.GatewaySettings,
    path: str | None = None,
    *,
    started: start_time.StartTime,
) -> int:
    import asyncio

    from hibiscuspass.gateway import background_tasks
    from hibiscuspass.gateway import process
    from hibiscuspass.gateway import settings_watch
    from hibiscuspass.platform import store as store_lib
    from hibiscuspass.telemetry import log_writer
    from hibiscuspass.telemetry import logs

    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    gateway = process.GatewayProcess(
        cfg, store_lib.make_store(cfg.store), started
    )
    writer = log_writer.LogWriter(sys.stdout.fileno())
    logs.configure(cfg.logging, str(gateway.process), writer)
    gateway.tasks.on_failure = stopped.set
    await gateway.start()
    watch = settings_watch.SettingsWatch(path, gateway.reload)
    # The loop resets its own signal handlers before the process ends.
    signal.signal(
        signal.SIGHUP,
        lambda _signum, _frame: loop.call_soon_threadsafe(watch.load_now),
    )
    watch_task = asyncio.create_task(watch.run())
    await stopped.wait()
    watch_task.cancel()
    await gateway.stop()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return background_tasks.EXIT_FAILED if gateway.tasks.has_failed else 0


def _run_file(path: str, started: start_time.StartTime) -> int:
    import asyncio

    from hibiscuspass.settings import gateway as settings_lib
    from hibiscuspass.settings import loader

    loaded = loader.load(path, settings_lib.GatewaySettings)
    if isinstance(loaded, loader.SettingsError):
        print(loaded, file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    return asyncio.run(_run(loaded, path, started=started))


def main(argv: Sequence[str] | None = None) -> int:
    """Parses the command line and runs the gateway."""
    started = start_time.now()
    # Until the start-up is done there is nothing to reload, and the default
    # action of SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = sys.argv[1:] if argv is None else argv
    path = os.environ.get(environment.SETTINGS_PATH)
    if path and not arguments:
        return _run_file(path, started)
    # Imported only where arguments are parsed, to save memory on small VMs.
    import asyncio

    from hibiscuspass.settings import gateway as settings_lib
    from hibiscuspass.settings import program

    return program.run_program(
        "hibiscuspass-gateway",
        settings_lib.GatewaySettings,
        functools.partial(_run, started=started),
        asyncio.run,
        argv,
    )


if __name__ == "__main__":
    sys.exit(main())
