"""Arguments of the daemon."""

from banyanshore.core.exceptions import BanyanshoreError

USAGE = "usage: banyanshored --settings FILE"


class UsageError(BanyanshoreError):
    """Signal arguments that the daemon doesn't accept."""


def parse_settings_path(argv):
    """Return the path of the settings file from the arguments.

    :param argv: the arguments, with the name of the program first.
    :raises UsageError: no file is named, or there are other arguments.
    """
    match argv[1:]:
        case ["--settings", path] if path:
            return path
    return _parse_flags(argv)


def _parse_flags(argv):
    # Imported only for other arguments, since it takes a tenth of the time of a start.
    from absl import flags

    values = flags.FlagValues()
    flags.DEFINE_string("settings", None, "YAML settings file.", flag_values=values)
    try:
        positional = values(argv)
    except flags.Error as error:
        raise UsageError(f"{error}; {USAGE}") from None
    if len(positional) > 1 or not values.settings:
        raise UsageError(USAGE)
    return values.settings
