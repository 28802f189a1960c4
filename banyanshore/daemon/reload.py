"""Reload the settings file while the process runs."""

import dataclasses
import logging
import stat
from pathlib import Path

import anyio

from banyanshore.conf import load_settings
from banyanshore.core.exceptions import BanyanshoreError

logger = logging.getLogger(__name__)

# Seconds between checks of the settings file, which may change without a signal.
CHECK_INTERVAL = 1.0
# Size in bytes above which a file isn't read: nothing else runs while it is parsed.
MAX_FILE_BYTES = 65_536
# Settings that a process applies while it runs.
RELOADED_SETTINGS = frozenset({"seeds"})
# Settings that tell for which process a file is meant.
IDENTITY_SETTINGS = ("role", "instance")


class NotTakenError(BanyanshoreError):
    """Signal a settings file that can't apply to the running process."""


class SettingsWatcher:
    """Watch the settings file and pass changed settings to the process.

    Requests are in flight, so whatever fails is logged with its reason, and the
    settings in use stay.

    :param path: path of the settings file.
    :param settings: the settings in use.
    :param reload: callable that applies changed settings, or ``None`` if the process
        can't apply them while it runs.
    """

    def __init__(self, path, settings, reload):
        self._path = path
        self._settings = settings
        self._reload = reload
        # The last content, or the last reason why it couldn't be read.
        self._seen = None

    @property
    def can_reload(self):
        """Return whether the process can apply changed settings while it runs."""
        return self._reload is not None

    async def run(self):
        """Check the file periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            if self._has_changed():
                self.check()

    def check(self):
        """Apply the settings in the file if they differ from those in use."""
        if self._reload is None:
            logger.warning("this role applies changed settings only after a restart")
            return
        self._has_changed()
        try:
            self._apply(self._load())
        except (BanyanshoreError, OSError) as error:
            # A partially written file is read again once its content changes.
            reason = getattr(error, "message", str(error))
            logger.error("settings not taken", extra={"why": reason})
        except Exception as error:
            logger.exception("settings not taken", extra={"why": repr(error)})

    def _has_changed(self):
        """Note the content of the file; return whether it differs from the last one."""
        try:
            seen = read_content(self._path)
        except (NotTakenError, OSError) as error:
            seen = str(error)
        has_changed = seen != self._seen
        self._seen = seen
        return has_changed

    def _load(self):
        read_content(self._path)
        settings = load_settings(self._path)
        check_identity(self._settings, settings)
        return settings

    def _apply(self, settings):
        changed = changed_names(self._settings, settings)
        reloaded = sorted(changed & RELOADED_SETTINGS)
        if reloaded:
            self._reload(settings)
            extra = {"path": self._path, "changed": reloaded}
            logger.info("settings reloaded", extra=extra)
        self._settings = settings
        others = sorted(changed - RELOADED_SETTINGS)
        if others:
            logger.warning("settings need a restart", extra={"changed": others})


def read_content(path):
    """Return the content of a settings file.

    :raises NotTakenError: it isn't a file, or it is too large.
    :raises OSError: it can't be read.
    """
    path = Path(path)
    status = path.stat()
    # The read of a pipe would wait for its writer.
    if not stat.S_ISREG(status.st_mode):
        raise NotTakenError(f"{path} isn't a regular file")
    if status.st_size > MAX_FILE_BYTES:
        raise NotTakenError(
            f"{path} has {status.st_size} bytes, expected up to {MAX_FILE_BYTES}"
        )
    return path.read_bytes()


def check_identity(current, settings):
    """Check that settings are meant for the process that uses the current ones.

    :raises NotTakenError: they are for another process.
    """
    for name in IDENTITY_SETTINGS:
        expected, found = getattr(current, name), getattr(settings, name)
        if expected != found:
            raise NotTakenError(f"{name} is {found!r}, expected {expected!r}")


def changed_names(current, settings):
    """Return the names of the settings that differ, of the same role."""
    names = {field.name for field in dataclasses.fields(settings)}
    return {n for n in names if getattr(current, n) != getattr(settings, n)}
