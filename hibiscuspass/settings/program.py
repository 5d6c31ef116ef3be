"""Command line shared by the servers.

It has the options `--help`, `--version`, `--settings` and `--check`.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from importlib import metadata
import sys
from typing import Any
from typing import TypeVar

import defopt

from hibiscuspass.settings import loader

T = TypeVar("T")

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2


def version() -> str:
    """Returns the installed version."""
    try:
        return metadata.version("hibiscuspass")
    except metadata.PackageNotFoundError:
        return "unknown (not installed)"


def settings_path(file: str, option: str) -> str | None:
    """Returns the settings file if exactly one is given.

    Otherwise prints an error message and returns None.

    Args:
      file: File given as a positional argument, or an empty string.
      option: File given by `--settings`, or an empty string.
    """
    if bool(file) != bool(option):
        return file or option
    given = f"{file!r} and {option!r} are given" if file else "none is given"
    print(
        f"{given}, exactly one settings file is allowed: FILE or"
        " --settings FILE",
        file=sys.stderr,
    )
    return None


def run_program(
    name: str,
    cls: type[T],
    start: Callable[[T], Awaitable[int]],
    runner: Callable[[Any], int],
    argv: Sequence[str] | None = None,
) -> int:
    """Parses the command line, loads the settings and runs the program.

    Args:
      name: Name of the program, shown by `--version`.
      cls: attrs class of the settings file.
      start: Coroutine function that runs the program until it ends.
      runner: Runs the coroutine, usually `asyncio.run`.
      argv: Arguments without the program name; None for those of the process.

    Returns:
      The exit code; 2 if the settings are invalid.
    """

    def command(
        file: str = "", *, settings: str = "", check: bool = False
    ) -> int:
        """Runs the program.

        Args:
          file: YAML file with the settings.
          settings: The same file, given as an option.
          check: Validate the settings file and exit.
        """
        path = settings_path(file, settings)
        if path is None:
            return EXIT_BAD_SETTINGS
        loaded = loader.load(path, cls)
        if isinstance(loaded, loader.SettingsError):
            print(loaded, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        if check:
            print(f"{path}: valid")
            return EXIT_OK
        return runner(start(loaded))

    command.__name__ = name
    command.__doc__ = (command.__doc__ or "").replace("the program", name, 1)
    prog_args: dict[str, Any] = {"prog": name}
    outcome: int = defopt.run(
        command,
        argv=argv,
        version=f"{name} {version()}",
        argparse_kwargs=prog_args,
    )
    return outcome
