"""Guards against templates that create wrong or unvalidated workspaces."""

import pytest

from hibiscuspass.core.configuration import template as template_lib
from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import structure

_DATA = {
    "name": "thin",
    "parameters": [
        {"name": "priority", "kind": "integer", "default": 3},
        {
            "name": "models",
            "kind": "list",
            "required": True,
            "choices": ["small", "large"],
        },
        {
            "name": "fraction",
            "kind": "number",
            "default": 0.2,
            "minimum": 0.1,
            "maximum": 0.5,
        },
        {"name": "enabled", "kind": "boolean", "default": True},
    ],
    "workspace": {
        "priority": "${priority}",
        "models": "${models}",
        "grant_fraction": "${fraction}",
        "enabled": "${enabled}",
        "services": ["orders"],
        "non_repeatable": [
            {"service": "orders", "method": "POST", "path_prefix": "/"}
        ],
    },
}


def _template(**changes):
    made = structure.structure({**_DATA, **changes}, template_lib.Template)
    assert isinstance(made, template_lib.Template), made
    return made


def test_parameters_and_defaults_fill_the_workspace():
    ws = template_lib.expand(_template(), "bakery", {"models": ["small"]})
    assert isinstance(ws, workspace_lib.Workspace), ws
    assert (ws.name, ws.template, ws.priority) == ("bakery", "thin", 3)
    assert ws.models == ("small",)
    assert ws.grant_fraction == 0.2
    assert ws.non_repeatable[0].method == "POST"


@pytest.mark.parametrize(
    ("given", "field", "allowed"),
    [
        ({}, "parameters.models", "required"),
        ({"models": ["huge"]}, "parameters.models", "small, large"),
        ({"models": "small"}, "parameters.models", "list"),
        ({"models": [1]}, "parameters.models", "texts"),
        ({"models": [], "colour": 1}, "parameters.colour", "priority, models"),
        ({"models": [], "fraction": 0.9}, "parameters.fraction", "0.1 to 0.5"),
        ({"models": [], "priority": True}, "parameters.priority", "integer"),
        ({"models": [], "priority": 11}, "priority", "0 to 9"),
    ],
)
def test_an_error_names_field_value_and_allowed_values(given, field, allowed):
    problems = template_lib.expand(_template(), "bakery", given)
    assert isinstance(problems, tuple)
    assert [p.field for p in problems] == [field]
    assert allowed in problems[0].allowed


def test_all_parameter_errors_are_reported_at_once():
    problems = template_lib.expand(
        _template(), "bakery", {"models": ["x"], "fraction": 9, "other": 1}
    )
    assert len(problems) == 3


@pytest.mark.parametrize(
    ("workspace", "field"),
    [
        ({"models": "${missing}"}, "workspace.models"),
        ({"name": "x"}, "workspace.name"),
        ({"access_keys": []}, "workspace.access_keys"),
        ({"colour": "red"}, "colour"),
    ],
)
def test_a_template_without_a_valid_workspace_is_rejected(workspace, field):
    problems = template_lib.expand(
        _template(workspace=workspace), "bakery", {"models": []}
    )
    assert isinstance(problems, tuple)
    assert problems[0].field == field


def test_names_of_models_and_services_are_checked():
    ws = template_lib.expand(_template(), "bakery", {"models": ["small"]})
    assert template_lib.check_names(ws, ["small"], ["orders"]) == ()
    problems = template_lib.check_names(ws, ["large"], [])
    assert [p.field for p in problems] == ["models[0]", "services[0]"]


def test_the_stored_form_is_decoded_unchanged():
    made = template_lib.TemplateRecord(_template(), "ines", "op")
    assert template_lib.decode(template_lib.encode(made)) == made
    assert isinstance(template_lib.decode(b"{"), tuple)
