"""Settings of the log output."""

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class LoggingSettings:
    """Level and format of the log.

    Attributes:
      level: Lowest severity that is written.
      format: `json` for one JSON object per line, `console` for readable text.
    """

    level: str = attrs.field(
        default="info",
        validator=checks.one_of("debug", "info", "warning", "error"),
    )
    format: str = attrs.field(
        default="json", validator=checks.one_of("json", "console")
    )
