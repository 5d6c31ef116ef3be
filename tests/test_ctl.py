"""Tests output and exit codes of the operators' command line."""

import asyncio
import json
import pathlib
import stat
import threading

import pytest
import yaml

from hibiscuspass.ctl import main
from hibiscuspass.ctl import output
from hibiscuspass.settings import admin as admin_settings
from hibiscuspass.settings import secrets
from hibiscuspass.settings import structure
from tests import admin_fakes
from tests import config_fakes

_TEMPLATE = {
    "name": "thin",
    "parameters": [{"name": "priority", "kind": "integer", "default": 3}],
    "workspace": {"priority": "${priority}", "models": ["small"]},
}


class _Server:
    """Runs the administration API in a thread; has a working directory."""

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.admin = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._run(self._start())
        address = f"http://127.0.0.1:{self.admin.client.port}"
        self.write("token", self.admin.tokens[0])
        self.settings = self.write_settings(address)
        self.template = self.write("thin.yaml", yaml.safe_dump(_TEMPLATE))

    async def _start(self):
        self.admin = admin_fakes.Admin()
        await self.admin.client.start_server()

    def _run(self, coro):
        return asyncio.run_coroutine_threadsafe(coro, self._loop).result()

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def write_settings(self, address, token="token"):
        token_file = str(self.directory / token)
        data = {"address": address, "token_file": token_file}
        return self.write("ctl.yaml", yaml.safe_dump(data))

    def ctl(self, *args):
        return main.run([*args, "--settings", self.settings])

    def close(self):
        self._run(self.admin.client.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


@pytest.fixture
def server(tmp_path):
    running = _Server(tmp_path)
    yield running
    running.close()


def _apply(server, *args, revision=0):
    return server.ctl(
        "workspace-apply",
        "bakery",
        "--template",
        "thin",
        "--revision",
        str(revision),
        *args,
    )


def test_a_workspace_is_made_from_a_template(server, capsys):
    assert server.ctl("template-apply", server.template, "-r", "0") == 0
    assert _apply(server, "--set", "priority=7", "--json") == 0
    capsys.readouterr()
    assert server.ctl("workspace-show", "bakery", "--json") == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["workspace"]["priority"] == 7
    assert server.ctl("workspace-list") == 0
    assert "bakery:" in capsys.readouterr().out


def test_a_conflict_exits_with_3_and_shows_the_other_change(server, capsys):
    server.ctl("template-apply", server.template, "-r", "0")
    assert _apply(server) == 0
    assert _apply(server) == output.EXIT_CONFLICT
    error = capsys.readouterr().err
    assert "was changed to revision" in error
    assert "current:" in error


def test_a_pending_change_exits_with_5_and_names_the_router(server, capsys):
    server.ctl("template-apply", server.template, "-r", "0")
    server.admin.vms.vms = (config_fakes.make_vm("router-a", "a:1"),)
    assert _apply(server) == output.EXIT_PENDING
    assert "router-a" in capsys.readouterr().out
    assert server.ctl("workspace-status", "bakery") == output.EXIT_PENDING
    server.admin.vms.vms = ()
    assert server.ctl("workspace-status", "bakery") == output.EXIT_OK


@pytest.mark.parametrize(
    ("args", "code", "message"),
    [
        (("workspace-show", "none"), output.EXIT_REFUSED, "does not exist"),
        (("workspace-show", "A b"), output.EXIT_REFUSED, "a-z"),
        (
            ("template-apply", "/none.yaml", "-r", "0"),
            output.EXIT_USAGE,
            "none.yaml",
        ),
        (
            ("workspace-apply", "x", "-t", "t", "-r", "0", "--set", "p"),
            output.EXIT_USAGE,
            "parameter=value",
        ),
    ],
)
def test_errors_are_clear_and_have_their_exit_code(
    server, capsys, args, code, message
):
    assert server.ctl(*args) == code
    assert message in capsys.readouterr().err


def test_an_unreachable_program_exits_with_4(server, capsys):
    server.settings = server.write_settings("http://127.0.0.1:1")
    assert server.ctl("workspace-list") == output.EXIT_UNREACHABLE
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_a_missing_token_and_bad_settings_exit_with_2(server, capsys):
    server.settings = server.write_settings("http://127.0.0.1:1", "absent")
    assert server.ctl("workspace-list") == output.EXIT_USAGE
    assert "token file" in capsys.readouterr().err
    server.settings = server.write_settings("nowhere")
    assert server.ctl("check") == output.EXIT_USAGE
    assert "address: 'nowhere'" in capsys.readouterr().err


def test_a_wrong_token_is_refused(server, capsys):
    server.write("token", "hpo.wrong")
    assert server.ctl("workspace-list") == output.EXIT_REFUSED
    error = capsys.readouterr().err
    assert "valid token" in error
    assert "hpo.wrong" not in error


def test_a_new_key_is_written_to_a_private_file(server, capsys):
    server.ctl("template-apply", server.template, "-r", "0")
    _apply(server)
    path = server.directory / "key"
    assert server.ctl("key-create", "bakery", "--file", str(path)) == 0
    presented = secrets.parse_access_key(path.read_text().strip())
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    text = capsys.readouterr().out
    assert presented.key_id in text
    assert presented.secret not in text
    second_exit_code = server.ctl("key-create", "bakery", "--file", str(path))
    assert second_exit_code == output.EXIT_USAGE
    assert server.ctl("key-revoke", "bakery", presented.key_id) == 0


def test_a_failed_key_creation_leaves_no_key_file(server):
    """Guards against an empty key file that blocks the next attempt."""
    path = server.directory / "key"
    code = server.ctl("key-create", "none", "--file", str(path))
    assert code == output.EXIT_REFUSED
    assert not path.exists()


def test_generated_keys_are_valid(tmp_path, capsys):
    fleet, token = tmp_path / "fleet.key", tmp_path / "token"
    assert main.run(["keygen-fleet", str(fleet)]) == 0
    assert len(secrets.read_fleet_key(fleet)) == 32
    assert main.run(["keygen-operator", "ines", str(token)]) == 0
    entry = yaml.safe_load(capsys.readouterr().out)[0]
    operator = structure.structure(entry, admin_settings.OperatorToken)
    found = secrets.find_operator((operator,), secrets.read_token_file(token))
    assert found == "ines"
    assert main.run(["keygen-fleet", str(fleet)]) == output.EXIT_USAGE


def test_routers_are_listed_and_forgotten(server, capsys):
    assert server.ctl("router-list") == 0
    assert server.ctl("router-forget", "a/1") == output.EXIT_REFUSED
    assert "not registered" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("name", "code"),
    [
        ("examples/ctl.yaml", output.EXIT_OK),
        ("missing.yaml", output.EXIT_USAGE),
    ],
)
@pytest.mark.parametrize("form", ["--check", "check --settings"])
def test_check_takes_both_forms(form, name, code):
    """Guards against a command line that rejects `--check FILE`.

    The server programs accept this form of the option.
    """
    assert main.run([*form.split(), name]) == code
