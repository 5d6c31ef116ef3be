"""Guards the command line shared by the servers against wrong starts."""

import asyncio
import pathlib

import pytest

from hibiscuspass.settings import ctl
from hibiscuspass.settings import program
from hibiscuspass.timeline import main as timeline_main

_EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


def _run(argv, start=None):
    async def unused(_):
        raise AssertionError("the program must not start")

    return program.run_program(
        "hibiscuspass-test",
        ctl.CtlSettings,
        start or unused,
        asyncio.run,
        argv,
    )


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "ctl.yaml"
    path.write_text("address: http://127.0.0.1:1\ntoken_file: token\n")
    return str(path)


_FORMS = {
    "positional": lambda path: [path],
    "option": lambda path: ["--settings", path],
    "joined": lambda path: [f"--settings={path}"],
}


@pytest.mark.parametrize("form", _FORMS)
def test_check_validates_and_does_not_start(settings, capsys, form):
    assert _run([*_FORMS[form](settings), "--check"]) == program.EXIT_OK
    assert f"{settings}: valid" in capsys.readouterr().out


@pytest.mark.parametrize("form", _FORMS)
def test_the_timeline_accepts_the_same_forms(capsys, form):
    path = str(_EXAMPLES / "timeline.yaml")
    argv = [*_FORMS[form](path), "--check"]
    assert timeline_main.run(argv) == program.EXIT_OK
    assert f"{path}: valid" in capsys.readouterr().out


@pytest.mark.parametrize("run", [_run, timeline_main.run])
@pytest.mark.parametrize("argv", [[], ["a.yaml", "--settings", "b.yaml"]])
def test_exactly_one_settings_file_is_required(capsys, run, argv):
    """Guards against a start with a file that the operator did not intend."""
    assert run([*argv, "--check"]) == program.EXIT_BAD_SETTINGS
    error = capsys.readouterr().err
    assert "exactly one settings file" in error
    assert all(name in error for name in argv if name.endswith(".yaml"))


def test_bad_settings_exit_with_2_and_name_the_problem(tmp_path, capsys):
    path = tmp_path / "bad.yaml"
    path.write_text("address: nowhere\n")
    assert _run([str(path), "--check"]) == program.EXIT_BAD_SETTINGS
    error = capsys.readouterr().err
    assert "address: 'nowhere'" in error
    assert "token_file" in error


def test_the_exit_code_of_the_program_is_returned(settings):
    async def start(cfg):
        assert cfg.token_file == "token"
        return 7

    assert _run([settings], start) == 7


@pytest.mark.parametrize("flag", ["--help", "--version"])
def test_help_and_version_exit_with_0(flag, capsys):
    with pytest.raises(SystemExit) as stop:
        _run([flag])
    assert not stop.value.code
    assert "hibiscuspass-test" in capsys.readouterr().out
