"""Run coroutines of transfers in virtual time, with seeded random choices."""

import asyncio
import contextlib
import itertools
import random
import time
from unittest import mock

import anyio

from benchmarks.weights_bound import VirtualTimeLoop


@contextlib.contextmanager
def _virtual_time(seed):
    async def run_inline(function, *arguments):
        return function(*arguments)

    loop = asyncio.get_running_loop()
    seeds = itertools.count(1000 * seed)
    make = random.Random
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(time, "clock_gettime", lambda clock: loop.time()),
        mock.patch.object(anyio.to_thread, "run_sync", run_inline),
        mock.patch(
            "banyanshore.weights.transfer.random.Random",
            lambda *own: make(*own or (next(seeds),)),
        ),
    ):
        yield


def run_in_virtual_time(function, seed):
    """Run a coroutine function, and return its result."""

    async def run():
        with _virtual_time(seed):
            return await function()

    return anyio.run(run, backend_options={"loop_factory": VirtualTimeLoop})
