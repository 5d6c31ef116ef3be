"""Guards the administration API: access, lost races, keys and statuses."""

import json

import pytest
import structlog

from hibiscuspass.core.configuration import keys
from hibiscuspass.core.configuration import member
from hibiscuspass.settings import secrets
from hibiscuspass.telemetry import recorder as recorder_lib
from tests import admin_fakes
from tests import config_fakes

_TEMPLATE = {
    "name": "thin",
    "parameters": [
        {"name": "priority", "kind": "integer", "default": 3},
    ],
    "workspace": {"priority": "${priority}", "models": ["small"]},
}


@pytest.fixture
async def admin():
    made = admin_fakes.Admin()
    await made.client.start_server()
    yield made
    await made.client.close()


@pytest.mark.parametrize(
    "header",
    [
        None,
        "",
        "Bearer",
        "Bearer wrong",
        "Basic aW5lczp4",
        "{token}",
        "Bearer {token}x",
    ],
)
async def test_requests_without_a_valid_token_are_refused(admin, header):
    headers = {}
    if header is not None:
        headers["Authorization"] = header.format(token=admin.tokens[0])
    with structlog.testing.capture_logs() as entries:
        response = await admin.client.get("/v1/workspaces", headers=headers)
    assert response.status == 401
    assert (await response.json())["error"]["code"] == "unauthenticated"
    assert admin.tokens[0] not in json.dumps(entries)
    assert "request without a valid operator token" in json.dumps(entries)


@pytest.mark.parametrize("path", ["/metrics", "/healthz", "/readyz"])
async def test_probes_need_no_token(admin, path):
    assert (await admin.client.get(path)).status == 200


async def test_a_template_yields_a_workspace(admin):
    status, _ = await admin.call(
        "PUT", "/v1/templates/thin", {"revision": 0, "template": _TEMPLATE}
    )
    assert status == 200
    status, made = await admin.call(
        "PUT",
        "/v1/workspaces/bakery",
        {"revision": 0, "template": "thin", "parameters": {"priority": 7}},
    )
    assert status == 200
    assert made["workspace"]["priority"] == 7
    assert made["workspace"]["template"] == "thin"
    assert made["change"]["status"] == "accepted"
    _, listed = await admin.call("GET", "/v1/workspaces?prefix=bak")
    assert listed["workspaces"]["bakery"]["revision"] == made["revision"]
    _, templates = await admin.call("GET", "/v1/templates")
    assert list(templates["templates"]) == ["thin"]


async def test_a_lost_race_shows_the_other_change(admin):
    _, first = await admin.create(priority=1)
    seen = first["revision"]
    status, _ = await admin.call(
        "PUT",
        "/v1/workspaces/bakery",
        {"revision": seen, "workspace": {"priority": 2}},
        operator=1,
    )
    assert status == 200
    status, lost = await admin.create(revision=seen, priority=3)
    assert status == 409
    assert "ana" in lost["error"]["message"]
    assert lost["error"]["current"]["workspace"]["priority"] == 2
    status, _ = await admin.create(
        revision=lost["error"]["current"]["revision"], priority=3
    )
    assert status == 200


async def test_creating_a_workspace_twice_is_a_lost_race(admin):
    await admin.create()
    status, lost = await admin.create()
    assert status == 409
    assert lost["error"]["current"]["workspace"]["name"] == "bakery"


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({"revision": 0, "workspace": {"priority": 10}}, "priority"),
        ({"revision": 0, "workspace": {"models": ["huge"]}}, "models[0]"),
        ({"revision": 0, "workspace": {"colour": 1}}, "colour"),
        ({"revision": 0, "workspace": {"access_keys": []}}, "access_keys"),
        ({"revision": "0", "workspace": {"priority": 1}}, "revision"),
        ({"workspace": {"priority": 1}}, "revision"),
        ({"revision": 0}, "template"),
        ({"revision": 0, "parameters": []}, "parameters"),
        ([], ""),
    ],
)
async def test_a_bad_body_is_named_by_field(admin, body, field):
    status, answer = await admin.call("PUT", "/v1/workspaces/bakery", body)
    assert status == 400
    assert field in [p["field"] for p in answer["error"]["problems"]]
    assert admin.store.data.values == {}


async def test_an_unknown_template_and_a_bad_name_are_errors(admin):
    status, _ = await admin.call(
        "PUT", "/v1/workspaces/bakery", {"revision": 0, "template": "none"}
    )
    assert status == 404
    status, answer = await admin.call("GET", "/v1/workspaces/A%20b")
    assert status == 400
    assert "a-z" in answer["error"]["message"]


async def test_disable_and_delete_need_the_revision_seen(admin):
    _, made = await admin.create()
    status, _ = await admin.call(
        "POST", "/v1/workspaces/bakery/disable", {"revision": 1}
    )
    assert status == 409
    status, off = await admin.call(
        "POST",
        "/v1/workspaces/bakery/disable",
        {"revision": made["revision"]},
    )
    assert off["workspace"]["enabled"] is False
    status, _ = await admin.call("DELETE", "/v1/workspaces/bakery")
    assert status == 400
    status, gone = await admin.call(
        "DELETE", f"/v1/workspaces/bakery?revision={off['revision']}"
    )
    assert status == 200
    assert gone["change"]["status"] == "accepted"
    status, _ = await admin.call("GET", "/v1/workspaces/bakery")
    assert status == 404


