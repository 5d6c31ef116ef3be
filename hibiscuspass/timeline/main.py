"""The timeline program, `hibiscuspass-timeline`."""

import asyncio
from collections.abc import Sequence
import json as json_lib
import secrets as random_secrets
import sys

import defopt

from hibiscuspass.backends import adapters
from hibiscuspass.backends import vm_list as vm_list_lib
from hibiscuspass.core import clock
from hibiscuspass.core import incarnation
from hibiscuspass.core import refusal
from hibiscuspass.peers import pynng_transport
from hibiscuspass.settings import loader
from hibiscuspass.settings import program
from hibiscuspass.settings import secrets
from hibiscuspass.settings import timeline as timeline_settings
from hibiscuspass.telemetry import logs
from hibiscuspass.telemetry import recorder as recorder_lib
from hibiscuspass.timeline import collector
from hibiscuspass.timeline import render

# The program only sends requests. It never starts to listen, so no port is
# opened.
_UNUSED_ADDRESS = "127.0.0.1:0"
_START_ID_BYTES = 4
_MS_PER_S = 1000

# Exit status if some processes did not reply or have dropped events.
EXIT_INCOMPLETE = 3


async def _fetch_addresses(
    cfg: timeline_settings.TimelineSettings,
) -> tuple[list[str], list[collector.Gap]]:
    vms = adapters.VM_LISTS[cfg.vm_list.adapter](cfg.vm_list.address)
    try:
        listed = await vms.fetch(timeout_s=cfg.vm_list.timeout_s)
    finally:
        await vms.close()
    if isinstance(listed, refusal.Refusal):
        gap = collector.Gap("VM list", f"no answer: {listed.detail}")
        return list(cfg.peers), [gap]
    routers = [
        vm.address for vm in listed if vm.role is vm_list_lib.VmRole.ROUTER
    ]
    return [*routers, *cfg.peers], []


def _print_collection(found: collector.Collection, as_json: bool) -> None:
    for event in found.events:
        print(render.to_json(event) if as_json else render.to_text(event))
    for gap in found.gaps:
        line = {"missing": gap.source, "reason": gap.reason}
        text = f"missing: {gap.source}: {gap.reason}"
        print(json_lib.dumps(line) if as_json else text, file=sys.stderr)


async def _run(
    cfg: timeline_settings.TimelineSettings,
    fleet_key: bytes,
    query: collector.Query,
    after: clock.Timestamp,
    as_json: bool,
    follow_s: float,
) -> int:
    process = incarnation.Incarnation(
        "timeline", random_secrets.token_hex(_START_ID_BYTES)
    )
    logs.configure(cfg.logging, str(process))
    transport = pynng_transport.make_transport(
        process, _UNUSED_ADDRESS, fleet_key, recorder_lib.Recorder(process)
    )
    events = collector.Collector(transport, (), cfg.timeout_s)
    try:
        while True:
            addresses, gaps = await _fetch_addresses(cfg)
            events.set_addresses(addresses)
            found = await events.collect(query, after)
            gaps += found.gaps
            _print_collection(
                collector.Collection(found.events, tuple(gaps)), as_json
            )
            if follow_s <= 0:
                return EXIT_INCOMPLETE if gaps else program.EXIT_OK
            await asyncio.sleep(follow_s)
    finally:
        await transport.close()


def _command(
    file: str = "",
    *,
    settings: str = "",
    request: str = "",
    workspace: str = "",
    grant: str = "",
    after_s: float = 0,
    follow_s: float = 0,
    json: bool = False,
    check: bool = False,
) -> int:
    """Shows the events of all processes in causal order.

    Exits with 3 if events may be missing; standard error says which.

    Args:
      file: YAML file with the settings.
      settings: The same file, given as an option.
      request: Only events of this request and of the grants that paid for it.
      workspace: Only events of this workspace.
      grant: Only events of this grant.
      after_s: Only events later than this Unix time in seconds.
      follow_s: Ask again after this many seconds, until interrupted.
      json: Print one JSON object per line.
      check: Validate the settings file and exit.
    """
    path = program.settings_path(file, settings)
    if path is None:
        return program.EXIT_BAD_SETTINGS
    cfg = loader.load(path, timeline_settings.TimelineSettings)
    if isinstance(cfg, loader.SettingsError):
        print(cfg, file=sys.stderr)
        return program.EXIT_BAD_SETTINGS
    if check:
        print(f"{path}: valid")
        return program.EXIT_OK
    try:
        fleet_key = secrets.read_fleet_key(cfg.fleet_key_file)
    except (OSError, ValueError) as exc:
        print(f"fleet key: {exc}", file=sys.stderr)
        return program.EXIT_BAD_SETTINGS
    query = collector.Query(request, workspace, grant)
    after = clock.Timestamp(int(after_s * _MS_PER_S), 0)
    return asyncio.run(_run(cfg, fleet_key, query, after, json, follow_s))


def run(argv: Sequence[str] | None = None) -> int:
    """Runs the program and returns the exit code."""
    code: int = defopt.run(
        _command,
        argv=argv,
        version=f"hibiscuspass-timeline {program.version()}",
        no_negated_flags=True,
        argparse_kwargs={"prog": "hibiscuspass-timeline"},
    )
    return code


def main() -> None:
    """Entry point of the program."""
    try:
        sys.exit(run())
    except KeyboardInterrupt:
        sys.exit(program.EXIT_OK)


if __name__ == "__main__":
    main()
