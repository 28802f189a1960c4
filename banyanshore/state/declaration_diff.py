"""What differs between two versions of the declared tables, and what callers notice.

Load pattern: a declaration of thousands of routes replaces the one in force, and a
generator has left some out. Their callers would get 404, or another route's service.
"""

import hashlib
from enum import StrEnum

from banyanshore.core.values import dataclass
from banyanshore.state.document import diff_documents
from banyanshore.state.routes import RouteTable
from banyanshore.state.workspaces import iter_named

# Tables that a declaration holds whole: one that it lacks is empty.
DECLARED_TABLES = ("routes", "services", "workspaces", "limits")
# Tables that only patches change.
OTHER_TABLES = ("models", "data_centres", "targets", "rollouts")
# Characters of the digest that stands for a key, which is a secret.
KEY_DIGEST_CHARACTERS = 8


class Change(StrEnum):
    """How a row differs from the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Difference:
    """One row that differs.

    :param place: dotted path of the row.
    :param fields: what differs in a changed row, as texts ``field: old -> new``.
    :param effect: what it does to callers, empty for nothing that they notice.
    """

    change: Change
    place: str
    fields: tuple = ()
    effect: str = ""

    def to_document(self):
        """Return the difference as a JSON object."""
        return {
            "change": self.change.value,
            "place": self.place,
            "fields": list(self.fields),
            "effect": self.effect,
        }

    def to_line(self):
        """Return the difference as a line of text."""
        fields = f" ({', '.join(self.fields)})" if self.fields else ""
        effect = f": {self.effect}" if self.effect else ""
        return f"{self.change.value} {self.place}{fields}{effect}"


def find_differences(before, after):
    """Return the :class:`Difference` rows between two valid documents.

    :param before: document in force.
    :param after: document to send.
    """
    table, table_before = RouteTable(after), RouteTable(before)
    differences = []
    changeable = [name for name in OTHER_TABLES if name in after]
    for name in (*DECLARED_TABLES, *changeable):
        rows = _compared_rows(name, before)
        wanted = _compared_rows(name, after)
        patch = diff_documents(rows, wanted)
        for key in sorted(patch):
            differences.append(
                _make_difference(
                    name, key, rows.get(key), wanted.get(key), table_before, table
                )
            )
    return differences


def _compared_rows(table_name, document):
    rows = document.get(table_name, {})
    return dict(iter_named(rows)) if table_name == "workspaces" else rows


def _make_difference(table_name, key, before, after, table_before, table):
    place = f"{table_name}.{key}"
    if before is None:
        effect = _EFFECT_OF_ADDITION.get(table_name, _no_effect)(after, table_before)
        return Difference(Change.ADDED, place, (), effect)
    if after is None:
        effect = _EFFECT_OF_REMOVAL.get(table_name, _no_effect)(before, table)
        return Difference(Change.REMOVED, place, (), effect)
    fields = tuple(
        _describe_field(name, before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    )
    effect = _EFFECT_OF_CHANGE.get(table_name, _no_effect)(before, after, table)
    return Difference(Change.CHANGED, place, fields, effect)


def _describe_field(name, before, after):
    if name == "keys":
        removed, added = _key_changes(before, after)
        return f"keys: {len(removed)} taken away, {len(added)} added"
    return f"{name}: {before!r} -> {after!r}"


def _key_changes(before, after):
    known, wanted = set(before or ()), set(after or ())
    return known - wanted, wanted - known


def _digests(keys):
    hashed = (hashlib.sha256(key.encode()).hexdigest() for key in keys)
    return ", ".join(sorted(text[:KEY_DIGEST_CHARACTERS] for text in hashed))


def _removed_route(route, table):
    other = table.find_route(route["host"], route["prefix"])
    if other is None:
        return "its requests get 404"
    names = ", ".join(share.service for share in other.services)
    return f"its requests go by the route {other.host}{other.prefix} to {names}"


def _added_route(route, table_before):
    """Return whose requests a route takes."""
    other = table_before.find_route(route["host"], route["prefix"])
    if other is None or (other.host, other.prefix) == (route["host"], route["prefix"]):
        return ""
    return f"requests below it went by the route {other.host}{other.prefix} before"


def _changed_route(before, after, table):
    effects = []
    if (before["host"], before["prefix"]) != (after["host"], after["prefix"]):
        place = f"{before['host']}{before['prefix']}"
        effects.append(f"at {place} {_removed_route(before, table)}")
    if before["services"] != after["services"]:
        effects.append("its requests go to other services or in other shares")
    was_public, is_public = before.get("public", False), after.get("public", False)
    if was_public and not is_public and table.requires_key:
        effects.append("requests without a key are refused with 401")
    elif is_public and not was_public:
        effects.append("requests without a key are admitted")
    return "; ".join(effects)


def _removed_workspace(workspace, table):
    return _describe_removed_keys(workspace.get("keys", ()), table)


def _changed_workspace(before, after, table):
    removed, _ = _key_changes(before.get("keys"), after.get("keys"))
    return _describe_removed_keys(removed, table)


def _describe_removed_keys(keys, table):
    """Return what becomes of the callers whose keys a workspace has no more."""
    if keys and not table.requires_key:
        return "without any workspace, all requests are admitted, also without a key"
    moved = {key for key in keys if table.find_workspace(key) is not None}
    refused = set(keys) - moved
    effects = []
    if refused:
        effects.append(f"refused with 401: keys with SHA-256 {_digests(refused)}")
    if moved:
        names = sorted({table.find_workspace(key).name for key in moved})
        digests = _digests(moved)
        effects.append(f"now of {', '.join(names)}: keys with SHA-256 {digests}")
    return "; ".join(effects)


def _no_effect(*arguments):
    return ""


def _removed_service(service, table):
    return "its targets get no requests"


_EFFECT_OF_ADDITION = {"routes": _added_route}
_EFFECT_OF_REMOVAL = {
    "routes": _removed_route,
    "services": _removed_service,
    "workspaces": _removed_workspace,
    "limits": lambda row, table: "the default limits are in force",
}
_EFFECT_OF_CHANGE = {
    "routes": _changed_route,
    "workspaces": _changed_workspace,
}
