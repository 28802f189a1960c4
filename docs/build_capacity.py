"""Fill the tables of docs/CAPACITY.md from the reports of the benchmarks.

A table stands between ``<!-- REPORT: TITLE -->`` and ``<!-- end -->``; what is over its
bound stands after ``<!-- over -->``.
"""

import json
import re
from pathlib import Path

from benchmarks.report import RESULTS, show, to_table

PATH = Path(__file__).resolve().parent / "CAPACITY.md"
_BLOCK = re.compile(r"<!-- (?P<what>[^>]+) -->\n.*?<!-- end -->", re.DOTALL)


def build(text):
    """Return the page with its tables filled anew."""
    return _BLOCK.sub(_fill, text)


def _fill(match):
    what = match["what"]
    lines = _over_budget() if what == "over" else _table(*what.split(": ", 1))
    return "\n".join([f"<!-- {what} -->", "", *lines, "", "<!-- end -->"])


def _read(report):
    return json.loads((RESULTS / f"{report}.json").read_text())


def _table(report, title):
    return to_table(_read(report)["tables"][title])


def _over_budget():
    rows = [
        f"- **{bound['name']}: {show(bound['figure'])}** against {bound['target']}."
        for bound in _read("capacity")["bounds"]
        if bound["figure"] > bound["limit"]
    ]
    return rows or ["Nothing is over its bound."]


if __name__ == "__main__":
    PATH.write_text(build(PATH.read_text()))
