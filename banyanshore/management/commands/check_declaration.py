"""Check a declaration or a patch before it is sent."""

from banyanshore.conf import SettingsError, load_settings
from banyanshore.conf.registered import GatewaySettings
from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.management.base import (
    BaseCommand,
    CommandError,
    ExitCode,
    expect_arguments,
)
from banyanshore.management.client import EntryClient
from banyanshore.management.declaration_files import make_document, read_file
from banyanshore.platform.declaration_calls import fetch_tables
from banyanshore.state.declaration_checks import (
    CheckInput,
    RetryBudget,
    check_effects,
)
from banyanshore.state.declaration_diff import find_differences
from banyanshore.state.findings import Level


class Command(BaseCommand):
    """Report errors, entries without effect, and what would change for callers."""

    help = "Check a declaration or a patch of the desired state before it is sent."
    arguments = "FILE"

    def define_flags(self):
        """Define the flags for the version in force and the settings."""
        self._define(
            "string", "control", "", "URL of a control instance to compare with."
        )
        self._define("bool", "compare", False, "Compare with the state of --entry.")
        self._define(
            "string", "settings", "", "Settings file of a gateway: regions, retries."
        )
        self._define("bool", "strict", False, "Fail on warnings as on errors.")

    def handle(self, arguments):
        """Check the file and print what was found.

        :raises CommandError: the file would be refused, has findings and ``--strict``
            was given, or what it is compared with can't be read.
        """
        (path,) = expect_arguments(arguments, "FILE")
        file = read_file(path)
        in_force = self._read_in_force()
        document, findings = make_document(file, in_force)
        differences = []
        if document is not None:
            # A patch has no number of its own.
            declared = in_force if file.is_declaration else None
            findings += check_effects(self._make_input(document, declared))
            if in_force is not None:
                differences = find_differences(in_force, document)
        self.print_result(
            {
                "findings": [finding.to_document() for finding in findings],
                "differences": [row.to_document() for row in differences],
            },
            [row.to_line() for row in (*findings, *differences)] or ["no findings"],
        )
        errors = [finding for finding in findings if finding.level is Level.ERROR]
        failing = findings if self.values.strict else errors
        if failing:
            raise CommandError(f"{path}: {len(failing)} findings", ExitCode.INVALID)

    def _read_in_force(self):
        """Return the document to compare with, ``None`` without one."""
        values = self.values
        if values.control and values.compare:
            raise CommandError("give --control or --compare, not both", ExitCode.USAGE)
        if values.compare:
            return EntryClient(values.entry, values.timeout).get_state()["document"]
        if not values.control:
            return None
        try:
            _, tables = fetch_tables(values.control, values.timeout)
        except BanyanshoreError as error:
            raise CommandError(error.message, ExitCode.UNREACHABLE) from None
        return tables

    def _make_input(self, document, in_force):
        if not self.values.settings:
            return CheckInput(document, in_force=in_force)
        try:
            settings = load_settings(self.values.settings)
        except SettingsError as error:
            raise CommandError(error.message, ExitCode.USAGE) from None
        if not isinstance(settings, GatewaySettings):
            raise CommandError(
                f"{self.values.settings}: role {settings.role!r}, expected gateway",
                ExitCode.USAGE,
            )
        budget = RetryBudget(settings.retries.ratio, settings.retries.burst)
        return CheckInput(document, settings.regions, budget, in_force)
