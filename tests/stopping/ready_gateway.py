"""Run the daemon as a gateway whose state and targets are already in place.

The arguments are the settings file, and a JSON file with the document of the desired
state and the addresses of the targets.
"""

import json
import sys
import time
from pathlib import Path

from banyanshore.daemon.signals import hold_signals


def put_in_place(gateway, document, targets):
    """Give a gateway its desired state and its targets."""
    from banyanshore.membership.registry import TargetRow
    from banyanshore.state import Fence, PublishedState
    from banyanshore.state.document import to_json
    from tests.gateway.deployment import keep_confirmed

    gateway.state.apply(PublishedState(1, Fence(1, 1), to_json(document)))
    keep_confirmed(gateway)
    for number, address in enumerate(targets):
        row = TargetRow(f"i-{number}", "s", address, "dc", "v1", 64, "ready", 0.0, 1, 1)
        gateway.registry.record(time.monotonic(), row)


def main():
    hold_signals()
    from banyanshore.daemon import run

    _, settings_path, situation_path = sys.argv
    situation = json.loads(Path(situation_path).read_text())
    make_gateway = run._FACTORY_BY_ROLE["gateway"]

    def make_ready_gateway(settings):
        gateway = make_gateway(settings)
        put_in_place(gateway, situation["document"], situation["targets"])
        return gateway

    run._FACTORY_BY_ROLE["gateway"] = make_ready_gateway
    run.main(["banyanshored", "--settings", settings_path])


if __name__ == "__main__":
    main()
