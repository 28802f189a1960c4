"""Define fields of settings with metadata for the checks and the documentation."""

from dataclasses import MISSING, field


def setting(help_text, default=MISSING, *, minimum=None, choices=(), kind=""):
    """Return a data class field with metadata for the checks and the documentation.

    :param default: default value or a callable that returns it; without it, the
        setting is required.
    :param minimum: smallest valid number.
    :param choices: the valid values; empty for any.
    :param kind: ``"address"`` for ``HOST:PORT``, ``"url"`` for an HTTP URL.
    """
    metadata = {
        "help": help_text,
        "minimum": minimum,
        "choices": tuple(choices),
        "kind": kind,
    }
    if callable(default):
        return field(default_factory=default, metadata=metadata)
    return field(default=default, metadata=metadata)
