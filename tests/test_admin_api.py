"""Tests access, conflicts, keys and change status of the admin API."""

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
    api = admin_fakes.Admin()
    await api.client.start_server()
    yield api
    await api.client.close()


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
    status, created = await admin.call(
        "PUT",
        "/v1/workspaces/bakery",
        {"revision": 0, "template": "thin", "parameters": {"priority": 7}},
    )
    assert status == 200
    assert created["workspace"]["priority"] == 7
    assert created["workspace"]["template"] == "thin"
    assert created["change"]["status"] == "accepted"
    _, listed = await admin.call("GET", "/v1/workspaces?prefix=bak")
    assert listed["workspaces"]["bakery"]["revision"] == created["revision"]
    _, templates = await admin.call("GET", "/v1/templates")
    assert list(templates["templates"]) == ["thin"]


async def test_a_conflicting_write_returns_the_other_change(admin):
    _, first = await admin.create(priority=1)
    seen_revision = first["revision"]
    status, _ = await admin.call(
        "PUT",
        "/v1/workspaces/bakery",
        {"revision": seen_revision, "workspace": {"priority": 2}},
        operator=1,
    )
    assert status == 200
    status, conflict = await admin.create(revision=seen_revision, priority=3)
    assert status == 409
    assert "ana" in conflict["error"]["message"]
    assert conflict["error"]["current"]["workspace"]["priority"] == 2
    status, _ = await admin.create(
        revision=conflict["error"]["current"]["revision"], priority=3
    )
    assert status == 200


async def test_creating_an_existing_workspace_is_a_conflict(admin):
    await admin.create()
    status, conflict = await admin.create()
    assert status == 409
    assert conflict["error"]["current"]["workspace"]["name"] == "bakery"


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
async def test_an_invalid_body_is_reported_by_field(admin, body, field):
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
    _, created = await admin.create()
    status, _ = await admin.call(
        "POST", "/v1/workspaces/bakery/disable", {"revision": 1}
    )
    assert status == 409
    status, disabled = await admin.call(
        "POST",
        "/v1/workspaces/bakery/disable",
        {"revision": created["revision"]},
    )
    assert disabled["workspace"]["enabled"] is False
    status, _ = await admin.call("DELETE", "/v1/workspaces/bakery")
    assert status == 400
    status, deleted = await admin.call(
        "DELETE", f"/v1/workspaces/bakery?revision={disabled['revision']}"
    )
    assert status == 200
    assert deleted["change"]["status"] == "accepted"
    status, _ = await admin.call("GET", "/v1/workspaces/bakery")
    assert status == 404


async def test_a_key_is_returned_once_and_kept_by_other_changes(admin):
    await admin.create()
    status, created = await admin.call("POST", "/v1/workspaces/bakery/keys")
    assert status == 200
    presented = secrets.parse_access_key(created["key"])
    await admin.create(revision=created["revision"], priority=9)
    _, shown = await admin.call("GET", "/v1/workspaces/bakery")
    assert shown["workspace"]["access_keys"] == [presented.key_id]
    assert presented.secret not in json.dumps(shown)
    stored = admin.store.data.values[keys.workspace("bakery")].value
    assert presented.secret not in stored.decode()


async def test_revoking_a_key_keeps_the_other_keys(admin):
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
    """Guards against keys and tokens in the audit log and the timeline."""
    await admin.create()
    with structlog.testing.capture_logs() as entries:
        _, created = await admin.call("POST", "/v1/workspaces/bakery/keys")
    secret = secrets.parse_access_key(created["key"]).secret
    text = json.dumps(entries)
    assert secret not in text
    assert admin.tokens[0] not in text
    assert "admin.key_created" in text
    events = admin.context.recorder.events_since(
        recorder_lib.clock.Timestamp(0, 0)
    )
    assert secret not in str(events)


async def test_a_router_that_does_not_answer_is_reported_as_missing(admin):
    admin.store.data.write(
        keys.member("a/1"),
        0,
        member.encode(member.Member("a:1", "domain-a", "north")),
    )
    admin.vms.vms = (config_fakes.make_vm("b", "b:1"),)
    _, created = await admin.create()
    assert created["change"]["status"] == "pending"
    assert created["change"]["missing"] == ["a/1", "b"]
    _, status = await admin.call("GET", "/v1/workspaces/bakery/status")
    assert status["routers"] == {"a/1": None, "b": None}


async def test_a_change_is_pending_while_the_vm_list_is_unreadable(admin):
    """Guards against acceptance of a change without the unregistered routers.

    Routers that are not registered yet appear only in the VM list.
    """
    admin.vms.up = False
    _, created = await admin.create()
    assert created["change"]["status"] == "pending"
    assert "VM list" in created["change"]["unknown"][0]


async def test_an_outage_is_reported_as_unavailable(admin):
    admin.store.up = False
    status, answer = await admin.create()
    assert status == 503
    assert answer["error"]["code"] == "unavailable"
    assert answer["error"]["changed"] == "no"


async def test_the_outcome_of_a_change_without_reply_is_unknown(admin):
    """Guards against a stored change that is reported as not applied."""
    _, created = await admin.create()
    admin.store.lose_replies = True
    status, _ = await admin.call("GET", "/v1/workspaces/bakery")
    assert status == 504
    outcome = await admin.context.configs.workspaces.delete(
        "bakery", created["revision"]
    )
    assert outcome.run.value == "unknown"


async def test_a_retried_write_recognises_its_first_attempt(admin):
    """Guards against a retry that reports a conflict with its own write.

    The reply to the first attempt is lost after the write was stored. The
    retry must recognise the operation id of its own write.
    """
    store, original = admin.store, admin.store.compare_and_swap

    async def lose_first(*args, **kwargs):
        store.compare_and_swap = original
        await original(*args, **kwargs)
        return config_fakes.TIMEOUT

    store.compare_and_swap = lose_first
    status, created = await admin.create(priority=4)
    assert status == 200
    stored = admin.store.data.values[keys.workspace("bakery")]
    assert created["revision"] == stored.revision


async def test_a_malformed_value_can_be_overwritten(admin):
    written = admin.store.data.write(keys.workspace("bakery"), 0, b"{}")
    status, answer = await admin.call("GET", "/v1/workspaces/bakery")
    assert status == 409
    assert answer["error"]["current"]["revision"] == written.revision
    _, listed = await admin.call("GET", "/v1/workspaces")
    assert listed["workspaces"]["bakery"]["malformed"]
    status, _ = await admin.create(revision=written.revision)
    assert status == 200


async def test_an_operator_can_delete_a_registration(admin):
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


async def test_only_registrations_of_previously_listed_vms_end(admin):
    """Guards against deleting the registration of a router that still runs.

    A VM that the lagging list has never contained may be new, and a single
    read without a known VM, or an unreadable list, is no proof that it ended.
    """
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
