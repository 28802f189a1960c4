"""Probes that find out whether targets whose answers were lost have exited."""

import time

import anyio

from banyanshore.http.upstream import Reachability, probe_address

# Delays in seconds before each probe of a target whose answer was lost. A target that
# has exited refuses connections at once; an unreachable target is probed again, since a
# full backlog or a lost packet looks the same.
PROBE_DELAYS = (0.05, 0.25)
# Seconds between probes of a target that has exited, and for how long it is probed: if
# a network partition looked like the exit of all targets behind it, the requests that
# ran there must not be blamed for longer.
FOLLOW_UP_INTERVAL = 1.0
FOLLOW_UP_SECONDS = 60.0
# Seconds after which the new incarnation of a target that accepts connections again
# would be registered: two heartbeats and the network latency.
REGISTRATION_SECONDS = 3.0


class TargetProbes:
    """Probe targets, and follow those that have exited until they are back.

    :param registry: the :class:`~banyanshore.membership.feed.Registry`.
    :param on_exit: coroutine function that is called with the id of a target that has
        exited, its address and incarnation.
    :param on_alive: coroutine function that is called with the id of a target that
        had not exited after all, and the time at which it was alive.
    :ivar tasks: task group of the probes, ``None`` before the gateway runs.
    """

    def __init__(self, registry, on_exit, on_alive):
        self.tasks = None
        self._registry = registry
        self._on_exit = on_exit
        self._on_alive = on_alive
        # Targets that are being probed, and exited targets that may come back.
        self._probed_ids = set()
        self._followed_ids = set()

    def start(self, target_id):
        """Probe a target in the background, unless it is being probed."""
        if self.tasks is not None and target_id not in self._probed_ids:
            self._probed_ids.add(target_id)
            self.tasks.start_soon(self.probe, target_id)

    async def probe(self, target_id):
        """Probe whether a target still accepts connections."""
        address, _ = target_id
        found = set()
        try:
            for delay in PROBE_DELAYS:
                await anyio.sleep(delay)
                reachability = await probe_address(address)
                found.add(reachability)
                if reachability is Reachability.REFUSED:
                    break
            if Reachability.REFUSED in found or found == {Reachability.SILENT}:
                await self._on_exit(target_id)
                self._start_follow_up(target_id)
        finally:
            self._probed_ids.discard(target_id)

    def _start_follow_up(self, target_id):
        if self.tasks is not None and target_id not in self._followed_ids:
            self._followed_ids.add(target_id)
            self.tasks.start_soon(self._follow_up, target_id)

    async def _follow_up(self, target_id):
        """Withdraw the exit of a target that is back with the same incarnation.

        It was unreachable, for instance behind a network partition.
        """
        try:
            with anyio.move_on_after(FOLLOW_UP_SECONDS):
                await self._wait_until_open(target_id[0])
                await anyio.sleep(REGISTRATION_SECONDS)
                if self._is_same_incarnation(target_id):
                    await self._on_alive(target_id, time.monotonic())
        finally:
            self._followed_ids.discard(target_id)

    async def _wait_until_open(self, address):
        while await probe_address(address) is not Reachability.OPEN:
            await anyio.sleep(FOLLOW_UP_INTERVAL)

    def _is_same_incarnation(self, target_id):
        rows = self._registry.targets.rows()
        registered = {row.incarnation for row in rows if row.address == target_id[0]}
        return registered == {target_id[1]}
