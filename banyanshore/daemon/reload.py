"""Reload the settings file while the process runs."""

import logging
from pathlib import Path

import anyio

from banyanshore.conf import SettingsError, load_settings

logger = logging.getLogger(__name__)

# Seconds between checks of the settings file, which may change without a signal.
CHECK_INTERVAL = 1.0


class SettingsWatcher:
    """Watch the settings file and pass changed settings to the process.

    :param path: path of the settings file.
    :param settings: the settings in use.
    :param reload: callable that applies changed settings, or ``None`` if the process
        can't apply them while it runs.
    """

    def __init__(self, path, settings, reload):
        self._path = path
        self._settings = settings
        self._reload = reload
        self._content = None

    @property
    def can_reload(self):
        """Return whether the process can apply changed settings while it runs."""
        return self._reload is not None

    async def run(self):
        """Check the file periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self.check()

    def check(self):
        """Apply the settings in the file if they have changed."""
        if self._reload is None:
            logger.warning("this role applies changed settings only after a restart")
            return
        content = self._read()
        if content == self._content:
            return
        self._content = content
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            # A partially written file is read again once its content changes.
            logger.error("settings not taken", extra={"why": error.message})
            return
        if settings == self._settings:
            return
        logger.info("settings reloaded", extra={"path": self._path})
        self._settings = settings
        self._reload(settings)

    def _read(self):
        """Return the content of the file, or ``None`` if it can't be read."""
        try:
            return Path(self._path).read_bytes()
        except OSError:
            return None
