"""Reloads the settings file when it changes."""

import asyncio
from collections.abc import Callable
import os

import structlog

from hibiscuspass.settings import gateway as settings_lib
from hibiscuspass.settings import loader

_log = structlog.get_logger(__name__)

# The platform may change the file without a signal.
_INTERVAL_S = 2.0


class SettingsWatch:
    """Compares the file's modification time and loads it after a change."""

    def __init__(
        self,
        path: str | None,
        reload: Callable[[settings_lib.GatewaySettings], None],
    ) -> None:
        self._path = path
        self._reload = reload
        self._seen = self._stamp()

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if self._stamp() != self._seen:
                self.check_now()

    def check_now(self) -> None:
        """Loads the file; bad settings leave the old ones in force."""
        if self._path is None:
            _log.info("no settings file to reload")
            return
        self._seen = self._stamp()
        loaded = loader.load(self._path, settings_lib.GatewaySettings)
        if isinstance(loaded, loader.SettingsError):
            _log.error("settings not reloaded", problems=str(loaded))
            return
        self._reload(loaded)

    def _stamp(self) -> tuple[int, int] | None:
        if self._path is None:
            return None
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size
