"""Local orders, which apply to one data centre while no quorum can be reached.

The only local order takes the data centre out of service. It can't be revoked locally:
it is merged into the desired state as soon as a quorum accepts that, and from then on
only a patch brings the data centre back. Orders are numbered, so that an entry that
receives one from a sibling after it was merged doesn't apply it again.
"""

import json
import logging
import time
from pathlib import Path

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.files import replace_file
from banyanshore.state import PatchCommand, PatchStatus
from banyanshore.state.commands import UNCONDITIONAL

logger = logging.getLogger(__name__)


class LocalOrders:
    """The local order of this data centre.

    :param data_centre: name of this data centre.
    :param data_dir: folder that stores the order across restarts, empty for none.
    """

    def __init__(self, data_centre, data_dir=""):
        self._data_centre = data_centre
        self._path = Path(data_dir) / "local-order" if data_dir else None
        self.number = 0
        self._merged_number = 0
        self._merged_version = 0
        self._load()

    @property
    def is_out_of_service(self):
        """Return whether a local order takes this data centre out of service."""
        return self.number > 0

    def take_out_of_service(self):
        """Give the order to take the data centre out of service; return its number."""
        self._store(time.time_ns())
        logger.warning(
            "local order takes data centre %s out of service", self._data_centre
        )
        return self.number

    def on_entry_digest(self, digest):
        """Adopt the local order in a sibling's digest, if it is new."""
        if digest.local_out > max(self.number, self._merged_number):
            logger.warning("adopted the local order of %s", digest.instance)
            self._store(digest.local_out)

    async def merge(self, client, state_version):
        """Merge the order into the desired state, if a quorum can be reached.

        :param client: the :class:`~banyanshore.entry.state_client.StateClient`.
        :param state_version: version of the desired state in force at this entry.
        """
        if not self.is_out_of_service:
            return
        number = self.number
        if number != self._merged_number:
            if not await self._propose(client, number):
                return
            self._merged_number = number
        # The order applies until the merged version is in force at this entry.
        if state_version >= self._merged_version and self.number == number:
            self._store(0)

    async def _propose(self, client, number):
        patch = {
            "data_centres": {
                self._data_centre: {"in_service": False, "reason": "local order"}
            }
        }
        command = PatchCommand(
            f"local-order-{self._data_centre}-{number}",
            UNCONDITIONAL,
            json.dumps(patch).encode(),
            time.time(),
            "local-order",
        )
        try:
            outcome = await client.propose(command)
        except BanyanshoreError:
            return False
        logger.info("local order merged in version %d", outcome.version)
        self._merged_version = outcome.version
        return outcome.status == PatchStatus.ACCEPTED

    def _store(self, number):
        self.number = number
        if self._path is None:
            return
        try:
            replace_file(self._path, [str(number).encode("ascii")])
        except OSError as error:
            # The order still applies, and siblings send it again after a restart.
            logger.error(
                "cannot store the local order in %s, a restart may lose it: %s",
                self._path,
                error,
            )

    def _load(self):
        if self._path is None:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.number = int(self._path.read_text(encoding="ascii"))
        except (FileNotFoundError, ValueError):
            self.number = 0
