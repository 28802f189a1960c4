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


def test_reload_that_raises_is_logged_and_tried_again(path, caplog):
    """It ended the task group of the process."""
    raised = []

    def reload(settings):
        raised.append(settings)
        if len(raised) == 1:
            raise AttributeError("seeds")

    watcher = SettingsWatcher(path, load_settings(path), reload)
    path.write_text(TEXT.replace("SEED", "10.0.0.2:8000"))
    watcher.check()
    (record,) = caplog.records
    assert record.message == "settings not taken"
    assert record.why == "AttributeError('seeds')"
    assert record.exc_info
    watcher.check()
    watcher.check()
    assert len(raised) == 2


def test_missing_file_is_logged_at_each_signal(path, caplog):
    """Nothing was logged if it vanished before the first check."""
    watcher = SettingsWatcher(path, load_settings(path), print)
    path.unlink()
    watcher.check()
    watcher.check()
    messages = [record.message for record in caplog.records]
    assert messages == ["settings not taken"] * 2
