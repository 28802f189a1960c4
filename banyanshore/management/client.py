"""Client of an entry's operators' API."""

import json
import time
import uuid

import httpx

from banyanshore.management.base import CommandError, ExitCode

STATE_PATH = "/operator/v1/state"
STATUS_PATH = "/operator/v1/status"
LOCAL_OUT_PATH = "/operator/v1/local-out"
# Seconds between polls of the status, and between attempts of a patch.
POLL_INTERVAL = 0.1
# Largest number of instances without a version that an error message lists.
MAX_LISTED_INSTANCES = 10
_EXIT_CODE_BY_STATUS = {
    400: ExitCode.INVALID,
    412: ExitCode.STALE_VERSION,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
    503: ExitCode.NOT_ACCEPTED,
    504: ExitCode.OUTCOME_UNKNOWN,
}


class EntryClient:
    """Send requests to the operators' API of one entry.

    :param url: base URL of the entry.
    :param timeout: seconds to wait for an answer.
    """

    def __init__(self, url, timeout):
        self._url = url
        self._timeout = timeout

    def get_state(self):
        """Return the desired state: version, document and whether it is current."""
        return self._request("GET", STATE_PATH).json()

    def get_status(self):
        """Return the status document."""
        return self._request("GET", STATUS_PATH).json()

    def take_out_locally(self):
        """Take the entry's data centre out of service by a local order."""
        return self._request("POST", LOCAL_OUT_PATH).json()

    def patch(self, patch, version, request_id=""):
        """Apply a patch to a version and return the new version number.

        A patch whose answer was lost is sent again with the same request id.

        :raises CommandError: the patch was refused or not accepted, or its outcome is
            unknown.
        """
        headers = {
            "if-match": f'"{version}"',
            "x-request-id": request_id or uuid.uuid4().hex,
            "content-type": "application/merge-patch+json",
        }
        content = json.dumps(patch)
        deadline = time.monotonic() + self._timeout
        while True:
            try:
                response = self._request(
                    "PATCH", STATE_PATH, headers=headers, content=content
                )
                return response.json()["version"]
            except CommandError as error:
                is_outcome_unknown = error.exit_code == ExitCode.OUTCOME_UNKNOWN
                if not is_outcome_unknown or time.monotonic() >= deadline:
                    raise
            time.sleep(POLL_INTERVAL)

    def patch_current(self, patch):
        """Apply a patch to the current version; retry if that has changed meanwhile.

        Only for patches that set single values and mean the same for any version.
        """
        deadline = time.monotonic() + self._timeout
        while True:
            try:
                return self.patch(patch, self.get_state()["version"])
            except CommandError as error:
                is_stale = error.exit_code == ExitCode.STALE_VERSION
                if not is_stale or time.monotonic() >= deadline:
                    raise

    def wait_in_force(self, version, seconds):
        """Wait until a version is in force at all instances.

        :param seconds: longest time to wait.
        :raises CommandError: the version isn't in force at all instances in time; the
            message lists those without it.
        """
        deadline = time.monotonic() + seconds
        while True:
            status = self.get_status()
            if status["state"]["version"] >= version and not status["behind"]:
                return
            if time.monotonic() >= deadline:
                names = status["behind"] or [status["instance"]]
                shown = ", ".join(names[:MAX_LISTED_INSTANCES])
                raise CommandError(
                    f"version {version} is accepted but not in force at "
                    f"{len(names)} instances: {shown}",
                    ExitCode.NOT_YET_IN_FORCE,
                )
            time.sleep(POLL_INTERVAL)

    def _request(self, method, path, **options):
        try:
            response = httpx.request(
                method,
                f"{self._url}{path}",
                timeout=self._timeout,
                trust_env=False,
                **options,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol):
            raise CommandError(
                f"can't reach {self._url}; name another entry with --entry",
                ExitCode.UNREACHABLE,
            ) from None
        except (httpx.InvalidURL, httpx.LocalProtocolError) as error:
            message = f"--entry {self._url}: {error}"
            raise CommandError(message, ExitCode.USAGE) from None
        except httpx.HTTPError as error:
            raise CommandError(
                f"{self._url} did not answer: {error!r}", ExitCode.OUTCOME_UNKNOWN
            ) from None
        if response.status_code >= 400:
            raise self._build_error(response)
        return response

    def _build_error(self, response):
        try:
            problem = response.json()
        except ValueError:
            problem = {}
        title = problem.get("title", f"status {response.status_code}")
        detail = problem.get("detail", response.text[:200])
        code = _EXIT_CODE_BY_STATUS.get(response.status_code, ExitCode.FAILED)
        return CommandError(f"{title}: {detail}", code)
