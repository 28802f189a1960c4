"""Check the arguments that the daemon accepts."""

import pytest

from banyanshore.daemon.arguments import UsageError, parse_settings_path


@pytest.mark.parametrize("arguments", [["--settings", "a.json"], ["--settings=a.json"]])
def test_path_follows_the_flag(arguments):
    assert parse_settings_path(["banyanshored", *arguments]) == "a.json"


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["--settings"],
        ["--settings", ""],
        ["--settings="],
        ["a.json"],
        ["--settings", "a.json", "b.json"],
        ["--other", "a.json"],
    ],
)
def test_other_arguments_are_rejected_with_the_usage(arguments):
    with pytest.raises(UsageError) as caught:
        parse_settings_path(["banyanshored", *arguments])
    assert "usage: banyanshored --settings FILE" in caught.value.message
