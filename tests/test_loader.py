"""Guards against accepting invalid settings and against unclear errors."""

import pytest
import yaml

from hibiscuspass.settings import admin
from hibiscuspass.settings import coordinator
from hibiscuspass.settings import ctl
from hibiscuspass.settings import loader
from hibiscuspass.settings import router
from hibiscuspass.settings import timeline

_ROUTER = {
    "process": {
        "name": "router-a",
        "address": "127.0.0.1",
        "failure_domain": "domain-a",
        "region": "north",
    },
    "listen": {"host": "127.0.0.1", "port": 8080},
    "peer_link": {"address": "127.0.0.1:9001", "fleet_key_file": "key"},
    "key_value": {"address": "http://127.0.0.1:2379"},
    "vm_list": {"address": "http://127.0.0.1:7000"},
}


@pytest.fixture
def load(tmp_path):
    def _load(data, cls=router.RouterSettings):
        path = tmp_path / "settings.yaml"
        text = data if isinstance(data, str) else yaml.safe_dump(data)
        path.write_text(text, encoding="utf-8")
        return loader.load(path, cls)

    return _load


def _changed(path, value):
    """Returns valid settings with one field replaced."""
    data = yaml.safe_load(yaml.safe_dump(_ROUTER))
    *parents, last = path.split(".")
    section = data
    for name in parents:
        section = section.setdefault(name, {})
    section[last] = value
    return data


def test_optional_sections_have_defaults(load):
    loaded = load(_ROUTER)
    assert isinstance(loaded, router.RouterSettings), str(loaded)
    assert loaded.logging.format == "json"
    assert loaded.listen.tls is None


@pytest.mark.parametrize(
    ("path", "value", "allowed"),
    [
        ("listen.port", 99999, "1 to 65535"),
        ("listen.port", True, "a whole number"),
        ("listen.port", "80", "a whole number"),
        ("listen.tls", {"certificate": "a"}, "required"),
        ("process.name", "A b", "a-z"),
        ("peer_link.address", "nowhere", "host:port"),
        ("key_value.address", "127.0.0.1:2379", "http://"),
        ("logging.level", "loud", "debug, info, warning, error"),
        ("logging.colour", "red", "one of the fields level, format"),
        ("models", {"name": "m"}, "a list"),
        ("models", [{"name": "m", "prompt_price": -1}], "0 to"),
        ("models", [{"name": "m"}, {"name": "m"}], "at most once"),
        ("retry", {"backoff_min_s": 5, "backoff_max_s": 1}, "at least"),
        ("shutdown_grace_s", float("nan"), "0.1 to 3600"),
    ],
)
def test_an_error_names_the_file_the_field_and_the_allowed_values(
    load, path, value, allowed
):
    error = load(_changed(path, value))
    assert isinstance(error, loader.SettingsError)
    assert path in str(error)
    assert "settings.yaml" in str(error)
    assert allowed in str(error)


def test_all_problems_of_a_file_are_reported_at_once(load):
    data = _changed("listen.port", 0)
    data["surplus"] = 1
    data["models"] = [{"name": ""}, {"prompt_price": "x"}]
    del data["vm_list"]
    error = load(data)
    assert isinstance(error, loader.SettingsError)
    assert {p.field for p in error.problems} == {
        "listen.port",
        "surplus",
        "vm_list",
        "models[0].name",
        "models[1].name",
        "models[1].prompt_price",
    }


@pytest.mark.parametrize(
    ("text", "allowed"),
    [
        ("a: [", "a YAML document"),
        ("- 1", "a mapping"),
        ("!!python/object/apply:os.getpid []", "a YAML document"),
    ],
)
def test_an_invalid_document_is_returned_as_an_error(load, text, allowed):
    error = load(text)
    assert isinstance(error, loader.SettingsError)
    assert allowed in str(error)


def test_a_missing_file_is_returned_as_an_error(tmp_path):
    error = loader.load(tmp_path / "absent.yaml", ctl.CtlSettings)
    assert isinstance(error, loader.SettingsError)
    assert "readable" in str(error)


@pytest.mark.parametrize(
    "cls",
    [
        admin.AdminSettings,
        coordinator.CoordinatorSettings,
        ctl.CtlSettings,
        timeline.TimelineSettings,
    ],
)
def test_an_empty_file_names_each_required_field(load, cls):
    error = load("", cls)
    assert isinstance(error, loader.SettingsError)
    assert all("required" in p.allowed for p in error.problems)
