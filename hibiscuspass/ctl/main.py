"""Entry point of the operators' command line, `hibiscuspassctl`."""

from collections.abc import Sequence
import sys

import defopt

from hibiscuspass.ctl import budget_commands
from hibiscuspass.ctl import config_commands
from hibiscuspass.ctl import invoke
from hibiscuspass.ctl import local_commands
from hibiscuspass.ctl import output
from hibiscuspass.ctl import router_commands
from hibiscuspass.settings import program

_COMMANDS = [
    budget_commands.report,
    budget_commands.top_up,
    budget_commands.in_doubt_list,
    budget_commands.in_doubt_decide,
    config_commands.template_list,
    config_commands.template_apply,
    config_commands.template_delete,
    config_commands.workspace_list,
    config_commands.workspace_show,
    config_commands.workspace_apply,
    config_commands.workspace_disable,
    config_commands.workspace_enable,
    config_commands.workspace_delete,
    config_commands.workspace_status,
    config_commands.key_create,
    config_commands.key_revoke,
    router_commands.router_list,
    router_commands.router_forget,
    local_commands.keygen_fleet,
    local_commands.keygen_operator,
    local_commands.check,
]


def run(argv: Sequence[str] | None = None) -> int:
    """Runs one subcommand and returns the exit code."""
    try:
        code: int = defopt.run(
            _COMMANDS,
            argv=_replace_check_option(sys.argv[1:] if argv is None else argv),
            version=f"hibiscuspassctl {program.version()}",
            no_negated_flags=True,
            argparse_kwargs={"prog": "hibiscuspassctl"},
        )
    except invoke.UsageError as exc:
        return output.print_error(str(exc), output.EXIT_USAGE)
    return code


def _replace_check_option(argv: Sequence[str]) -> list[str]:
    """Replaces the option `--check [FILE]` by the subcommand `check`.

    The server programs accept the option in this form.
    """
    args = list(argv)
    if args[:1] != ["--check"]:
        return args
    rest = args[1:]
    if rest and not rest[0].startswith("-"):
        rest.insert(0, "--settings")
    return ["check", *rest]


def main() -> None:
    """Entry point of the program."""
    sys.exit(run())


if __name__ == "__main__":
    main()
