"""Start a process of any role from a settings file."""

import contextlib
import gc
import importlib.util
import logging
import os
import sys
import time
import traceback

import anyio

from banyanshore.conf import SettingsError, load_settings
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.log_writer import write_if_possible
from banyanshore.core.logs import configure_logging
from banyanshore.daemon.arguments import UsageError, parse_settings_path
from banyanshore.daemon.reload import SettingsWatcher
from banyanshore.daemon.signals import receive_signals
from banyanshore.daemon.stop_signals import Action, StopSignals

logger = logging.getLogger(__name__)

EXIT_SETTINGS = 2
EXIT_FAILED = 1
# Allocations before a collection of the youngest generation; the high threshold means
# fewer pauses while relaying.
GC_THRESHOLD = 20_000


def main(argv=None):
    """Run the daemon and exit with its exit code."""
    end_process(run(argv or sys.argv))


def end_process(exit_code):
    """End the process without the interpreter's own clean-up.

    That takes longer than what is left of a short grace on a busy machine, and nothing
    depends on it.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(AttributeError, OSError, ValueError):
            stream.flush()
    os._exit(exit_code)


def run(argv):
    """Run the daemon and return its exit code."""
    try:
        path = parse_settings_path(argv)
    except UsageError as error:
        return _fail(error.message)
    try:
        settings = load_settings(path)
    except SettingsError as error:
        return _fail(error.message)
    log_writer = configure_logging(
        settings.instance,
        settings.data_centre,
        settings.log_level,
        settings.log_file,
        to_standard_output=settings.role in _STANDARD_OUTPUT_ROLES,
    )
    gc.set_threshold(GC_THRESHOLD)
    exit_code = 0
    try:
        options = {"use_uvloop": _uses_uvloop(settings.role)}
        anyio.run(_run, settings, path, backend_options=options)
    except* (BanyanshoreError, OSError) as group:
        for error in _iter_errors(group):
            logger.critical("stopping: %s", error)
        exit_code = EXIT_FAILED
    except* Exception as group:
        # The interpreter would print it to standard error, over many lines, after the
        # end of the log.
        for error in _iter_errors(group):
            logger.critical(
                "ended by an unexpected error",
                extra={
                    "why": repr(error),
                    "exception": "".join(traceback.format_exception(error)),
                },
            )
        exit_code = EXIT_FAILED
    finally:
        _tell_lost_records(log_writer.stop())
    return exit_code


def _uses_uvloop(role):
    """Return whether a process of a role runs on the event loop in C.

    Not if it isn't installed. The web server of entries and agents sets how much the
    transports of asyncio take at a time, which those of uvloop can't be told.
    """
    is_installed = importlib.util.find_spec("uvloop") is not None
    return is_installed and role not in ("entry", "agent")


def _tell_lost_records(count):
    # Without standard error, or with one that is stalled too, nobody can be told.
    if count and sys.stderr is not None:
        text = f"{count} log records could not be written\n"
        write_if_possible(sys.stderr.fileno(), text)


def _fail(text):
    sys.stderr.write(f"{text}\n")
    return EXIT_SETTINGS


def _iter_errors(group):
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _iter_errors(error)
        else:
            yield error


def _make_entry(settings):
    from banyanshore.entry.process import Entry

    return Entry(settings)


def _make_agent(settings):
    from banyanshore.agent.process import Agent

    return Agent(settings)


def _make_control(settings):
    from banyanshore.control.process import Control
    from banyanshore.platform.control_api import make_control_api

    return Control(settings, make_control_api)


def _make_gateway(settings):
    from banyanshore.gateway.process import Gateway
    from banyanshore.platform.caller_dialect import PlatformDialect
    from banyanshore.platform.origin import PlatformOrigin

    return Gateway(settings, PlatformDialect(), PlatformOrigin)


def _make_loader(settings):
    from banyanshore.loader.process import Loader
    from banyanshore.platform.engine import PlatformEngine
    from banyanshore.platform.origin import PlatformOrigin

    engine = PlatformEngine(settings.target_address)
    return Loader(settings, engine, PlatformOrigin)


# Each factory imports its own modules, since a role needs only part of the package.
_FACTORY_BY_ROLE = {
    "entry": _make_entry,
    "agent": _make_agent,
    "control": _make_control,
    "gateway": _make_gateway,
    "loader": _make_loader,
}
# Roles whose log goes to standard output unless the settings name a file.
_STANDARD_OUTPUT_ROLES = frozenset({"control", "gateway", "loader"})


async def _run(settings, path):
    process = _FACTORY_BY_ROLE[settings.role](settings)
    stop_requested = anyio.Event()
    force_requested = anyio.Event()
    watcher = SettingsWatcher(path, settings, getattr(process, "reload", None))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop_requested, force_requested, watcher)
        if watcher.can_reload:
            tasks.start_soon(watcher.run)
        await process.run(stop_requested, force_requested)
        tasks.cancel_scope.cancel()
    logger.info("stopped")


async def _watch_signals(stop_requested, force_requested, watcher):
    stop_signals = StopSignals()
    operations = {
        Action.STOP: stop_requested.set,
        Action.CUT_SHORT: force_requested.set,
        Action.RELOAD: watcher.check,
    }
    with receive_signals() as signals:
        async for number in signals:
            action = stop_signals.decide(number, time.monotonic())
            logger.info(
                "signal received",
                extra={"signal": number.name, "action": action.value},
            )
            if action in operations:
                operations[action]()
