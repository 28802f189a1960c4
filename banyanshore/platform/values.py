"""Read and validate values of decoded JSON."""

import json

from banyanshore.core.exceptions import BanyanshoreError

# Largest number: larger ones lose precision, and none in use comes near.
MAX_NUMBER = 2**53
MAX_TEXT_CHARACTERS = 4096
_REQUIRED = object()


class DecodeError(BanyanshoreError):
    """Signal an invalid JSON body.

    :param path: dotted path of the invalid value in the document.
    :param expected: description of the valid values.
    """

    def __init__(self, path, value, expected):
        super().__init__(
            f"{path}: got {_shorten(value)}, expected {expected}", step="decode"
        )


def parse_object(body):
    """Return the JSON object in a body.

    :raises DecodeError: the body isn't a JSON object.
    """
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        raise DecodeError("(body)", bytes(body[:40]), "JSON") from None
    if not isinstance(document, dict):
        raise DecodeError("(body)", document, "an object")
    return document


class Reader:
    """Read and validate the fields of a JSON object.

    The methods return a default, if one is given, for a missing field, and raise
    :class:`DecodeError` for an invalid one.

    :param document: the object.
    :param path: dotted path of the object in the document, for errors.
    """

    def __init__(self, document, path=""):
        if not isinstance(document, dict):
            raise DecodeError(path or "(body)", document, "an object")
        self.document = document
        self.path = path

    def string(self, name, default=_REQUIRED):
        """Return a string."""
        return self._read(name, default, "a text", _is_text)

    def boolean(self, name, default=_REQUIRED):
        """Return a boolean."""
        return self._read(name, default, "a boolean", lambda v: isinstance(v, bool))

    def integer(self, name, default=_REQUIRED):
        """Return an integer of 0 or more."""
        return self._read(
            name,
            default,
            "a whole number from 0 to 2^53",
            lambda v: _is_integer(v) and 0 <= v <= MAX_NUMBER,
        )

    def number(self, name, default=_REQUIRED):
        """Return a number of 0 or more."""
        return self._read(name, default, "a number from 0 to 2^53", _is_number)

    def seconds(self, name, default=_REQUIRED):
        """Return the value in seconds of a field in milliseconds."""
        value = self.number(name, default)
        return value if value is default else value / 1000

    def strings(self, name, default=_REQUIRED):
        """Return a list of strings."""
        return self._read(name, default, "a list of texts", _is_list_of_texts)

    def secrets(self, name, default=_REQUIRED):
        """Return a list of strings that errors don't quote."""
        value = self.document.get(name)
        if value is not None and not _is_list_of_texts(value):
            kind = type(value).__name__
            raise DecodeError(self._path_of(name), kind, "a list of texts")
        return self.strings(name, default)

    def objects(self, name, default=_REQUIRED):
        """Return a list of readers, one for each object of a list."""
        return [
            Reader(row, f"{self._path_of(name)}.{position}")
            for position, row in enumerate(self.list(name, default))
        ]

    def list(self, name, default=_REQUIRED):
        """Return a list of any values."""
        return self._read(name, default, "a list", lambda v: isinstance(v, list))

    def object(self, name):
        """Return a reader of an object, or ``None`` if the field is missing."""
        value = self.document.get(name)
        return None if value is None else Reader(value, self._path_of(name))

    def _read(self, name, default, expected, is_valid):
        value = self.document.get(name)
        if value is None and default is not _REQUIRED:
            return default
        if not is_valid(value):
            raise DecodeError(self._path_of(name), value, expected)
        return value

    def _path_of(self, name):
        return f"{self.path}.{name}" if self.path else name


def _is_text(value):
    """Return whether a value is a text of a usual length that can be encoded."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        # A lone surrogate, which JSON can escape.
        return False
    return True


def _is_list_of_texts(value):
    return isinstance(value, list) and all(map(_is_text, value))


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value):
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    # Comparisons with NaN are false.
    return is_number and 0 <= value <= MAX_NUMBER


def _reject_constant(name):
    raise ValueError(f"{name} is not JSON")


def _shorten(value):
    try:
        text = repr(value)
    except RecursionError:
        text = f"a deeply nested {type(value).__name__}"
    return text if len(text) <= 80 else f"{text[:77]}..."
