"""Check settings files without starting a process."""

from banyanshore.conf import SettingsError, load_settings
from banyanshore.management.base import BaseCommand, CommandError, ExitCode


class Command(BaseCommand):
    """Report every problem in settings files."""

    help = "Check settings files and report every problem in them."
    arguments = "FILE [FILE ...]"

    def handle(self, arguments):
        """Check each file and print its problems.

        :raises CommandError: no file was given, or a file has problems.
        """
        if not arguments:
            raise CommandError("expected at least one settings file", ExitCode.USAGE)
        problems = []
        for path in arguments:
            try:
                load_settings(path)
            except SettingsError as error:
                problems += [
                    {"file": path, "id": m.id, "key": m.key_path, "problem": str(m)}
                    for m in error.messages
                ]
        lines = [f"{row['file']}: {row['problem']}" for row in problems]
        self.print_result(problems, lines or ["no problems"])
        if problems:
            raise CommandError(f"{len(problems)} problems found", ExitCode.INVALID)
