"""Builds attrs classes from plain data and collects every problem."""

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
    """One fault in a file or request body.

    Attributes:
      field: Path of the field, for example `listen.port`; empty for the whole
        document.
      value: The bad value.
      allowed: What is allowed instead.
    """

    field: str
    value: object
    allowed: str

    def __str__(self) -> str:
        where = self.field or "document"
        return (
            f"{where}: {self.value!r} is not allowed; allowed: {self.allowed}"
        )

    def below(self, parent: str) -> "Problem":
        """Returns the same problem with a longer path."""
        joint = "" if not self.field or self.field.startswith("[") else "."
        return attrs.evolve(self, field=f"{parent}{joint}{self.field}")


class ProblemsError(ValueError):
    """Carries problems out of cattrs hooks."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


class _Collector:
    """Runs steps and collects their problems instead of stopping."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def run(self, path: str, step: Callable[[], Any]) -> Any:
        try:
            return step()
        except ProblemsError as exc:
            self.problems += [p.below(path) for p in exc.problems]
        except checks.InvalidValueError as exc:
            self.problems.append(Problem(path, exc.value, exc.allowed))
        return None

    def check(self) -> None:
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
    conv: cattrs.Converter, field: "attrs.Attribute[Any]", value: Any
) -> Any:
    result = conv.structure(value, cast("type[Any]", field.type))
    if field.validator is not None:
        field.validator(None, field, result)
    return result


def _attrs_hook(conv: cattrs.Converter, cls: type) -> Callable[..., Any]:
    attrs.resolve_types(cls)
    fields = {f.name: f for f in attrs.fields(cls)}

    def structure(data: Any, _: type) -> Any:
        if not isinstance(data, Mapping):
            raise ProblemsError([Problem("", data, "a mapping")])
        collector = _Collector()
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
                functools.partial(_structure_field, conv, field, data[name]),
            )
            for name, field in fields.items()
            if name in data
        }
        collector.check()
        result = collector.run("", lambda: cls(**values))
        collector.check()
        return result

    return structure


def _tuple_hook(conv: cattrs.Converter, tp: Any) -> Callable[..., Any]:
    item_type = tp.__args__[0]

    def structure(data: Any, _: Any) -> Any:
        if not isinstance(data, (list, tuple)):
            raise ProblemsError([Problem("", data, "a list")])
        collector = _Collector()
        items = [
            collector.run(
                f"[{i}]", functools.partial(conv.structure, item, item_type)
            )
            for i, item in enumerate(data)
        ]
        collector.check()
        return tuple(items)

    return structure


def _structure_dict(data: Any, _: Any) -> dict[str, Any]:
    if not isinstance(data, Mapping):
        raise ProblemsError([Problem("", data, "a mapping")])
    collector = _Collector()
    collector.problems += [
        Problem("", k, "a string as key")
        for k in data
        if not isinstance(k, str)
    ]
    collector.check()
    return dict(data)


def _is_dict(tp: Any) -> bool:
    return tp == dict[str, Any]


def _is_tuple(tp: Any) -> bool:
    return getattr(tp, "__origin__", None) is tuple


def _make_converter() -> cattrs.Converter:
    # Not cattrs' `forbid_extra_keys`: its errors stop at the first fault of a
    # class and don't carry the bad value.
    conv = cattrs.Converter()
    for cls in _PRIMITIVES:
        conv.register_structure_hook(cls, _structure_primitive)
    conv.register_structure_hook_factory(
        attrs.has, lambda cls: _attrs_hook(conv, cls)
    )
    conv.register_structure_hook_factory(
        _is_tuple, lambda tp: _tuple_hook(conv, tp)
    )
    conv.register_structure_hook_func(_is_dict, _structure_dict)
    conv.register_unstructure_hook_factory(
        attrs.has, lambda cls: gen.make_dict_unstructure_fn(cls, conv)
    )
    return conv


_CONVERTER = _make_converter()


def structure(data: object, cls: type[T]) -> T | tuple[Problem, ...]:
    """Builds an attrs class from mappings, lists and scalars.

    Returns:
      The object, or all problems found.
    """
    try:
        return _CONVERTER.structure(data, cls)
    except ProblemsError as exc:
        return tuple(exc.problems)


def unstructure(value: object) -> Any:
    """Returns an attrs object as mappings, lists and scalars."""
    return _CONVERTER.unstructure(value)