async def test_a_key_is_shown_once_and_survives_other_changes(admin):
    await admin.create()
    status, made = await admin.call("POST", "/v1/workspaces/bakery/keys")
    assert status == 200
    presented = secrets.parse_access_key(made["key"])
    await admin.create(revision=made["revision"], priority=9)
    _, shown = await admin.call("GET", "/v1/workspaces/bakery")
    assert shown["workspace"]["access_keys"] == [presented.key_id]
    assert presented.secret not in json.dumps(shown)
    stored = admin.store.data.values[keys.workspace("bakery")].value
    assert presented.secret not in stored.decode()


async def test_a_revoked_key_is_gone_and_others_stay(admin):
    await admin.create()
    _, one = await admin.call("POST", "/v1/workspaces/bakery/keys")
    _, two = await admin.call("POST", "/v1/workspaces/bakery/keys")
    path = f"/v1/workspaces/bakery/keys/{one['key_id']}"
    status, _ = await admin.call("DELETE", path)
    assert status == 200
    _, shown = await admin.call("GET", "/v1/workspaces/bakery")
    assert shown["workspace"]["access_keys"] == [two["key_id"]]
    status, answer = await admin.call("DELETE", path)
    assert status == 404
    assert two["key_id"] in answer["error"]["message"]


async def test_secrets_are_not_logged_by_operator_actions(admin):
    await admin.create()
    with structlog.testing.capture_logs() as entries:
        _, made = await admin.call("POST", "/v1/workspaces/bakery/keys")
    secret = secrets.parse_access_key(made["key"]).secret
    text = json.dumps(entries)
    assert secret not in text
    assert admin.tokens[0] not in text
    assert "admin.key_created" in text
    events = admin.context.recorder.events_since(
        recorder_lib.clock.Timestamp(0, 0)
    )
    assert secret not in str(events)


async def test_a_router_that_does_not_answer_is_named_as_missing(admin):
    admin.store.data.write(
        keys.member("a/1"),
        0,
        member.encode(member.Member("a:1", "domain-a", "north")),
    )
    admin.vms.vms = (config_fakes.make_vm("b", "b:1"),)
    _, made = await admin.create()
    assert made["change"]["status"] == "pending"
    assert made["change"]["missing"] == ["a/1", "b"]
    _, status = await admin.call("GET", "/v1/workspaces/bakery/status")
    assert status["routers"] == {"a/1": None, "b": None}


async def test_an_unreadable_vm_list_is_never_an_accepted_change(admin):
    admin.vms.up = False
    _, made = await admin.create()
    assert made["change"]["status"] == "pending"
    assert "VM list" in made["change"]["unknown"][0]


async def test_an_outage_is_said_plainly(admin):
    admin.store.up = False
    status, answer = await admin.create()
    assert status == 503
    assert answer["error"]["code"] == "unavailable"
    assert answer["error"]["changed"] == "no"


async def test_a_change_whose_reply_was_lost_is_not_called_unchanged(admin):
    _, made = await admin.create()
    admin.store.lose_replies = True
    status, _ = await admin.call("GET", "/v1/workspaces/bakery")
    assert status == 504
    outcome = await admin.context.configs.workspaces.delete(
        "bakery", made["revision"]
    )
    assert outcome.run.value == "unknown"


async def test_a_repeated_write_recognises_its_own_first_attempt(admin):
    """The first reply is lost; the repetition finds its own operation id."""
    store, original = admin.store, admin.store.compare_and_swap

    async def lose_first(*args, **kwargs):
        store.compare_and_swap = original
        await original(*args, **kwargs)
        return config_fakes.TIMEOUT

    store.compare_and_swap = lose_first
    status, made = await admin.create(priority=4)
    assert status == 200
    stored = admin.store.data.values[keys.workspace("bakery")]
    assert made["revision"] == stored.revision


async def test_a_malformed_value_can_be_overwritten(admin):
    written = admin.store.data.write(keys.workspace("bakery"), 0, b"{}")
    status, answer = await admin.call("GET", "/v1/workspaces/bakery")
    assert status == 409
    assert answer["error"]["current"]["revision"] == written.revision
    _, listed = await admin.call("GET", "/v1/workspaces")
    assert listed["workspaces"]["bakery"]["malformed"]
    status, _ = await admin.create(revision=written.revision)
    assert status == 200


async def test_an_operator_can_end_a_registration(admin):
    admin.store.data.write(
        keys.member("a/1"),
        0,
        member.encode(member.Member("a:1", "domain-a", "north")),
    )
    _, listed = await admin.call("GET", "/v1/routers")
    assert listed["routers"]["a/1"]["address"] == "a:1"
    status, _ = await admin.call("DELETE", "/v1/routers/a/1")
    assert status == 200
    status, _ = await admin.call("DELETE", "/v1/routers/a/1")
    assert status == 404


async def test_registrations_end_only_for_vms_that_the_list_had_shown(admin):
    for name in ("a/1", "b/1"):
        admin.store.data.write(
            keys.member(name),
            0,
            member.encode(member.Member(f"{name}:1", "domain-a", "north")),
        )
    janitor = admin.context.registrations
    admin.vms.vms = (config_fakes.make_vm("a", "a:1"),)
    await janitor.compare()
    admin.vms.up = False
    await janitor.compare()
    admin.vms.up, admin.vms.vms = True, ()
    await janitor.compare()
    assert list(await janitor.list()) == ["a/1", "b/1"]
    await janitor.compare()
    assert list(await janitor.list()) == ["b/1"]


async def test_unknown_paths_and_methods_are_json_errors(admin):
    status, answer = await admin.call("GET", "/v2/workspaces")
    assert status == 404
    assert "error" in answer
    status, _ = await admin.call("PATCH", "/v1/workspaces/bakery")
    assert status == 405
