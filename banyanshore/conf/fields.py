"""Fields of settings that carry what the checks and the docs need to know."""

from dataclasses import MISSING, field


def setting(help_text, default=MISSING, *, minimum=None, choices=(), kind=""):
    """Return a data class field with what the checks need to know.

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
