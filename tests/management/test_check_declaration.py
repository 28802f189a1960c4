"""Tests of the command that checks a declaration before it is sent."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from banyanshore.management.__main__ import run
from banyanshore.management.base import ExitCode
from banyanshore.management.declaration_files import MAX_DECLARATION_BYTES

DECLARATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "hostname": "a.example",
            "pathPrefix": "/x/",
            "routeType": "streaming",
            "timeoutMs": 6000,
            "sloMs": 500,
            "backend": "llm",
        }
    ],
    "backends": [{"name": "llm", "healthPath": "/healthz", "maxConns": 51}],
    "limits": {},
    "tenants": [{"name": "w", "apiKeys": ["secret"]}],
}


def check(capsys, path, *flags):
    """Run the command; return its exit code and the JSON that it prints."""
    code = run(["banyanshore", "check-declaration", str(path), "--json", *flags])
    printed = capsys.readouterr()
    return code, json.loads(printed.out) if printed.out else printed.err


@pytest.fixture
def write(tmp_path):
    def write_file(content):
        path = tmp_path / "declaration.json"
        text = content if isinstance(content, bytes) else json.dumps(content).encode()
        path.write_bytes(text)
        return path

    return write_file


@pytest.fixture
def control():
    """Serve :data:`DECLARATION` as a control instance does; yield its URL."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            body = json.dumps(DECLARATION).encode()
            self.send_response(200)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    server = HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def test_sound_declaration_passes(capsys, write):
    code, printed = check(capsys, write(DECLARATION))
    assert code == ExitCode.OK
    assert printed == {"findings": [], "differences": []}


@pytest.mark.parametrize("tenants", [{"tenants": []}, {}])
def test_declaration_that_takes_the_last_key_away_is_reported(
    capsys, write, control, tenants
):
    """It was said to admit all requests."""
    declared = {key: DECLARATION[key] for key in DECLARATION if key != "tenants"}
    path = write({**declared, "version": 8, **tenants})
    code, printed = check(capsys, path, f"--control={control}")
    assert code == ExitCode.OK
    (finding,) = printed["findings"]
    assert finding["id"] == "route-admits-nobody"
    (removed,) = [row for row in printed["differences"] if "work" in row["place"]]
    assert removed["place"] == "workspaces.w"
    assert "401" in removed["effect"]


def test_refused_declaration_is_reported_with_its_place(capsys, write):
    route = {**DECLARATION["routes"][0], "timeoutMs": 0}
    code, printed = check(capsys, write({**DECLARATION, "routes": [route]}))
    assert code == ExitCode.INVALID
    (finding,) = printed["findings"]
    assert finding["level"] == "error"
    assert finding["place"].startswith("routes.")


@pytest.mark.parametrize(
    "content",
    [
        {**DECLARATION, "tenants": [{"name": "w", "apiKeys": ["secret", 5]}]},
        {**DECLARATION, "tenants": [{"name": "w", "apiKeys": "secret"}]},
        {"workspaces": {"w": {"keys": "secret"}}},
    ],
    ids=["list", "text", "patch"],
)
def test_refused_keys_are_not_printed(capsys, write, content):
    code, printed = check(capsys, write(content))
    assert code == ExitCode.INVALID
    assert printed["findings"][0]["place"].lower().endswith("keys")
    assert "secret" not in json.dumps(printed)


@pytest.mark.parametrize(
    "workspaces",
    [{"w": {"apiKeys": ["secret"]}}, {"w": ["secret"]}, ["secret"]],
    ids=["name", "row", "table"],
)
def test_keys_in_a_wrong_place_are_not_printed(capsys, write, workspaces):
    code, printed = check(capsys, write({"workspaces": workspaces}))
    assert code == ExitCode.INVALID
    assert printed["findings"][0]["place"].startswith("workspaces")
    assert "secret" not in json.dumps(printed)


def test_names_that_occur_twice_are_found_with_their_place(capsys, write):
    """The last one counts, and the rows of the first vanished without a word."""
    text = json.dumps(DECLARATION)
    text = text.replace('"sloMs": 500', '"sloMs": 400, "sloMs": 500')
    code, printed = check(capsys, write(f'{{"tenants": [], {text[1:]}'.encode()))
    assert code == ExitCode.OK
    found = {(row["id"], row["place"]) for row in printed["findings"]}
    assert found == {
        ("name-repeated", "tenants"),
        ("name-repeated", "routes.0.sloMs"),
    }


