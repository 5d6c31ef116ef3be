"""Converts plain data to attrs objects and reports all problems at once."""

from collections.abc import Callable
from collections.abc import Mapping
import functools
from typing import Any
from typing import cast
from typing import TypeVar

import attrs
import cattrs
from cattrs import gen

from hibiscuspass.settings import checks

T = TypeVar("T")

_PRIMITIVES: dict[type, tuple[tuple[type, ...], str]] = {
    int: ((int,), "a whole number"),
    float: ((int, float), "a number"),
    str: ((str,), "a string"),
    bool: ((bool,), "true or false"),
}


@attrs.frozen
class Problem:
    """One invalid value in a file or request body.

    Attributes:
      field: Path of the field, for example `listen.port`; empty for the whole
        document.
      value: The invalid value.
      allowed: Description of the allowed values.
    """

    field: str
    value: object
    allowed: str

    def __str__(self) -> str:
        location = self.field or "document"
        return (
            f"{location}: {self.value!r} is not allowed;"
            f" allowed: {self.allowed}"
        )

    def with_parent(self, parent: str) -> "Problem":
        """Returns the problem with `parent` prepended to the field path."""
        separator = "" if not self.field or self.field.startswith("[") else "."
        return attrs.evolve(self, field=f"{parent}{separator}{self.field}")


class ProblemsError(ValueError):
    """Passes problems from cattrs hooks to the caller of the converter."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


class _ProblemCollector:
    """Runs several conversions and collects the problems of all of them."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def run(self, path: str, step: Callable[[], Any]) -> Any:
        try:
            return step()
        except ProblemsError as exc:
            self.problems += [p.with_parent(path) for p in exc.problems]
        except checks.InvalidValueError as exc:
            self.problems.append(Problem(path, exc.value, exc.allowed))
        return None

    def raise_problems(self) -> None:
        if self.problems:
            raise ProblemsError(self.problems)


def _structure_primitive(value: Any, cls: type) -> Any:
    accepted, allowed = _PRIMITIVES[cls]
    # bool is a subclass of int, but `port: true` is a mistake.
    is_stray_bool = isinstance(value, bool) and cls is not bool
    if is_stray_bool or not isinstance(value, accepted):
        raise ProblemsError([Problem("", value, allowed)])
    return cls(value)


def _structure_field(
    converter: cattrs.Converter, field: "attrs.Attribute[Any]", value: Any
) -> Any:
    result = converter.structure(value, cast("type[Any]", field.type))
    if field.validator is not None:
        field.validator(None, field, result)
    return result


def _attrs_hook(converter: cattrs.Converter, cls: type) -> Callable[..., Any]:
    attrs.resolve_types(cls)
    fields = {f.name: f for f in attrs.fields(cls)}

    def structure(data: Any, _: type) -> Any:
        if not isinstance(data, Mapping):
            raise ProblemsError([Problem("", data, "a mapping")])
        # A value that a template leaves empty stands for the default.
        data = {
            name: value
            for name, value in data.items()
            if value is not None
            or name not in fields
            or fields[name].default is attrs.NOTHING
        }
        collector = _ProblemCollector()
        collector.problems += [
            Problem(str(k), data[k], f"one of the fields {', '.join(fields)}")
            for k in data
            if k not in fields
        ]
        collector.problems += [
            Problem(name, None, "a value; the field is required")
            for name, field in fields.items()
            if field.default is attrs.NOTHING and name not in data
        ]
        values = {
            name: collector.run(
                name,
                functools.partial(
                    _structure_field, converter, field, data[name]
                ),
            )
            for name, field in fields.items()
            if name in data
        }
        collector.raise_problems()
        result = collector.run("", lambda: cls(**values))
        collector.raise_problems()
        return result

    return structure


def _tuple_hook(
    converter: cattrs.Converter, field_type: Any
) -> Callable[..., Any]:
    item_type = field_type.__args__[0]

    def structure(data: Any, _: Any) -> Any:
        if not isinstance(data, (list, tuple)):
            raise ProblemsError([Problem("", data, "a list")])
        collector = _ProblemCollector()
        items = [
            collector.run(
                f"[{i}]",
                functools.partial(converter.structure, item, item_type),
            )
            for i, item in enumerate(data)
        ]
        collector.raise_problems()
        return tuple(items)

    return structure


def _structure_dict(data: Any, _: Any) -> dict[str, Any]:
    if not isinstance(data, Mapping):
        raise ProblemsError([Problem("", data, "a mapping")])
    collector = _ProblemCollector()
    collector.problems += [
        Problem("", k, "a string as key")
        for k in data
        if not isinstance(k, str)
    ]
    collector.raise_problems()
    return dict(data)


def _is_dict(field_type: Any) -> bool:
    return field_type == dict[str, Any]


def _is_tuple(field_type: Any) -> bool:
    return getattr(field_type, "__origin__", None) is tuple


def _make_converter() -> cattrs.Converter:
    # The `forbid_extra_keys` option of cattrs is not used, because it reports
    # only the first error of a class and without the invalid value.
    converter = cattrs.Converter()
    for cls in _PRIMITIVES:
        converter.register_structure_hook(cls, _structure_primitive)
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _attrs_hook(converter, cls)
    )
    converter.register_structure_hook_factory(
        _is_tuple, lambda field_type: _tuple_hook(converter, field_type)
    )
    converter.register_structure_hook_func(_is_dict, _structure_dict)
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: gen.make_dict_unstructure_fn(cls, converter)
    )
    return converter


_CONVERTER = _make_converter()


def structure(data: object, cls: type[T]) -> T | tuple[Problem, ...]:
    """Converts mappings, lists and scalars to an attrs object.

    Returns:
      The object, or all problems of the data.
    """
    try:
        return _CONVERTER.structure(data, cls)
    except ProblemsError as exc:
        return tuple(exc.problems)


def unstructure(value: object) -> Any:
    """Converts an attrs object to mappings, lists and scalars."""
    return _CONVERTER.unstructure(value)
