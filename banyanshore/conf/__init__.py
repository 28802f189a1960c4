"""Define, load and check the settings of each role."""

from banyanshore.conf.checks import CheckMessage, SettingsError
from banyanshore.conf.loader import load_settings, parse_settings
from banyanshore.conf.settings import (
    AgentSettings,
    EngineSettings,
    EntryPeer,
    EntrySettings,
)

__all__ = [
    "AgentSettings",
    "CheckMessage",
    "EngineSettings",
    "EntryPeer",
    "EntrySettings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
