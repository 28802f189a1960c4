"""Write docs/reference/settings.md from the settings' data classes."""

import dataclasses
import typing
from pathlib import Path

from banyanshore.conf.settings import SETTINGS_BY_ROLE

PATH = Path(__file__).resolve().parent / "reference" / "settings.md"


def build():
    """Return the page."""
    lines = [
        "# Settings",
        "",
        "Made by `python -m docs.build_settings`. Times are in seconds, sizes in",
        "bytes, addresses `HOST:PORT` with an IP number.",
        "",
    ]
    for role, cls in SETTINGS_BY_ROLE.items():
        lines += [f"## role: {role}", "", "| key | default | meaning |"]
        lines += ["| --- | --- | --- |", *iter_rows(cls, ""), ""]
    return "\n".join(lines)


def iter_rows(cls, prefix):
    """Yield a table row for each key of a class."""
    types_by_name = typing.get_type_hints(cls)
    for item in dataclasses.fields(cls):
        expected = types_by_name[item.name]
        if dataclasses.is_dataclass(expected):
            yield from iter_rows(expected, f"{prefix}{item.name}.")
            continue
        default = "required"
        if item.default is not dataclasses.MISSING:
            default = f"`{item.default!r}`"
        yield f"| `{prefix}{item.name}` | {default} | {item.metadata['help']} |"
        for inner in typing.get_args(expected):
            if dataclasses.is_dataclass(inner):
                yield from iter_rows(inner, f"{prefix}{item.name}[].")


if __name__ == "__main__":
    PATH.write_text(build())
