"""Check that changes of the settings file are applied while a process runs."""

import pytest

from banyanshore.conf import load_settings
from banyanshore.daemon.reload import SettingsWatcher

TEXT = """\
role: loader
instance: side-1
data_centre: a
region: a
service: llm
target_address: 127.0.0.1:1
peers_bind: 127.0.0.1:2
peer_port: 2
seeds: [SEED]
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(TEXT.replace("SEED", "10.0.0.1:8000"))
    return path


def test_reload_is_called_only_for_changed_settings(path):
    reloaded = []
    watcher = SettingsWatcher(path, load_settings(path), reloaded.append)
    watcher.check()
    assert reloaded == []
    path.write_text(TEXT.replace("SEED", "10.0.0.2:8000"))
    watcher.check()
    watcher.check()
    assert [settings.seeds for settings in reloaded] == [("10.0.0.2:8000",)]


def test_unreadable_file_keeps_the_current_settings(path):
    reloaded = []
    watcher = SettingsWatcher(path, load_settings(path), reloaded.append)
    path.write_text("role: [")
    watcher.check()
    path.unlink()
    watcher.check()
    assert reloaded == []
    path.write_text(TEXT.replace("SEED", "10.0.0.3:8000"))
    watcher.check()
    assert len(reloaded) == 1
