"""Templates that produce the configuration of a workspace."""

from collections.abc import Mapping
from collections.abc import Sequence
import json
import re
from typing import Any

import attrs

from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import checks
from hibiscuspass.settings import structure

_REFERENCE = re.compile(r"\$\{([a-z][a-z0-9_]*)\}")

_KINDS: dict[str, tuple[type, ...]] = {
    "integer": (int,),
    "number": (int, float),
    "text": (str,),
    "boolean": (bool,),
    "list": (list, tuple),
}


@attrs.frozen
class Parameter:
    """A value that an operator chooses when applying a template.

    Attributes:
      name: Name used as `${name}` in the template's workspace.
      kind: `integer`, `number`, `text`, `boolean` or `list` (of texts).
      description: What the parameter is for.
      required: Whether the operator must give a value.
      default: Value if the operator gives none.
      minimum: Smallest allowed number.
      maximum: Largest allowed number.
      choices: Allowed texts, or allowed items of a list; empty for any.
    """

    name: str = attrs.field(
        validator=checks.matches("[a-z][a-z0-9_]*", "a-z, 0-9 and _")
    )
    kind: str = attrs.field(validator=checks.one_of(*_KINDS))
    description: str = ""
    required: bool = False
    default: Any = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


@attrs.frozen
class Template:
    """A workspace configuration with parameters.

    Attributes:
      name: Unique name.
      description: When to use the template.
      parameters: Values that operators choose.
      workspace: Fields of `Workspace` except `name`, `template` and
        `access_keys`. A text that is exactly `${parameter}` is replaced by the
        parameter's value.
    """

    name: str = attrs.field(validator=checks.is_name())
    description: str = ""
    parameters: tuple[Parameter, ...] = attrs.field(
        default=(), validator=checks.unique_names()
    )
    workspace: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class TemplateRecord:
    """Stored form of a template.

    Attributes:
      template: The template.
      operator: Operator who made the change.
      operation: Unique id of the change.
    """

    template: Template
    operator: str = ""
    operation: str = ""


def encode(record: TemplateRecord) -> bytes:
    """Returns the stored form."""
    return json.dumps(structure.unstructure(record), sort_keys=True).encode()


def decode(raw: bytes) -> TemplateRecord | tuple[structure.Problem, ...]:
    """Returns the record of a stored form, or why the form is not valid."""
    try:
        data = json.loads(raw)
    except ValueError as exc:
        return (structure.Problem("", str(exc), "a JSON object"),)
    return structure.structure(data, TemplateRecord)


def _range_of(param: Parameter) -> str:
    low = "any" if param.minimum is None else f"{param.minimum:g}"
    high = "any" if param.maximum is None else f"{param.maximum:g}"
    return f"{low} to {high}"


def _describe_allowed(param: Parameter, value: Any) -> str | None:
    """Returns None for an allowed value, else says what is allowed."""
    # In Python a bool is also an int.
    unexpected_bool = isinstance(value, bool) and param.kind != "boolean"
    has_kind: bool = isinstance(value, _KINDS[param.kind])
    if unexpected_bool or not has_kind:
        return f"a value of kind {param.kind}"
    if param.kind in ("integer", "number"):
        low = -float("inf") if param.minimum is None else param.minimum
        high = float("inf") if param.maximum is None else param.maximum
        return None if low <= value <= high else _range_of(param)
    items = value if param.kind == "list" else [value]
    if param.kind == "list" and not all(isinstance(i, str) for i in items):
        return "a list of texts"
    if param.choices and not set(items) <= set(param.choices):
        return ", ".join(param.choices)
    return None


def _bind_parameters(
    template: Template, given: Mapping[str, Any]
) -> tuple[dict[str, Any], list[structure.Problem]]:
    params = {p.name: p for p in template.parameters}
    names = ", ".join(params) or "none; the template has no parameters"
    problems = [
        structure.Problem(f"parameters.{n}", v, f"one of {names}")
        for n, v in given.items()
        if n not in params
    ]
    values: dict[str, Any] = {}
    for name, param in params.items():
        if name not in given and param.required:
            problems.append(
                structure.Problem(
                    f"parameters.{name}", None, "a value; it is required"
                )
            )
            continue
        values[name] = given.get(name, param.default)
        allowed = _describe_allowed(param, values[name])
        if allowed is not None:
            problems.append(
                structure.Problem(f"parameters.{name}", values[name], allowed)
            )
    return values, problems


def _substitute(node: Any, values: Mapping[str, Any], path: str) -> Any:
    if isinstance(node, Mapping):
        return {
            k: _substitute(v, values, f"{path}.{k}") for k, v in node.items()
        }
    if isinstance(node, Sequence) and not isinstance(node, str):
        return [
            _substitute(v, values, f"{path}[{i}]") for i, v in enumerate(node)
        ]
    reference = _REFERENCE.fullmatch(node) if isinstance(node, str) else None
    if reference is None:
        return node
    if reference[1] not in values:
        raise structure.ProblemsError(
            [
                structure.Problem(
                    path, node, f"one of {', '.join(values) or 'no parameters'}"
                )
            ]
        )
    return values[reference[1]]


def expand(
    template: Template, workspace: str, given: Mapping[str, Any]
) -> workspace_lib.Workspace | tuple[structure.Problem, ...]:
    """Creates a workspace's configuration from a template.

    Args:
      template: Template to apply.
      workspace: Name of the workspace.
      given: Parameter values that the operator chose.

    Returns:
      The checked configuration without access keys, or the problems of the
      first check that failed.
    """
    values, problems = _bind_parameters(template, given)
    if problems:
        return tuple(problems)
    reserved = {"name", "template", "access_keys"} & set(template.workspace)
    if reserved:
        return tuple(
            structure.Problem(
                f"workspace.{n}",
                template.workspace[n],
                "absence; it is set when the template is applied",
            )
            for n in sorted(reserved)
        )
    try:
        fields = _substitute(template.workspace, values, "workspace")
    except structure.ProblemsError as exc:
        return tuple(exc.problems)
    return structure.structure(
        {**fields, "name": workspace, "template": template.name},
        workspace_lib.Workspace,
    )


def check_names(
    ws: workspace_lib.Workspace,
    models: Sequence[str],
    services: Sequence[str],
) -> tuple[structure.Problem, ...]:
    """Returns a problem for each unknown model or service of a workspace.

    The services in `non_repeatable` must be among those of the workspace.
    """
    service_names = ", ".join(services) or "none"
    problems = [
        structure.Problem(f"models[{i}]", m, ", ".join(models) or "none")
        for i, m in enumerate(ws.models)
        if m not in models
    ]
    problems += [
        structure.Problem(f"services[{i}]", s, service_names)
        for i, s in enumerate(ws.services)
        if s not in services
    ]
    problems += [
        structure.Problem(
            f"non_repeatable[{i}].service",
            r.service,
            ", ".join(ws.services) or "none",
        )
        for i, r in enumerate(ws.non_repeatable)
        if r.service not in ws.services
    ]
    return tuple(problems)
