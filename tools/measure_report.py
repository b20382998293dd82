"""Result of one measurement: a table, plots and conclusions in Markdown."""

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
class Bars:
    """A plot with one group of bars for each label.

    Attributes:
        name: Name of the file without its suffix.
        title: Title.
        unit: Label of the value axis.
        labels: One for each group.
        series: Values of each series, one for each label.
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
    """One measurement.

    Attributes:
        name: Name of the file without its suffix.
        title: Heading.
        setting: What was run, in a sentence or two.
        header: Column names of the table.
        lines: Cells of the table.
        conclusions: What the ratios say.
        plots: Plots, written beside the page.
    """

    name: str
    title: str
    setting: str
    header: Sequence[str]
    lines: Sequence[Sequence[str]]
    conclusions: Sequence[str]
    plots: Sequence[Bars] = ()


def format_number(value: float, digits: int = 1) -> str:
    """Returns a number for a table; a dash for NaN."""
    return "-" if math.isnan(value) else f"{value:,.{digits}f}"


def judge(name: str, ratio: float, wanted: float, at_least: bool) -> str:
    """Returns a sentence that compares a ratio with its aim."""
    met = ratio >= wanted if at_least else ratio <= wanted
    bound = "at least" if at_least else "at most"
    verdict = "met" if met else "missed"
    return f"{name}: {ratio:.2f}, aim {bound} {wanted:.2f}: {verdict}."


def compare(name: str, standard: float, baseline: float) -> str:
    """Returns a sentence on a figure where less is better."""
    if math.isnan(standard) or math.isnan(baseline) or not baseline:
        return f"{name}: no ratio, one of the figures is missing."
    ratio = standard / baseline
    word = "better" if ratio < 1 else "not better"
    return (
        f"{name}: standard / baseline = {ratio:.2f}; the standard policy is"
        f" {word}."
    )


def render(report: Report, environment: str) -> str:
    """Returns the page."""
    rows = [report.header, ["---"] * len(report.header), *report.lines]
    table = "\n".join(f"| {' | '.join(cells)} |" for cells in rows)
    images = "\n".join(
        f"![{item.title}]({item.name}.png)" for item in report.plots
    )
    conclusions = "\n".join(f"- {item}" for item in report.conclusions)
    parts = [f"# {report.title}", environment, report.setting, table]
    parts += [item for item in (images, conclusions) if item]
    return "\n\n".join(parts) + "\n"


def draw(bars: Bars, directory: pathlib.Path) -> None:
    """Writes a plot."""
    figure, axes = plt.subplots(figsize=PLOT_INCHES)
    width = 0.8 / len(bars.series)
    for number, (name, values) in enumerate(bars.series.items()):
        places = [
            at + (number - (len(bars.series) - 1) / 2) * width
            for at in range(len(bars.labels))
        ]
        axes.bar(places, list(values), width, label=name)
    axes.set_xticks(range(len(bars.labels)), bars.labels, fontsize=6)
    axes.set_ylabel(bars.unit)
    axes.set_title(bars.title, fontsize=10)
    if bars.logarithmic:
        axes.set_yscale("log")
    # Beside the bars, which may be as high as the axis.
    axes.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1, 1))
    figure.tight_layout()
    figure.savefig(
        directory / f"{bars.name}.png",
        dpi=PLOT_DPI,
        metadata={"Software": None},
    )
    plt.close(figure)


def write(
    report: Report, environment: str, directory: pathlib.Path = OUTPUT
) -> None:
    """Writes the page and its plots."""
    directory.mkdir(parents=True, exist_ok=True)
    page = directory / f"{report.name}.md"
    page.write_text(render(report, environment))
    for bars in report.plots:
        draw(bars, directory)
