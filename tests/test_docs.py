"""Checks that reference pages and examples match the code."""

import pathlib
import re
import typing

import attrs
import msgspec
import pytest
import yaml

from hibiscuspass.backends import vm_list
from hibiscuspass.core.configuration import template as template_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import admin
from hibiscuspass.settings import coordinator
from hibiscuspass.settings import ctl
from hibiscuspass.settings import loader
from hibiscuspass.settings import router
from hibiscuspass.settings import timeline
from tests import admin_fakes

_ROOT = pathlib.Path(__file__).parent.parent
_FILES = {
    "router-a": router.RouterSettings,
    "router-b": router.RouterSettings,
    "router-c": router.RouterSettings,
    "admin": admin.AdminSettings,
    "coordinator": coordinator.CoordinatorSettings,
    "timeline": timeline.TimelineSettings,
    "ctl": ctl.CtlSettings,
    "templates/thin-budget": template_lib.Template,
    "templates/ample-budget": template_lib.Template,
}


def _nested_classes(cls):
    """Returns an attrs class and the attrs classes nested in its fields."""
    found = [cls]
    for field in attrs.fields(attrs.resolve_types(cls)):
        for tp in (field.type, *typing.get_args(field.type)):
            if isinstance(tp, type) and attrs.has(tp):
                found += _nested_classes(tp)
    return found


def _load(name):
    """Loads an example file into its settings class."""
    return loader.load(_ROOT / "examples" / f"{name}.yaml", _FILES[name])


@pytest.mark.parametrize("name", _FILES)
def test_example_files_are_valid(name):
    loaded = _load(name)
    assert isinstance(loaded, _FILES[name]), str(loaded)


def test_every_example_file_is_covered():
    found = {
        str(p.relative_to(_ROOT / "examples").with_suffix(""))
        for p in (_ROOT / "examples").rglob("*.yaml")
    }
    assert found == {*_FILES, "inventory"}


def test_the_example_inventory_lists_valid_vms():
    text = (_ROOT / "examples" / "inventory.yaml").read_text()
    vms = msgspec.convert(yaml.safe_load(text)["vms"], tuple[vm_list.Vm, ...])
    routers = {_load("router-" + letter).peer_link.address for letter in "abc"}
    listed = {v.address for v in vms if v.role is vm_list.VmRole.ROUTER}
    assert listed == routers


@pytest.mark.parametrize(
    ("name", "given"),
    [
        ("thin-budget", {"models": ["m"], "services": ["orders"]}),
        ("ample-budget", {"models": ["m"], "service": "orders"}),
    ],
)
def test_example_templates_yield_workspaces(name, given):
    template = loader.load(
        _ROOT / "examples" / "templates" / f"{name}.yaml",
        template_lib.Template,
    )
    made = template_lib.expand(template, "bakery", given)
    assert isinstance(made, workspace_lib.Workspace), made


@pytest.mark.parametrize(
    "cls",
    [
        c
        for c in dict.fromkeys(_FILES.values())
        if c is not template_lib.Template
    ],
)
def test_every_setting_is_documented(cls):
    text = (_ROOT / "docs" / "settings.md").read_text()
    missing = [
        field.name
        for nested in _nested_classes(cls)
        for field in attrs.fields(nested)
        if f"| `{field.name}` |" not in text
    ]
    assert missing == []


async def test_every_call_of_the_administration_api_is_documented():
    text = (_ROOT / "docs" / "admin-api.md").read_text()
    app = admin_fakes.Admin().client.app
    missing = [
        f"{route.method} {route.resource.canonical}"
        for route in app.router.routes()
        if route.method != "HEAD" and route.resource.canonical not in text
    ]
    assert missing == []


def test_every_metric_of_the_control_programs_is_documented():
    text = (_ROOT / "docs" / "OPERATIONS.md").read_text()
    sources = [
        path
        for pattern in ("admin/*.py", "router/config_*.py")
        for path in (_ROOT / "hibiscuspass").glob(pattern)
    ]
    names = {
        name
        for path in sources
        for name in re.findall(r'"(hibiscuspass_\w+)"', path.read_text())
    }
    assert names
    assert [n for n in sorted(names) if n not in text] == []
