"""Renders the result of a measurement as Markdown with a table and plots."""

import dataclasses
import math
import pathlib
from collections.abc import Sequence

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

OUTPUT = (
    pathlib.Path(__file__).resolve().parent.parent / "docs" / "measurements"
)
PLOT_INCHES = (7.6, 3.4)
PLOT_DPI = 72


@dataclasses.dataclass(frozen=True, slots=True)
class BarChart:
    """A bar chart with one group of bars for each label.

    Attributes:
        name: Name of the image file without its suffix.
        title: Title of the chart.
        unit: Label of the value axis.
        labels: Label of each group.
        series: Values of each series by its name, one value for each label.
        logarithmic: Whether the value axis is logarithmic.
    """

    name: str
    title: str
    unit: str
    labels: Sequence[str]
    series: dict[str, Sequence[float]]
    logarithmic: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of one measurement.

    Attributes:
        name: Name of the page's file without its suffix.
        title: Heading of the page.
        description: Description of the experiment in a few sentences.
        header: Column names of the table.
        rows: Cells of each row of the table.
        conclusions: Sentences that interpret the ratios, one for each item.
        plots: Charts, written to the directory of the page.
    """

    name: str
    title: str
    description: str
    header: Sequence[str]
    rows: Sequence[Sequence[str]]
    conclusions: Sequence[str]
    plots: Sequence[BarChart] = ()


def format_number(value: float, digits: int = 1) -> str:
    """Returns a number for a table; a dash for NaN."""
    return "-" if math.isnan(value) else f"{value:,.{digits}f}"


def compare_with_goal(
    name: str, ratio: float, goal: float, at_least: bool
) -> str:
    """Returns a sentence that says whether a ratio meets its goal.

    Args:
        name: Name of the ratio.
        ratio: Measured ratio.
        goal: Limit for the ratio.
        at_least: Whether the goal is a lower limit rather than an upper one.
    """
    met = ratio >= goal if at_least else ratio <= goal
    bound = "at least" if at_least else "at most"
    verdict = "met" if met else "missed"
    return f"{name}: {ratio:.2f}, goal {bound} {goal:.2f}: {verdict}."


def compare_policies(name: str, standard: float, baseline: float) -> str:
    """Returns a sentence that compares both policy sets by one figure.

    Args:
        name: Name of the figure, for which less is better.
        standard: Value with the standard policies.
        baseline: Value with the baseline policies.
    """
    if math.isnan(standard) or math.isnan(baseline) or not baseline:
        return f"{name}: no ratio, one of the figures is missing."
    ratio = standard / baseline
    verdict = "better" if ratio < 1 else "not better"
    return (
        f"{name}: standard / baseline = {ratio:.2f}; the standard policy is"
        f" {verdict}."
    )


def render_page(report: Report, environment: str) -> str:
    """Returns the page of a report as Markdown."""
    table_rows = [report.header, ["---"] * len(report.header), *report.rows]
    table = "\n".join(f"| {' | '.join(cells)} |" for cells in table_rows)
    images = "\n".join(
        f"![{chart.title}]({chart.name}.png)" for chart in report.plots
    )
    conclusions = "\n".join(f"- {sentence}" for sentence in report.conclusions)
    parts = [f"# {report.title}", environment, report.description, table]
    parts += [part for part in (images, conclusions) if part]
    return "\n\n".join(parts) + "\n"


def draw_chart(chart: BarChart, directory: pathlib.Path) -> None:
    """Writes a bar chart to a PNG file in a directory."""
    figure, axes = plt.subplots(figsize=PLOT_INCHES)
    width = 0.8 / len(chart.series)
    for index, (name, values) in enumerate(chart.series.items()):
        positions = [
            group + (index - (len(chart.series) - 1) / 2) * width
            for group in range(len(chart.labels))
        ]
        axes.bar(positions, list(values), width, label=name)
    axes.set_xticks(range(len(chart.labels)), chart.labels, fontsize=6)
    axes.set_ylabel(chart.unit)
    axes.set_title(chart.title, fontsize=10)
    if chart.logarithmic:
        axes.set_yscale("log")
    # The bars may be as high as the axis, so the legend is outside the axes.
    axes.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1, 1))
    figure.tight_layout()
    figure.savefig(
        directory / f"{chart.name}.png",
        dpi=PLOT_DPI,
        metadata={"Software": None},
    )
    plt.close(figure)


def write_page(
    report: Report, environment: str, directory: pathlib.Path = OUTPUT
) -> None:
    """Writes the page and its charts to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    page = directory / f"{report.name}.md"
    page.write_text(render_page(report, environment))
    for chart in report.plots:
        draw_chart(chart, directory)
