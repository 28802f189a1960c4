"""Run the command that is named on the command line."""

import importlib
import pkgutil
import sys

from banyanshore.management import commands
from banyanshore.management.base import ExitCode


def main(argv=None):
    """Run the command line and exit with its exit code."""
    try:
        code = run(argv or sys.argv)
    except KeyboardInterrupt:
        code = ExitCode.FAILED
    sys.exit(int(code))


def run(argv):
    """Run the command that the arguments name and return its exit code."""
    names = command_names()
    if len(argv) < 2 or argv[1] in ("help", "--help", "-h"):
        _print_commands(names)
        return ExitCode.OK if len(argv) > 1 else ExitCode.USAGE
    name = argv[1]
    if name not in names:
        print(
            f"banyanshore: unknown command {name!r}; expected: {', '.join(names)}",
            file=sys.stderr,
        )
        return ExitCode.USAGE
    return load_command(name).run(argv[1:])


def command_names():
    """Return the sorted names of all commands."""
    modules = pkgutil.iter_modules(commands.__path__)
    return sorted(module.name.replace("_", "-") for module in modules)


def load_command(name):
    """Import and return a command by its name."""
    module = importlib.import_module(f"{commands.__name__}.{name.replace('-', '_')}")
    return module.Command(name)


def _print_commands(names):
    print("usage: banyanshore COMMAND [ARGUMENTS] [FLAGS]\n\ncommands:")
    for name in names:
        print(f"  {name:<12} {load_command(name).help.splitlines()[0]}")


if __name__ == "__main__":
    main()
