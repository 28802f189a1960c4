"""Check that all problems in settings are reported and prevent a start."""

import json
import re
import socket
import subprocess
import sys

import pytest
import yaml

from banyanshore.conf import SettingsError, load_settings, parse_settings
from banyanshore.management.__main__ import run
from docs.build_settings import PATH, build

ENTRY = {
    "role": "entry",
    "instance": "entry-1",
    "data_centre": "a",
    "callers_bind": "127.0.0.1:18001",
    "peers_bind": "127.0.0.1:17001",
    "data_dir": "data",
    "entries": [
        {
            "instance": "entry-1",
            "data_centre": "a",
            "address": "127.0.0.1:17001",
            "voter": True,
        }
    ],
}


def check_ids_by_key(document):
    with pytest.raises(SettingsError) as info:
        parse_settings(document)
    return {message.key_path: message.id for message in info.value.messages}


def test_valid_settings_get_defaults():
    settings = parse_settings(ENTRY)
    assert settings.routing.max_attempts == 4
    assert settings.entries[0].voter


def test_all_problems_are_reported_at_once():
    document = {
        **ENTRY,
        "callers_bind": "localhost:80",
        "log_level": "loud",
        "nonsense": 1,
        "consensus": {"election_timeout": "soon", "heartbeat_interval": -1},
        "entries": [{"instance": 3}],
    }
    del document["data_centre"]
    assert check_ids_by_key(document) == {
        "callers_bind": "banyanshore.E005",
        "log_level": "banyanshore.E012",
        "nonsense": "banyanshore.E003",
        "consensus.election_timeout": "banyanshore.E002",
        "consensus.heartbeat_interval": "banyanshore.E013",
        "entries.0.instance": "banyanshore.E002",
        "entries.0.data_centre": "banyanshore.E004",
        "entries.0.address": "banyanshore.E004",
        "data_centre": "banyanshore.E004",
    }


@pytest.mark.parametrize(
    ("change", "key", "check"),
    [
        ({"role": "queen"}, "role", "E001"),
        ({"instance": "entry-9"}, "instance", "E009"),
        ({"data_dir": ""}, "data_dir", "E010"),
        ({"entries": ENTRY["entries"] * 2}, "entries.1.instance", "E007"),
        ({"entries": [{**ENTRY["entries"][0], "voter": False}]}, "entries", "E008"),
        ({"stop_timeout": float("nan")}, "stop_timeout", "E013"),
    ],
)
def test_problem_is_reported_with_its_key(change, key, check):
    assert check_ids_by_key({**ENTRY, **change}) == {key: f"banyanshore.{check}"}


@pytest.mark.parametrize("content", ["- a", "a: [", "", "\xff"])
def test_file_without_a_mapping_is_rejected(tmp_path, content):
    path = tmp_path / "settings.yaml"
    path.write_text(content, encoding="latin-1")
    with pytest.raises(SettingsError):
        load_settings(path)


def run_daemon(path):
    return subprocess.run(
        [sys.executable, "-m", "banyanshore.daemon", "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


def test_daemon_reports_bad_settings_without_a_traceback(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump({**ENTRY, "nonsense": 1}))
    completed = run_daemon(path)
    assert completed.returncode == 2
    assert "nonsense" in completed.stderr
    assert "Traceback" not in completed.stderr
    missing = run_daemon(tmp_path / "missing.yaml")
    assert missing.returncode == 2
    assert "No such file" in missing.stderr


@pytest.mark.parametrize("key", ["callers_bind", "peers_bind"])
def test_port_in_use_is_reported_without_a_traceback(tmp_path, key):
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        port = listening.getsockname()[1]
        path = tmp_path / "settings.yaml"
        document = {
            **ENTRY,
            "data_dir": str(tmp_path / "data"),
            "callers_bind": "127.0.0.1:0",
            "peers_bind": "127.0.0.1:0",
            key: f"127.0.0.1:{port}",
        }
        path.write_text(yaml.safe_dump(document))
        completed = run_daemon(path)
    assert completed.returncode == 1
    assert re.search(rf"can't listen on 127.0.0.1:{port}", completed.stderr)
    assert "Traceback" not in completed.stderr


def test_check_command_prints_problems_and_fails(tmp_path, capsys):
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump({**ENTRY, "nonsense": 1}))
    assert run(["banyanshore", "check", str(path)]) == 8
    assert "banyanshore.E003" in capsys.readouterr().out
    path.write_text(yaml.safe_dump(ENTRY))
    assert run(["banyanshore", "check", str(path)]) == 0


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["status", "--entry=http://127.0.0.1:9"], 6),
        (["status", "--entry=nonsense"], 6),
        (["patch", "{}"], 2),
        (["patch", "missing.json", "--version=1"], 8),
        (["patch", "{", "--version=1"], 8),
        (["patch", "{}", "--version=x"], 2),
        (["data-centre", "away", "x"], 2),
        (["rollout", "m"], 2),
        (["nonsense"], 2),
        ([], 2),
        (["status", "extra"], 2),
    ],
)
def test_command_line_error_sets_the_exit_code_without_a_traceback(
    arguments, code, capsys
):
    assert run(["banyanshore", *arguments]) == code
    captured = capsys.readouterr()
    assert "Traceback" not in captured.err


@pytest.mark.parametrize(
    "name", ["check", "data-centre", "get", "patch", "rollout", "status"]
)
def test_each_command_has_help(name, capsys):
    assert run(["banyanshore", name, "--help"]) == 0
    assert "usage: banyanshore" in capsys.readouterr().out


def test_settings_reference_page_is_up_to_date():
    assert PATH.read_text() == build()


@pytest.mark.parametrize("name", ["settings.yaml", "settings.json"])
def test_settings_are_read_from_yaml_and_json(name, tmp_path):
    path = tmp_path / name
    dump = json.dumps if name.endswith("json") else yaml.safe_dump
    path.write_text(dump(ENTRY))
    assert load_settings(path) == parse_settings(ENTRY)


def test_text_that_is_neither_yaml_nor_json_is_reported(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text('{"role": "entry",, }')
    with pytest.raises(SettingsError, match=r"banyanshore\.E011"):
        load_settings(path)
