"""Request, renew and release the load permit of one target through an entry."""

import logging
import math
import time

import anyio

from banyanshore.core.clock import boottime_now
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.state.rollouts import LoadPermitRequest, LoadPermitStatus

logger = logging.getLogger(__name__)

# Seconds between attempts to get a permit or to release it, and attempts to release it.
RETRY_SECONDS = 0.5
REPORT_ATTEMPTS = 10
# Seconds after which a permit expires, so that an instance that dies with one doesn't
# block the others for long, and seconds between renewals.
PERMIT_SECONDS = 45.0
PERMIT_RENEWAL_SECONDS = 12.0
# Failed requests for a permit after which the quorum counts as lost.
FAILURES_WITHOUT_QUORUM = 5
# Timeout of a request for a permit, in seconds.
PERMIT_TIMEOUT = 3.0


class LoadPermits:
    """Request permits to load a version, see :mod:`banyanshore.state.rollouts`.

    :param settings: the :class:`~banyanshore.conf.AgentSettings`.
    :param call_entry: async callable that sends a call to an entry.
    :param is_serving: callable that returns whether the target serves a version.
    """

    def __init__(self, settings, call_entry, is_serving):
        self._settings = settings
        self._call_entry = call_entry
        self._is_serving = is_serving
        #: Incarnation of the target that will receive the load order.
        self.target_incarnation = ""
        # Time at which the permit expires, ``inf`` without one.
        self._expires_at = math.inf

    def has_expired(self):
        """Return whether the permit has expired, so that others may hold it now."""
        return boottime_now() >= self._expires_at

    async def acquire(self, spec):
        """Wait for a permit and return its fencing number.

        Without a quorum, a target that serves nothing needs no permit to load the
        version in force here, so that a data centre that is cut off can serve.
        """
        failures = 0
        while True:
            try:
                reply = await self._request(spec, LoadPermitStatus.WANTED)
                if reply.granted:
                    return (reply.fence.term, reply.fence.index)
                logger.info("waiting for a load permit: %s", reply.detail)
            except BanyanshoreError as error:
                failures += 1
                logger.warning("request for a load permit failed: %s", error)
                if failures >= FAILURES_WITHOUT_QUORUM and not self._is_serving():
                    self._expires_at = math.inf
                    return (0, 0)
            await anyio.sleep(RETRY_SECONDS)

    async def renew_forever(self, spec):
        """Renew the permit until cancelled."""
        while True:
            await anyio.sleep(PERMIT_RENEWAL_SECONDS)
            try:
                await self._request(spec, LoadPermitStatus.WANTED)
            except BanyanshoreError as error:
                logger.warning("load permit not renewed: %s", error)

    async def report(self, spec, status):
        """Release the permit and report the outcome of the load."""
        for _ in range(REPORT_ATTEMPTS):
            try:
                await self._request(spec, status)
                return
            except BanyanshoreError as error:
                logger.warning("load permit not released: %s", error)
                await anyio.sleep(RETRY_SECONDS)

    async def find_open_order(self, spec, deadline):
        """Return the open load order in the replicated log, or ``None``.

        Without a quorum it can't be read, and ``None`` is returned at the deadline.
        """
        while time.monotonic() < deadline:
            try:
                reply = await self._request(spec, LoadPermitStatus.ASKED)
                return reply.open_order
            except BanyanshoreError as error:
                logger.warning("open load orders not read: %s", error)
                await anyio.sleep(RETRY_SECONDS)
        return None

    async def _request(self, spec, status):
        request = LoadPermitRequest(
            spec.name,
            spec.version,
            self._settings.instance,
            self._settings.data_centre,
            self._settings.service,
            status,
            self._is_serving(),
            PERMIT_SECONDS,
            self.target_incarnation,
        )
        sent_at = boottime_now()
        reply = await self._call_entry(request, PERMIT_TIMEOUT)
        if status is LoadPermitStatus.WANTED and reply.granted:
            self._expires_at = sent_at + PERMIT_SECONDS
        return reply
