"""Base class and shared helpers of the operators' commands."""

import abc
import enum
import json
import sys

from absl import flags

from banyanshore.core.exceptions import BanyanshoreError

DEFAULT_ENTRY = "http://127.0.0.1:8001"


class ExitCode(enum.IntEnum):
    """Stable exit codes for use in scripts."""

    OK = 0
    FAILED = 1
    USAGE = 2
    STALE_VERSION = 3
    NOT_ACCEPTED = 4
    OUTCOME_UNKNOWN = 5
    UNREACHABLE = 6
    NOT_YET_IN_FORCE = 7
    INVALID = 8


class CommandError(BanyanshoreError):
    """Signal a failure that the operator can act on; printed without a traceback.

    :param exit_code: the :class:`ExitCode` to exit with.
    """

    def __init__(self, message, exit_code=ExitCode.FAILED):
        super().__init__(message)
        self.exit_code = exit_code


class BaseCommand(abc.ABC):
    """Base class of a command.

    Subclasses set :attr:`help` and :attr:`arguments`, and provide :meth:`handle`.
    """

    help = ""
    # Positional arguments as shown in the usage line.
    arguments = ""

    def __init__(self, name):
        self.name = name
        self.values = flags.FlagValues()
        self._define("string", "entry", DEFAULT_ENTRY, "URL of any entry.")
        self._define("bool", "json", False, "Print JSON.")
        self._define("bool", "help", False, "Print this help.")
        self._define("float", "timeout", 10.0, "Seconds to wait for an entry.")
        self.define_flags()

    def define_flags(self):
        """Define the flags of the command with :meth:`_define`."""

    @abc.abstractmethod
    def handle(self, arguments):
        """Run the command with its positional arguments.

        :raises CommandError: the command failed.
        """

    def run(self, argv):
        """Run the command and return its exit code.

        :param argv: the command's name, flags and arguments.
        """
        try:
            _, *arguments = self.values(argv, known_only=False)
            if self.values.help:
                print(self.usage())
                return ExitCode.OK
            self.handle(arguments)
        except flags.Error as error:
            print(f"banyanshore {self.name}: {error}", file=sys.stderr)
            return ExitCode.USAGE
        except CommandError as error:
            print(f"banyanshore {self.name}: {error.message}", file=sys.stderr)
            return error.exit_code
        return ExitCode.OK

    def usage(self):
        """Return the help text."""
        lines = [f"usage: banyanshore {self.name} {self.arguments}".rstrip()]
        lines += ["", self.help, "", "flags:"]
        for name in sorted(self.values):
            flag = self.values[name]
            lines.append(f"  --{name:<12} {flag.help} (default: {flag.default!r})")
        return "\n".join(lines)

    def print_result(self, document, lines):
        """Print a result as JSON or as lines of text."""
        if self.values.json:
            print(json.dumps(document, indent=2, sort_keys=True))
        else:
            for line in lines:
                print(line)

    def _define(self, kind, name, default, help_text):
        define = {
            "string": flags.DEFINE_string,
            "bool": flags.DEFINE_bool,
            "float": flags.DEFINE_float,
            "integer": flags.DEFINE_integer,
        }[kind]
        define(name, default, help_text, flag_values=self.values)


def expect_arguments(arguments, *names):
    """Return the positional arguments if their number is right.

    :param names: names of the expected arguments, for the error message.
    :raises CommandError: there are more or fewer arguments.
    """
    if len(arguments) != len(names):
        expected = " ".join(names) or "none"
        raise CommandError(
            f"got {len(arguments)} arguments, expected: {expected}", ExitCode.USAGE
        )
    return arguments
