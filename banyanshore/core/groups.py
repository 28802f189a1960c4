"""Task groups: a single error raised directly, and the first of several events."""

from contextlib import asynccontextmanager

import anyio


@asynccontextmanager
async def open_task_group():
    """Open a task group that raises a single error of its body or tasks directly.

    If several tasks fail, the exception group is raised unchanged.
    """
    try:
        async with anyio.create_task_group() as tasks:
            yield tasks
    except BaseExceptionGroup as group:
        raise unwrap_single_error(group) from None


def unwrap_single_error(group):
    """Return the only error in nested groups, or the group that holds several.

    >>> inner = ExceptionGroup("inner", [OSError(5)])
    >>> unwrap_single_error(ExceptionGroup("outer", [inner]))
    OSError(5)
    """
    while isinstance(group, BaseExceptionGroup) and len(group.exceptions) == 1:
        group = group.exceptions[0]
    return group


async def wait_for_first(*events):
    """Return once one of the events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait(event):
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)
