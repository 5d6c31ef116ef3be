"""Identity of a process from one start to its end."""

import attrs


@attrs.frozen(order=True)
class Incarnation:
    """A process between one start and its end.

    Attributes:
      name: Configured name of the process, unique in the fleet.
      start_id: Random identifier generated at each start.
    """

    name: str
    start_id: str

    def __str__(self) -> str:
        return f"{self.name}/{self.start_id}"


def parse(text: str) -> Incarnation:
    """Parses the `name/start_id` form.

    Raises:
      ValueError: `text` does not contain exactly one slash between two
        non-empty parts.
    """
    name, slash, start_id = text.partition("/")
    if not (name and slash and start_id) or "/" in start_id:
        raise ValueError(f"incarnation {text!r}: expected 'name/start_id'")
    return Incarnation(name, start_id)
