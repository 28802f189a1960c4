"""Start the daemon in this process, with signals during its imports.

The arguments are the settings file and the numbers of the signals.
"""

import importlib.abc
import os
import runpy
import sys

# The first third-party packages that the daemon imports.
FIRST_IMPORTS = frozenset({"absl", "anyio", "yaml"})


class SignalsAtImport(importlib.abc.MetaPathFinder):
    """Send signals to this process when the first of the packages is imported."""

    def __init__(self, numbers):
        self._numbers = numbers

    def find_spec(self, name, path=None, target=None):
        if name in FIRST_IMPORTS:
            numbers, self._numbers = self._numbers, ()
            for number in numbers:
                os.kill(os.getpid(), number)
        return None


if __name__ == "__main__":
    _, settings_path, *signal_numbers = sys.argv
    sys.meta_path.insert(0, SignalsAtImport([int(text) for text in signal_numbers]))
    sys.argv = ["banyanshored", "--settings", settings_path]
    runpy.run_module("banyanshore.daemon", run_name="__main__", alter_sys=True)
