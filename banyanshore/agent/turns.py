"""The turns of one target: asked for, renewed, and given back through an entry."""

import logging
import time

import anyio

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.state.rollouts import LoadPermitStatus, SlotRequest

logger = logging.getLogger(__name__)

# Seconds between attempts to get a turn, and to give it back.
RETRY_SECONDS = 0.5
REPORT_ATTEMPTS = 10
# Seconds after which a turn ends by itself, so that an instance that dies with one
# doesn't hold the others up for long, and seconds between renewals.
SLOT_SECONDS = 45.0
SLOT_RENEWAL_SECONDS = 12.0
# Vain attempts to get a turn after which there is taken to be no quorum.
FAILURES_WITHOUT_QUORUM = 5
# Seconds to wait for an answer about a turn.
SLOT_TIMEOUT = 3.0


class Turns:
    """Ask for turns to load a version, see :mod:`banyanshore.state.rollouts`.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param ask_entry: async callable that sends a call to an entry.
    :param is_serving: callable that tells whether the target serves a version.
    """

    def __init__(self, settings, ask_entry, is_serving):
        self._settings = settings
        self._ask_entry = ask_entry
        self._is_serving = is_serving
        #: Incarnation of the target, which the order to load will be for.
        self.target = ""

    async def wait(self, spec):
        """Wait for a turn and return its fencing number.

        Without a quorum, a target that serves nothing needs none to get back to the
        version that is in force here: a data centre that is cut off serves on.
        """
        failures = 0
        while True:
            try:
                reply = await self._ask(spec, LoadPermitStatus.WANTED)
                if reply.granted:
                    return (reply.fence.term, reply.fence.index)
                logger.info("waiting for a turn: %s", reply.detail)
            except BanyanshoreError as error:
                failures += 1
                logger.warning("no turn: %s", error)
                if failures >= FAILURES_WITHOUT_QUORUM and not self._is_serving():
                    return (0, 0)
            await anyio.sleep(RETRY_SECONDS)

    async def renew_forever(self, spec):
        """Renew a turn until cancelled."""
        while True:
            await anyio.sleep(SLOT_RENEWAL_SECONDS)
            try:
                await self._ask(spec, LoadPermitStatus.WANTED)
            except BanyanshoreError as error:
                logger.warning("turn not renewed: %s", error)

    async def report(self, spec, status):
        """Give a turn back and tell what came of it."""
        for _ in range(REPORT_ATTEMPTS):
            try:
                await self._ask(spec, status)
                return
            except BanyanshoreError as error:
                logger.warning("turn not given back: %s", error)
                await anyio.sleep(RETRY_SECONDS)

    async def find_open_order(self, spec, deadline):
        """Return the order that the log knows of, ``None`` if there is none.

        Without a quorum it can't be known, and ``None`` is returned at the deadline.
        """
        while time.monotonic() < deadline:
            try:
                reply = await self._ask(spec, LoadPermitStatus.ASKED)
                return reply.open_order
            except BanyanshoreError as error:
                logger.warning("open orders not known: %s", error)
                await anyio.sleep(RETRY_SECONDS)
        return None

    async def _ask(self, spec, status):
        request = SlotRequest(
            spec.name,
            spec.version,
            self._settings.instance,
            self._settings.data_centre,
            self._settings.service,
            status,
            self._is_serving(),
            SLOT_SECONDS,
            self.target,
        )
        return await self._ask_entry(request, SLOT_TIMEOUT)
