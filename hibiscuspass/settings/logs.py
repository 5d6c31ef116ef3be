"""Log output."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class LoggingSettings:
    """Level and format of the log.

    Attributes:
      level: Least severe level that is written.
      format: One JSON object per line, or text for people.
    """

    level: str = attrs.field(
        default="info",
        validator=checks.one_of("debug", "info", "warning", "error"),
    )
    format: str = attrs.field(
        default="json", validator=checks.one_of("json", "console")
    )
