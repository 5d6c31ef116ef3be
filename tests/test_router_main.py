"""Tests the command line of the router program."""

import pathlib

import pytest

from hibiscuspass.router import main
from hibiscuspass.settings import program

_EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize("name", ["router-a", "router-b", "router-c"])
def test_check_accepts_the_examples(name, capsys):
    path = str(_EXAMPLES / f"{name}.yaml")
    assert main.main([path, "--check"]) == program.EXIT_OK
    assert "valid" in capsys.readouterr().out


def test_check_names_every_bad_field(tmp_path, capsys):
    text = (_EXAMPLES / "router-a.yaml").read_text()
    path = tmp_path / "bad.yaml"
    path.write_text(
        text.replace("port: 8001", "port: 0").replace("call_cost: 10", "x: 1")
    )
    assert main.main([str(path), "--check"]) == program.EXIT_BAD_SETTINGS
    problems = capsys.readouterr().err
    assert "listen.port" in problems
    assert "services[0].x" in problems


def test_missing_fleet_key_is_a_settings_error(tmp_path, capsys):
    text = (_EXAMPLES / "router-a.yaml").read_text()
    path = tmp_path / "router.yaml"
    path.write_text(text.replace("run/fleet.key", str(tmp_path / "none")))
    assert main.main([str(path)]) == program.EXIT_BAD_SETTINGS
    assert "fleet key" in capsys.readouterr().err


def test_version_is_printed(capsys):
    with pytest.raises(SystemExit) as ended:
        main.main(["--version"])
    assert ended.value.code == 0
    assert "hibiscuspass-router" in capsys.readouterr().out
