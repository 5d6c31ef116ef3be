"""Guards against accepting wrong keys and against storing secrets as text."""

import attrs
import pytest

from hibiscuspass.core.configuration import workspace as workspace_lib
from hibiscuspass.settings import secrets


def test_a_key_is_valid_only_for_its_own_workspace():
    text, stored = secrets.make_access_key("bakery")
    other_text, _ = secrets.make_access_key("bakery")
    ws = workspace_lib.Workspace("bakery", access_keys=(stored,))
    presented = secrets.parse_access_key(text)
    other = secrets.parse_access_key(other_text)
    assert secrets.is_valid_access_key(ws, presented)
    assert not secrets.is_valid_access_key(ws, other)
    assert not secrets.is_valid_access_key(None, presented)
    assert secrets.workspace_of_key_id(presented.key_id) == "bakery"
    mixed = secrets.PresentedKey(presented.key_id, other.secret)
    assert not secrets.is_valid_access_key(ws, mixed)


def test_the_stored_form_does_not_contain_the_secret():
    text, stored = secrets.make_access_key("bakery")
    secret = secrets.parse_access_key(text).secret
    assert secret not in str(attrs.asdict(stored))
    assert secret not in repr(secrets.parse_access_key(text))


@pytest.mark.parametrize("text", ["", "hp", "hp.a.b", "xx.a.b.c", "hp.a..c"])
def test_malformed_keys_are_rejected(text):
    assert secrets.parse_access_key(text) is None


def test_an_operator_is_found_by_token_only():
    token, stored = secrets.make_operator_token("ines")
    _, other = secrets.make_operator_token("ana")
    assert secrets.find_operator((other, stored), token) == "ines"
    assert secrets.find_operator((other,), token) is None
    assert secrets.find_operator((other, stored), stored.digest) is None


@pytest.mark.parametrize("text", ["ab", "zz" * 32, ""])
def test_an_invalid_fleet_key_is_rejected_without_quoting_it(tmp_path, text):
    path = tmp_path / "fleet.key"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"fleet\.key") as error:
        secrets.read_fleet_key(path)
    assert not text or text not in str(error.value).replace(str(path), "")


def test_a_generated_fleet_key_can_be_read(tmp_path):
    path = tmp_path / "fleet.key"
    path.write_text(secrets.make_fleet_key() + "\n")
    assert len(secrets.read_fleet_key(path)) == 32