def test_warnings_fail_only_if_strict(capsys, write):
    backends = [*DECLARATION["backends"], {"name": "other"}]
    path = write({**DECLARATION, "backends": backends})
    code, printed = check(capsys, path)
    assert code == ExitCode.OK
    assert [row["id"] for row in printed["findings"]] == ["service-unused"]
    assert check(capsys, path, "--strict")[0] == ExitCode.INVALID


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        json.dumps(DECLARATION).encode()[:200],
        b"\xff\xfe",
        b"[" * 100_000,
        b" " * (MAX_DECLARATION_BYTES + 1),
    ],
    ids=["empty", "list", "cut-off", "not-text", "deep", "oversized"],
)
def test_unreadable_file_gets_a_clear_error(capsys, write, content):
    path = write(content)
    code, message = check(capsys, path)
    assert code == ExitCode.INVALID
    assert str(path) in message


def test_missing_file_is_wrong_usage(capsys, tmp_path):
    assert check(capsys, tmp_path / "none.json")[0] == ExitCode.USAGE


def test_differences_from_control_are_reported(capsys, write, control):
    code, printed = check(
        capsys, write({**DECLARATION, "routes": []}), "--control", control
    )
    assert code == ExitCode.OK
    (row,) = printed["differences"]
    assert row["change"] == "removed"
    assert row["place"] == "routes.a.example/x/"
    assert "404" in row["effect"]


@pytest.mark.parametrize(
    ("changes", "ids"),
    [
        ({"version": 6, "routes": []}, ["version-not-higher"]),
        ({"version": 6}, ["version-not-higher"]),
        ({"routes": []}, ["version-not-higher"]),
        ({"version": 8, "routes": []}, []),
        ({}, []),
    ],
    ids=["lower", "lower-and-equal", "same-number", "higher", "in-force"],
)
def test_declaration_that_would_change_nothing_is_found(
    capsys, write, control, changes, ids
):
    """It is acknowledged, and its differences never come into force."""
    path = write({**DECLARATION, **changes})
    code, printed = check(capsys, path, "--control", control)
    assert code == ExitCode.OK
    found = [row["id"] for row in printed["findings"] if row["place"] == "version"]
    assert found == ids


def test_patch_of_the_declaration_in_force_has_no_number(capsys, write, control):
    path = write({"routes": {"a.example/x/": {"timeout_seconds": 5.0}}})
    code, printed = check(capsys, path, "--control", control)
    assert (code, printed["findings"]) == (ExitCode.OK, [])
    assert printed["differences"][0]["place"] == "routes.a.example/x/"


def test_unreachable_control_has_an_exit_code_of_its_own(capsys, write):
    flags = ("--control", "http://127.0.0.1:1")
    assert check(capsys, write(DECLARATION), *flags)[0] == ExitCode.UNREACHABLE


def test_patch_in_the_products_format_is_checked(capsys, write):
    patch = {"services": {"chat": {"kind": "model", "model": "none"}}}
    code, printed = check(capsys, write(patch))
    assert code == ExitCode.INVALID
    assert printed["findings"][0]["place"] == "services.chat.model"


def test_regions_are_checked_against_the_settings_of_a_gateway(capsys, write, tmp_path):
    settings = tmp_path / "gateway.yaml"
    settings.write_text(
        "role: gateway\ninstance: g\ndata_centre: north-a\nregion: north\n"
        "callers_bind: 127.0.0.1:1001\nready_bind: 127.0.0.1:1002\n"
        "peers_bind: 127.0.0.1:1003\npeer_port: 1003\nseeds: []\n"
        "regions: {north-a: north}\n"
    )
    route = {**DECLARATION["routes"][0], "allowedRegions": ["south"]}
    path = write({**DECLARATION, "routes": [route]})
    code, printed = check(capsys, path, "--settings", str(settings))
    assert code == ExitCode.OK
    assert "region-without-targets" in [row["id"] for row in printed["findings"]]
