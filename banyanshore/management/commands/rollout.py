"""Roll out a version of a model."""

import time

import httpx

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.management.base import (
    BaseCommand,
    CommandError,
    ExitCode,
    expect_arguments,
)
from banyanshore.management.client import EntryClient
from banyanshore.weights.manifest import parse_manifest

# Seconds between polls of the progress of a rollout.
POLL_INTERVAL = 0.5


class Command(BaseCommand):
    """Set the desired version of a model and wait until its targets serve it."""

    help = "Roll out a version of a model from a manifest and weights at the origin."
    arguments = "MODEL VERSION --manifest_url URL --weights_url URL"

    def define_flags(self):
        """Define the flags for the location of the version and for its rollout."""
        self._define("string", "manifest_url", "", "URL of the manifest.")
        self._define("string", "weights_url", "", "URL of the weights.")
        self._define(
            "float", "max_unavailable", None, "Largest share of targets out at once."
        )
        self._define(
            "integer", "version", None, "Version of the desired state to patch."
        )
        self._define(
            "float", "wait", 0.0, "Seconds to wait until all targets serve it."
        )

    def handle(self, arguments):
        """Patch the model and, with ``--wait``, wait until its targets serve it."""
        model, version = expect_arguments(arguments, "MODEL", "VERSION")
        row = self._build_row(version)
        client = EntryClient(self.values.entry, self.values.timeout)
        patch = {"models": {model: row}}
        if self.values.version is None:
            accepted = client.patch_current(patch)
        else:
            accepted = client.patch(patch, self.values.version)
        lines = [f"accepted as version {accepted}"]
        if self.values.wait:
            seconds = self._wait_until_served(client, model, version)
            lines.append(f"all targets serve {version} after {seconds:.1f} s")
        self.print_result({"version": accepted}, lines)

    def _build_row(self, version):
        values = self.values
        if not values.manifest_url or not values.weights_url:
            raise CommandError(
                "--manifest_url and --weights_url are required", ExitCode.USAGE
            )
        try:
            response = httpx.get(
                values.manifest_url, timeout=values.timeout, trust_env=False
            )
            response.raise_for_status()
            manifest = parse_manifest(response.content)
        except (httpx.HTTPError, httpx.InvalidURL, BanyanshoreError) as error:
            raise CommandError(
                f"manifest {values.manifest_url}: {error}", ExitCode.INVALID
            ) from None
        if manifest.version != version:
            raise CommandError(
                f"the manifest is for version {manifest.version!r}, not {version!r}",
                ExitCode.INVALID,
            )
        row = {
            "version": version,
            "manifest_digest": manifest.digest,
            "manifest_url": values.manifest_url,
            "weights_url": values.weights_url,
        }
        if values.max_unavailable is not None:
            row["max_unavailable_ratio"] = values.max_unavailable
        return row

    def _wait_until_served(self, client, model, version):
        started_at = time.monotonic()
        while True:
            elapsed = time.monotonic() - started_at
            document = client.get_state()["document"]
            services = {
                name
                for name, row in document["services"].items()
                if row.get("model") == model
            }
            counts = count_versions(client.get_status(), services)
            if counts and set(counts) == {version}:
                return elapsed
            if elapsed >= self.values.wait:
                shown = ", ".join(
                    f"{n} x {v or '-'}" for v, n in sorted(counts.items())
                )
                raise CommandError(
                    f"not all targets serve {version} yet: {shown or 'no targets'}",
                    ExitCode.NOT_YET_IN_FORCE,
                )
            time.sleep(POLL_INTERVAL)


def count_versions(status, services):
    """Return the number of targets per model version over all data centres."""
    counts = {}
    for row in status["data_centres"].values():
        for name, capacity in row["services"].items():
            if name in services:
                for version, count in capacity["versions"]:
                    counts[version] = counts.get(version, 0) + count
    return counts
