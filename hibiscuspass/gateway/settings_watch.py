"""Reloads the settings file after a change."""

import asyncio
from collections.abc import Callable
import os

import structlog

from hibiscuspass.settings import gateway as settings_lib
from hibiscuspass.settings import loader

_log = structlog.get_logger(__name__)

# The platform may change the file without sending SIGHUP.
_INTERVAL_S = 2.0


class SettingsWatch:
    """Loads the settings file when its modification time or size changes."""

    def __init__(
        self,
        path: str | None,
        reload: Callable[[settings_lib.GatewaySettings], None],
    ) -> None:
        self._path = path
        self._reload = reload
        self._loaded_stamp = self._read_stamp()

    async def run(self) -> None:
        """Watches the file until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            if self._read_stamp() != self._loaded_stamp:
                self.load_now()

    def load_now(self) -> None:
        """Loads the file; if it is invalid, the old settings stay in use."""
        if self._path is None:
            _log.info("no settings file to reload")
            return
        self._loaded_stamp = self._read_stamp()
        loaded = loader.load(self._path, settings_lib.GatewaySettings)
        if isinstance(loaded, loader.SettingsError):
            _log.error("settings not reloaded", problems=str(loaded))
            return
        self._reload(loaded)

    def _read_stamp(self) -> tuple[int, int] | None:
        if self._path is None:
            return None
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size
