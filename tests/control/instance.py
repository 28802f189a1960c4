"""Settings of a control instance in this process."""

import anyio

from banyanshore.conf.loader import parse_settings
from tests.http.raw import connect


def make_settings(folder, address, peers_bind, seeds=None, **options):
    """Return the settings of a control instance, by default the only one.

    :param folder: its data folder.
    :param options: settings that differ from the usual ones.
    """
    return parse_settings(
        {
            "role": "control",
            "instance": address,
            "data_centre": "a",
            "control_bind": address,
            "peers_bind": peers_bind,
            "peer_port": int(peers_bind.rpartition(":")[2]),
            "seeds": seeds or [address],
            "data_dir": str(folder),
            **options,
        }
    )


async def wait_until_listening(address, seconds=15.0):
    """Wait until an address accepts connections."""
    with anyio.fail_after(seconds):
        while True:
            try:
                async with await connect(address):
                    return
            except OSError:
                await anyio.sleep(0.02)


async def refuse(exchange):
    """Answer a call to an interface that the test doesn't use."""
    await exchange.respond(404)
