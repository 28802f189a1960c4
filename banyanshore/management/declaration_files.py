"""Read files with a declaration or a patch, in the product's or the platform's format.

The code that refuses a declaration on arrival also reads it here.
"""

import json
from collections import Counter
from pathlib import Path

from banyanshore.core.exceptions import BanyanshoreError
from banyanshore.core.values import dataclass
from banyanshore.http.operators import MAX_PATCH_BYTES
from banyanshore.management.base import CommandError, ExitCode
from banyanshore.platform.declaration import decode_declaration
from banyanshore.platform.declaration_calls import is_declaration
from banyanshore.state.document import (
    check_document,
    empty_document,
    merge_patch,
    parse_patch,
)
from banyanshore.state.findings import Finding, Level
from banyanshore.state.routes import CallerLimits
from banyanshore.state.workspaces import keep_required_keys

# Largest declaration that a control instance accepts, in bytes.
MAX_DECLARATION_BYTES = CallerLimits().max_body_bytes


@dataclass(frozen=True)
class DeclarationFile:
    """The content of a file.

    :param document: the JSON object.
    :param is_declaration: whether it is a whole declaration in the platform's format;
        else it is a merge patch of the desired state.
    :param repeated: dotted paths of the names that an object holds more than once.
    """

    body: bytes
    document: dict
    is_declaration: bool
    repeated: tuple = ()


def read_file(path):
    """Return the :class:`DeclarationFile` of a path.

    :raises CommandError: the file can't be read, is too large or holds no JSON object.
    """
    try:
        body = Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or error
        raise CommandError(f"{path}: {reason}", ExitCode.USAGE) from None
    if len(body) > MAX_DECLARATION_BYTES:
        raise CommandError(
            f"{path}: {len(body)} bytes, at most {MAX_DECLARATION_BYTES} are accepted",
            ExitCode.INVALID,
        )
    # Names that occur more than once, by the identity of the object that holds them.
    repeated_by_id = {}

    def make_object(pairs):
        rows = dict(pairs)
        if len(rows) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            names = [name for name, count in counts.items() if count > 1]
            # The object is kept, so that no other one gets its identity.
            repeated_by_id[id(rows)] = rows, names
        return rows

    try:
        document = json.loads(body, object_pairs_hook=make_object)
        repeated = ()
        if repeated_by_id:
            repeated = tuple(_iter_places(document, repeated_by_id))
    except json.JSONDecodeError as error:
        where = f"line {error.lineno}, column {error.colno}"
        raise CommandError(
            f"{path}: not JSON at {where}: {error.msg}", ExitCode.INVALID
        ) from None
    except (UnicodeDecodeError, RecursionError) as error:
        reason = "nested too deeply" if isinstance(error, RecursionError) else error
        raise CommandError(f"{path}: not JSON: {reason}", ExitCode.INVALID) from None
    if not isinstance(document, dict):
        raise CommandError(f"{path}: expected a JSON object", ExitCode.INVALID)
    return DeclarationFile(body, document, is_declaration(document), repeated)


def _iter_places(value, repeated_by_id, path=""):
    """Yield the paths of the names that occur more than once."""
    if isinstance(value, dict):
        _, names = repeated_by_id.get(id(value), (None, ()))
        for name in names:
            yield f"{path}{name}"
        rows = value.items()
    elif isinstance(value, list):
        rows = enumerate(value)
    else:
        return
    for name, inner in rows:
        yield from _iter_places(inner, repeated_by_id, f"{path}{name}.")


def make_document(file, in_force):
    """Return the document that a file leads to, and the findings that would refuse it.

    :param file: the :class:`DeclarationFile`.
    :param in_force: the document in force, ``None`` if unknown.
    :return: the document, ``None`` if it is refused, and a list of
        :class:`~banyanshore.state.findings.Finding`.
    """
    findings = [
        Finding(
            Level.WARNING,
            "name-repeated",
            place,
            "the object holds this name more than once",
            "only the last value counts",
        )
        for place in file.repeated
    ]
    try:
        if file.is_declaration:
            _, document = decode_declaration(file.body)
            document["workspaces"] = keep_required_keys(
                document["workspaces"], (in_force or {}).get("workspaces", {})
            )
        else:
            if len(file.body) > MAX_PATCH_BYTES:
                text = f"{len(file.body)} bytes, at most {MAX_PATCH_BYTES} are accepted"
                error = Finding(Level.ERROR, "too-large", "(body)", text)
                return None, [error, *findings]
            patch = parse_patch(file.body)
            document = merge_patch(in_force or empty_document(), patch)
        check_document(document)
    except BanyanshoreError as error:
        place, _, message = error.message.partition(": ")
        if not message:
            place, message = "(body)", error.message
        return None, [Finding(Level.ERROR, "refused", place, message), *findings]
    return document, findings
