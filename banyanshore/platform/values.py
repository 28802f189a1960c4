"""Read values out of decoded JSON, with a clear error for what isn't as expected."""

import json
import math

from banyanshore.core.exceptions import BanyanshoreError

_REQUIRED = object()


class DecodeError(BanyanshoreError):
    """Signal a body that isn't what the platform is to send."""

    def __init__(self, place, value, expected):
        super().__init__(
            f"{place}: got {_shorten(value)}, expected {expected}", step="decode"
        )


def parse_object(body):
    """Return the JSON object in a body.

    :raises DecodeError: it isn't one.
    """
    try:
        document = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        raise DecodeError("(body)", bytes(body[:40]), "JSON") from None
    if not isinstance(document, dict):
        raise DecodeError("(body)", document, "an object")
    return document


class Reader:
    """One JSON object of the wire, read field by field.

    :param document: the object.
    :param place: where it stands, for errors.
    """

    def __init__(self, document, place=""):
        if not isinstance(document, dict):
            raise DecodeError(place or "(body)", document, "an object")
        self.document = document
        self.place = place

    def text(self, name, default=_REQUIRED):
        """Return a text."""
        return self._read(name, default, "a text", lambda v: isinstance(v, str))

    def flag(self, name, default=_REQUIRED):
        """Return a truth value."""
        return self._read(name, default, "a boolean", lambda v: isinstance(v, bool))

    def whole(self, name, default=_REQUIRED):
        """Return a whole number of 0 or more."""
        return self._read(
            name,
            default,
            "a whole number, 0 or more",
            lambda v: _is_whole(v) and v >= 0,
        )

    def number(self, name, default=_REQUIRED):
        """Return a number of 0 or more."""
        return self._read(name, default, "a number, 0 or more", _is_number)

    def seconds(self, name, default=_REQUIRED):
        """Return a field in milliseconds as seconds."""
        value = self.number(name, default)
        return value if value is default else value / 1000

    def texts(self, name, default=_REQUIRED):
        """Return a list of texts."""
        return self._read(
            name,
            default,
            "a list of texts",
            lambda v: isinstance(v, list) and all(isinstance(i, str) for i in v),
        )

    def objects(self, name, default=_REQUIRED):
        """Return a list of objects as readers."""
        rows = self._read(name, default, "a list", lambda v: isinstance(v, list))
        return [
            Reader(row, f"{self._at(name)}.{position}")
            for position, row in enumerate(rows)
        ]

    def object(self, name):
        """Return an object as a reader, or ``None`` if it isn't there."""
        value = self.document.get(name)
        return None if value is None else Reader(value, self._at(name))

    def _read(self, name, default, expected, accepts):
        value = self.document.get(name)
        if value is None and default is not _REQUIRED:
            return default
        if not accepts(value):
            raise DecodeError(self._at(name), value, expected)
        return value

    def _at(self, name):
        return f"{self.place}.{name}" if self.place else name


def _is_whole(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value):
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value >= 0


def _refuse_constant(name):
    raise ValueError(f"{name} is not JSON")


def _shorten(value):
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."
