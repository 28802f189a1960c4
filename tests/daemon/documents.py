"""Settings of a process of each role."""

from tests.ports import free_ports

ROLES = ["control", "gateway", "loader", "entry", "agent"]


def make_document(role, folder):
    """Return the settings of a process of a role that finds no others."""
    callers, peers, unused = (f"127.0.0.1:{port}" for port in free_ports(3))
    common = {"role": role, "instance": "i", "data_centre": "a", "peers_bind": peers}
    registered = {
        "region": "a",
        "peer_port": int(peers.rpartition(":")[2]),
        "seeds": [unused],
    }
    voter = {"instance": "i", "data_centre": "a", "address": peers, "voter": True}
    own = {
        "control": {
            **registered,
            "control_bind": callers,
            "data_dir": str(folder / "data"),
        },
        "gateway": {
            **registered,
            "callers_bind": callers,
            "ready_bind": f"127.0.0.1:{free_ports(1)[0]}",
            "regions": {"a": "a"},
        },
        "loader": {**registered, "service": "s", "target_address": unused},
        "entry": {
            "callers_bind": callers,
            "entries": [voter],
            "data_dir": str(folder / "data"),
        },
        "agent": {
            "service": "s",
            "entries": [{**voter, "instance": "entry-1", "address": unused}],
            "engine": {"url": f"http://{callers}", "kind": "plain"},
        },
    }
    return {**common, **own[role]}
