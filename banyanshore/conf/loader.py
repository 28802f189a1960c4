"""Load settings from YAML or JSON into the data class of the role."""

import dataclasses
import json
import types
import typing

from banyanshore.conf.checks import (
    CHECK_BY_KIND,
    CheckMessage,
    SettingsError,
    check_entries,
)
from banyanshore.conf.settings import SETTINGS_BY_ROLE

_EXPECTED_BY_TYPE = {
    bool: "true or false",
    int: "an integer",
    float: "a number",
    str: "a string",
}


def load_settings(path):
    """Return the checked settings from a file in YAML or JSON.

    :raises SettingsError: with every problem found.
    """
    return parse_settings(read_yaml(path), path)


def read_yaml(path):
    """Return the content of a file in YAML or JSON, unchecked.

    :raises SettingsError: the file can't be read or parsed.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            text = stream.read()
    except OSError as error:
        problem = _unreadable_file(
            path, error.strerror, "Check the path and its permissions."
        )
        raise SettingsError([problem], path) from None
    except UnicodeDecodeError as error:
        raise _syntax_error(path, error) from None
    try:
        return json.loads(text)
    except ValueError:
        return _parse_yaml(text, path)


def _parse_yaml(text, path):
    # Imported only for files in YAML, since it takes a tenth of the time of a start.
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise _syntax_error(path, error) from None


def _syntax_error(path, error):
    detail = " ".join(str(error).split())
    problem = _unreadable_file(path, detail, "Fix the YAML syntax at that position.")
    return SettingsError([problem], path)


def parse_document(cls, document, source):
    """Return an instance of a data class, built from an unchecked document.

    :param cls: data class whose fields are defined with :func:`setting`.
    :param source: name of the document in error messages.
    :raises SettingsError: with every problem found.
    """
    _check_is_mapping(document, source)
    problems = []
    parsed = _parse_mapping(cls, document, "", problems)
    if problems:
        raise SettingsError(problems, source)
    return parsed


def parse_settings(document, source="settings"):
    """Return the checked settings from an unchecked document.

    :param document: mapping as loaded from YAML.
    :param source: name of the document in error messages.
    :raises SettingsError: with every problem found.
    """
    _check_is_mapping(document, source)
    role = document.get("role")
    settings_class = SETTINGS_BY_ROLE.get(role) if isinstance(role, str) else None
    if settings_class is None:
        problem = CheckMessage(
            "banyanshore.E001",
            "role",
            role,
            f"one of {', '.join(SETTINGS_BY_ROLE)}",
            "Set the role of this process.",
        )
        raise SettingsError([problem], source)
    problems = []
    settings = _parse_mapping(settings_class, document, "", problems)
    field_names = {field.name for field in dataclasses.fields(settings_class)}
    if not problems and "entries" in field_names:
        problems.extend(check_entries(settings))
    if problems:
        raise SettingsError(problems, source)
    return settings


def _check_is_mapping(document, source):
    if not isinstance(document, dict):
        problem = CheckMessage(
            "banyanshore.E002",
            "(top)",
            document,
            "a mapping of settings",
            "See docs/reference/settings.md.",
        )
        raise SettingsError([problem], source)


def _unreadable_file(path, detail, hint):
    return CheckMessage(
        "banyanshore.E011", str(path), detail, "a readable YAML file", hint
    )


def _parse_mapping(cls, document, prefix, problems):
    fields = {field.name: field for field in dataclasses.fields(cls)}
    types_by_name = typing.get_type_hints(cls)
    for key in document:
        if key not in fields:
            problems.append(
                CheckMessage(
                    "banyanshore.E003",
                    f"{prefix}{key}",
                    document[key],
                    f"one of {', '.join(sorted(fields))}",
                    "Remove the key or correct its spelling.",
                )
            )
    values = {}
    for name, field in fields.items():
        key_path = f"{prefix}{name}"
        if name in document:
            values[name] = _parse_value(
                types_by_name[name], document[name], key_path, field, problems
            )
        elif _is_required(field):
            problems.append(
                CheckMessage(
                    "banyanshore.E004",
                    key_path,
                    None,
                    "a value",
                    field.metadata["help"],
                )
            )
    return None if problems else cls(**values)


def _is_required(field):
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _parse_value(expected_type, value, key_path, field, problems):
    if dataclasses.is_dataclass(expected_type):
        if not isinstance(value, dict):
            problems.append(_wrong_type(key_path, value, "a mapping"))
            return None
        return _parse_mapping(expected_type, value, f"{key_path}.", problems)
    if isinstance(expected_type, types.GenericAlias):
        parse = _parse_dict if typing.get_origin(expected_type) is dict else _parse_list
        return parse(expected_type, value, key_path, field, problems)
    if expected_type is float and type(value) is int:
        value = float(value)
    if type(value) is not expected_type:
        problems.append(_wrong_type(key_path, value, _EXPECTED_BY_TYPE[expected_type]))
        return None
    problems.extend(_check_value(value, key_path, field.metadata))
    return value


def _parse_list(expected_type, value, key_path, field, problems):
    if not isinstance(value, list):
        problems.append(_wrong_type(key_path, value, "a list"))
        return ()
    (element_type,) = typing.get_args(expected_type)
    return tuple(
        _parse_value(element_type, element, f"{key_path}.{position}", field, problems)
        for position, element in enumerate(value)
    )


def _parse_dict(expected_type, value, key_path, field, problems):
    if not isinstance(value, dict):
        problems.append(_wrong_type(key_path, value, "a mapping"))
        return {}
    _, value_type = typing.get_args(expected_type)
    return {
        str(key): _parse_value(
            value_type, element, f"{key_path}.{key}", field, problems
        )
        for key, element in value.items()
    }


def _wrong_type(key_path, value, expected):
    return CheckMessage(
        "banyanshore.E002", key_path, value, expected, "Check quoting and indentation."
    )


def _check_value(value, key_path, metadata):
    if metadata["choices"] and value not in metadata["choices"]:
        yield CheckMessage(
            "banyanshore.E012",
            key_path,
            value,
            f"one of {', '.join(metadata['choices'])}",
            metadata["help"],
        )
    minimum = metadata["minimum"]
    # Not ``value < minimum``, which would accept NaN.
    if minimum is not None and not value >= minimum:
        yield CheckMessage(
            "banyanshore.E013",
            key_path,
            value,
            f"{minimum} or more",
            metadata["help"],
        )
    check = CHECK_BY_KIND.get(metadata["kind"])
    if check is not None and value:
        yield from check(value, key_path)
