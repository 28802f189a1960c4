"""Check what processes import at their start, which consists mostly of that."""

import json
import subprocess
import sys

import pytest

from tests.daemon.documents import make_document

# Libraries for other roles, for files of other formats and for rare requests.
OTHER_LIBRARIES = {
    "absl",
    "httpx",
    "hypercorn",
    "opentelemetry",
    "prometheus_client",
    "yaml",
}
# Starts up to the point at which the process runs, and prints what was imported.
SCRIPT = """
import sys
from banyanshore.conf import load_settings
from banyanshore.daemon import run
from banyanshore.daemon.arguments import parse_settings_path
settings = load_settings(parse_settings_path(sys.argv))
run._FACTORY_BY_ROLE[settings.role](settings)
print(*{name.partition(".")[0] for name in sys.modules})
"""


@pytest.mark.parametrize("role", ["control", "gateway", "loader"])
def test_start_with_settings_in_json_imports_no_libraries_for_others(role, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(make_document(role, tmp_path)))
    command = [sys.executable, "-c", SCRIPT, "--settings", str(path)]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert set(output.split()) & OTHER_LIBRARIES == set()
