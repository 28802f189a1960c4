"""Check settings and report all problems at once, each with an id."""

import ipaddress
from urllib.parse import urlsplit

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass

# Largest supported number of voters of the replicated log.
MAX_VOTERS = 7
MAX_PORT = 65_535


@dataclass(frozen=True)
class CheckMessage:
    """Describe one problem in the settings.

    :param id: stable id, such as ``banyanshore.E002``.
    :param key_path: dotted path of the key.
    :param value: the invalid value as written.
    :param expected: description of valid values.
    :param hint: how to fix the problem.
    """

    id: str
    key_path: str
    value: object
    expected: str
    hint: str

    def __str__(self):
        return (
            f"{self.key_path}: ({self.id}) got {self.value!r}, expected "
            f"{self.expected}. HINT: {self.hint}"
        )


class SettingsError(BanyanshoreError):
    """Signal invalid settings, with which no process may start.

    :param messages: a :class:`CheckMessage` for each problem found.
    :param source: name of the settings in the error message, such as their path.
    """

    def __init__(self, messages, source):
        self.messages = tuple(messages)
        lines = "\n".join(f"  {message}" for message in self.messages)
        count = len(self.messages)
        super().__init__(
            f"{count} problem{'s'[: count != 1]} in {source}:\n{lines}",
            step="check-settings",
        )


def check_address(value, key_path):
    """Return the problems of an address.

    >>> check_address("127.0.0.1:80", "callers_bind")
    []
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 <= int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if valid:
        return []
    return [
        CheckMessage(
            "banyanshore.E005",
            key_path,
            value,
            "an IP address and a port, such as 127.0.0.1:7001",
            "Host names are not resolved; use an IP address.",
        )
    ]


def check_url(value, key_path):
    """Return the problems of an HTTP URL."""
    parts = urlsplit(value)
    if parts.scheme in ("http", "https") and parts.netloc:
        return []
    return [
        CheckMessage(
            "banyanshore.E006",
            key_path,
            value,
            "a URL that starts with http:// or https://",
            "Include the scheme, the host and the port.",
        )
    ]


CHECK_BY_KIND = {"address": check_address, "url": check_url}


def check_entries(settings):
    """Return the problems of the list of entries and of this instance's place in it."""
    return [
        *_check_unique_instances(settings),
        *_check_voters(settings),
        *_check_own_entry(settings),
    ]


def _check_unique_instances(settings):
    seen = set()
    for position, peer in enumerate(settings.entries):
        if peer.instance in seen:
            yield CheckMessage(
                "banyanshore.E007",
                f"entries.{position}.instance",
                peer.instance,
                "a unique name",
                "Give each entry a unique name.",
            )
        seen.add(peer.instance)


def _check_voters(settings):
    voters = [peer for peer in settings.entries if peer.voter]
    if not voters or len(voters) > MAX_VOTERS:
        yield CheckMessage(
            "banyanshore.E008",
            "entries",
            f"{len(voters)} voters",
            f"1 to {MAX_VOTERS} entries with voter: true",
            "Use 3 or 5 voters, spread over the data centres.",
        )


def _check_own_entry(settings):
    if settings.role != "entry":
        return
    by_instance = {peer.instance: peer for peer in settings.entries}
    own = by_instance.get(settings.instance)
    if own is None:
        yield CheckMessage(
            "banyanshore.E009",
            "instance",
            settings.instance,
            "a name in entries",
            "Add this entry to the list, with the address at which others reach it.",
        )
    elif own.voter and not settings.data_dir:
        yield CheckMessage(
            "banyanshore.E010",
            "data_dir",
            settings.data_dir,
            "a folder, since this entry is a voter",
            "Set a folder on a disk that persists after the process exits.",
        )
