"""Read KNOWN-RED.txt, the list of known failing tests, and print it."""

import sys
from pathlib import Path

PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the fields of each row of the file as a list, node id first."""
    rows = []
    for line in PATH.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            rows.append([part.strip() for part in line.split("|")])
    return rows


def main():
    """Print the tests that are deselected as known failures."""
    rows = read_known_red()
    for row in rows:
        sys.stdout.write("known red, passed over: " + " | ".join(row) + "\n")
    if not rows:
        sys.stdout.write("no test is known to be red\n")


if __name__ == "__main__":
    main()
