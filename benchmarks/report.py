"""Reports of benchmarks: tables, slopes, bounds, and their output as Markdown."""

import json
import math
import statistics
from dataclasses import dataclass, field
from pathlib import Path

RESULTS = Path(__file__).resolve().parent / "results"


@dataclass(frozen=True)
class Bound:
    """A measured figure and its bound.

    :param target: the source of the bound.
    :param at_least: whether the bound is a lower one.
    """

    name: str
    figure: float
    limit: float
    target: str
    at_least: bool = False

    @property
    def holds(self):
        """Return whether the figure is within the bound."""
        if self.at_least:
            return self.figure >= self.limit
        return self.figure <= self.limit


@dataclass
class Report:
    """The results of one benchmark.

    :param tables: title to rows of cells, of which the first holds the column heads.
    """

    name: str
    tables: dict = field(default_factory=dict)
    bounds: list = field(default_factory=list)
    notes: list = field(default_factory=list)

    def add_row(self, title, heads, *cells):
        """Add a row to a table."""
        self.tables.setdefault(title, [list(heads)]).append(list(cells))

    def add_bound(self, name, figure, limit, target, at_least=False):
        """Add a figure and its bound."""
        self.bounds.append(Bound(name, figure, limit, target, at_least))

    @property
    def holds(self):
        """Return whether all bounds hold."""
        return all(bound.holds for bound in self.bounds)

    def to_markdown(self):
        """Return the tables, bounds and notes as Markdown."""
        lines = [f"# {self.name}", ""]
        for note in self.notes:
            lines += [note, ""]
        for title, rows in self.tables.items():
            lines += [f"## {title}", "", *to_table(rows), ""]
        if self.bounds:
            rows = [["figure", "measured", "bound", "from", "holds"]]
            for bound in self.bounds:
                sign = ">=" if bound.at_least else "<="
                rows.append(
                    [
                        bound.name,
                        show(bound.figure),
                        f"{sign} {show(bound.limit)}",
                        bound.target,
                        "yes" if bound.holds else "NO",
                    ]
                )
            lines += ["## Bounds", "", *to_table(rows), ""]
        return "\n".join(lines)

    def save(self):
        """Write the report to the results folder as Markdown and JSON."""
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / f"{self.name}.md").write_text(self.to_markdown())
        document = {"tables": self.tables, "bounds": [vars(b) for b in self.bounds]}
        (RESULTS / f"{self.name}.json").write_text(json.dumps(document, indent=1))


@dataclass(frozen=True)
class Slope:
    """A line fitted by least squares.

    :param spread: standard error of the slope.
    """

    slope: float
    intercept: float
    spread: float


def fit_slope(xs, ys):
    """Return the :class:`Slope` of some points.

    >>> fit_slope([0, 1, 2], [1, 3, 5]).slope
    2.0
    """
    fitted = statistics.linear_regression(xs, ys)
    residuals = [
        y - (fitted.slope * x + fitted.intercept) for x, y in zip(xs, ys, strict=True)
    ]
    mean = statistics.fmean(xs)
    squared_deviations = sum((x - mean) ** 2 for x in xs)
    degrees_of_freedom = max(1, len(xs) - 2)
    spread = math.sqrt(
        sum(r * r for r in residuals) / degrees_of_freedom / squared_deviations
    )
    return Slope(fitted.slope, fitted.intercept, spread)


def to_table(rows):
    """Return rows as the lines of a Markdown table."""
    lines = ["| " + " | ".join(show(cell) for cell in row) + " |" for row in rows]
    lines.insert(1, "|" + " --- |" * len(rows[0]))
    return lines


def show(value):
    """Return a figure as short text.

    >>> show(0.123456), show(1234567.0)
    ('0.123', '1,234,567')
    """
    if isinstance(value, float):
        if value != 0 and abs(value) < 0.01:
            return f"{value:.2g}"
        if abs(value) >= 1000:
            return f"{value:,.0f}"
        return f"{value:.3f}" if abs(value) < 10 else f"{value:.5g}"
    if isinstance(value, int) and not isinstance(value, bool):
        return f"{value:,}"
    return str(value)
