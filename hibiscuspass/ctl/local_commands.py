"""Subcommands that don't call the administration API."""

from hibiscuspass.ctl import invoke
from hibiscuspass.settings import secrets


def keygen_fleet(file: str) -> int:
    """Creates a fleet key.

    Args:
      file: New file for the key; every process of the fleet needs a copy.
    """
    invoke.write_secret(
        invoke.create_secret_file(file), secrets.make_fleet_key()
    )
    return 0


def keygen_operator(name: str, file: str) -> int:
    """Creates an operator token and prints its entry for the settings.

    Args:
      name: Name of the operator.
      file: New file for the token.
    """
    token, stored = secrets.make_operator_token(name)
    invoke.write_secret(invoke.create_secret_file(file), token)
    # Quoted because YAML parses some hexadecimal strings as numbers.
    print(f'- name: "{stored.name}"')
    print(f'  salt: "{stored.salt}"')
    print(f'  digest: "{stored.digest}"')
    return 0


def check(*, settings: str = invoke.DEFAULT_SETTINGS) -> int:
    """Validates the settings file.

    Args:
      settings: Settings file of the command line.
    """
    invoke.load_settings(settings)
    print(f"{settings}: valid")
    return 0
