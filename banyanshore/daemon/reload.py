"""Take changes of the settings file while the process runs."""

import logging
from pathlib import Path

import anyio

from banyanshore.conf import SettingsError, load_settings

logger = logging.getLogger(__name__)

# Seconds between looks at the settings file, which may change without a signal.
LOOK_INTERVAL = 1.0


class SettingsWatcher:
    """Hand changed settings to a process.

    :param path: path of the settings file.
    :param settings: the settings in use.
    :param reload: callable given changed settings, or ``None`` where a process can't
        take them.
    """

    def __init__(self, path, settings, reload):
        self._path = path
        self._settings = settings
        self._reload = reload
        self._content = None

    @property
    def can_reload(self):
        """Tell whether the process takes changed settings."""
        return self._reload is not None

    async def run(self):
        """Look at the file at intervals until cancelled."""
        while True:
            await anyio.sleep(LOOK_INTERVAL)
            self.check()

    def check(self):
        """Take the settings in the file if they have changed."""
        if self._reload is None:
            logger.warning("this role takes changed settings only at its start")
            return
        content = self._read()
        if content == self._content:
            return
        self._content = content
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            # A file that is being written is read again once it has changed.
            logger.error("settings not taken", extra={"why": error.message})
            return
        if settings == self._settings:
            return
        logger.info("settings reloaded", extra={"path": self._path})
        self._settings = settings
        self._reload(settings)

    def _read(self):
        """Return the bytes of the file, ``None`` if it can't be read."""
        try:
            return Path(self._path).read_bytes()
        except OSError:
            return None
