"""Tables of benchmark runs, built from the entries in journal/.

    python -m bench.measures [SITE]

prints, for each complete run of the benchmark at a site in order of time, its
score and the worth of each simulated day, and then the prices of the days of
the latest run.  docs/MEASURES.md holds the output.

The worth of a day is the credit that it earned less prices.  The price of
machines in pools is that of spare capacity.  A duty is a maintenance wave with
a deadline, such as the roll-out of an image.  Missed duties have a price: each
tenth of a wave that is late counts as one.  A roll-out was on time if no duty
was missed.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import json
from pathlib import Path

from defopt import run

JOURNAL = Path(__file__).parent.parent / "journal"
MACHINE_TIME_PRICE = "seconds of machines in pools"
MOVES_PRICE = "machines moved"
DUTIES_PRICE = "duties missed"
RANDOM_DAY_PREFIX = "fresh"  # names of days generated for a single run


@dataclass(frozen=True, slots=True)
class Day:
    """Result of one simulated day within a run of the benchmark.

    Attributes:
      name: Name of the day.
      worth: Credit earned less prices, as the users' bench reports it.
      served: Fraction of the possible credit that was earned, before prices.
      upper_mark: Worth that the users rate as very good.
      machine_s: Machine-seconds of the switched-on machines in pools.
      machine_price: Price of these machine-seconds, in credit.
      moves: Number of machines that changed their pool.
      missed_duties: Number of missed duties; each late tenth of a wave counts
        as one.
      broken_rules: Names of the broken rules.
    """

    name: str
    worth: float
    served: float
    upper_mark: float
    machine_s: float
    machine_price: float
    moves: int
    missed_duties: float
    broken_rules: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BenchmarkRun:
    """One complete run of the benchmark at a site.

    Attributes:
      site: Name of the site.
      at: Start time in ISO 8601.
      commit: Abbreviated hash of the measured commit.
      score: Total score of the run.
      days: Results of the days, in the order in which they were simulated.
    """

    site: str
    at: str
    commit: str
    score: float
    days: tuple[Day, ...]


def read_runs(entries: Iterable[dict]) -> list[BenchmarkRun]:
    """Extract the complete runs of the benchmark from journal entries.

    Args:
      entries: Decoded journal entries of any kind.
    Returns:
      The runs that finished with a score, in order of time.
    """
    runs = [
        BenchmarkRun(
            site=entry["site"],
            at=entry["at"][0],
            commit=entry["head"][:7],
            score=entry["score"],
            days=tuple(map(_read_day, entry["days"])),
        )
        for entry in entries
        if entry["cmd"] == "score" and entry["score"] is not None
    ]
    return sorted(runs, key=lambda benchmark_run: benchmark_run.at)


def _read_day(row: dict) -> Day:
    prices = {name: (count, price) for name, count, price in row["prices"]}
    machine_s, machine_price = prices.get(MACHINE_TIME_PRICE, (0.0, 0.0))
    return Day(
        name=row["name"],
        worth=row["G"],
        served=row["served"],
        upper_mark=row["top"] or 0.0,
        machine_s=machine_s,
        machine_price=machine_price,
        moves=int(prices.get(MOVES_PRICE, (0, 0))[0]),
        missed_duties=prices.get(DUTIES_PRICE, (0, 0))[0],
        broken_rules=tuple(sorted(row["rules"])),
    )


def worth_table(runs: list[BenchmarkRun]) -> list[str]:
    """Format the worth of each standard day, one run per line.

    Args:
      runs: Runs at one site, the latest last.
    Returns:
      Lines of Markdown; broken rules follow the worth in parentheses.
    """
    days = runs[-1].days
    names = [
        day.name for day in days if not day.name.startswith(RANDOM_DAY_PREFIX)
    ]
    head = ["at", "commit", "score", *names]
    lines = [_format_row(head), _format_row(["---"] * len(head))]
    marks = {day.name: day.upper_mark for day in days}
    upper = [f"{marks[name]:.3f}" for name in names]
    lines.append(_format_row(["upper mark", "", "", *upper]))
    for benchmark_run in runs:
        by_name = {day.name: day for day in benchmark_run.days}
        cells = [_format_worth(by_name.get(name)) for name in names]
        at = benchmark_run.at[5:16].replace("T", " ")
        lines.append(
            _format_row(
                [
                    at,
                    benchmark_run.commit,
                    f"{benchmark_run.score:.3f}",
                    *cells,
                ]
            )
        )
    return lines


def price_table(benchmark_run: BenchmarkRun) -> list[str]:
    """Format the prices of a run's days, one day per line.

    Args:
      benchmark_run: The run.
    Returns:
      Lines of Markdown.
    """
    head = ["day", "served", "machine-seconds", "price", "moves", "duties"]
    lines = [_format_row(head), _format_row(["---"] * len(head))]
    for day in benchmark_run.days:
        lines.append(
            _format_row(
                [
                    day.name,
                    f"{day.served:.3f}",
                    f"{day.machine_s:.0f}",
                    f"{day.machine_price:.3f}",
                    str(day.moves),
                    f"{day.missed_duties:g}",
                ]
            )
        )
    return lines


def _format_worth(day: Day | None) -> str:
    if day is None:
        return ""
    note = f" ({', '.join(day.broken_rules)})" if day.broken_rules else ""
    return f"{day.worth:.3f}{note}"


def _format_row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def main(site: str = "") -> None:
    """Print the tables of one site or of all sites.

    Args:
      site: Name of the site; all sites by default.
    """
    entries = [
        json.loads(path.read_bytes()) for path in JOURNAL.glob("*.json")
    ]
    runs = read_runs(entries)
    for name in sorted({benchmark_run.site for benchmark_run in runs}):
        if site in ("", name):
            own = [
                benchmark_run
                for benchmark_run in runs
                if benchmark_run.site == name
            ]
            lines = [f"## {name}", "", *worth_table(own), ""]
            lines += [f"Latest, {own[-1].commit}:", "", *price_table(own[-1])]
            print("\n".join([*lines, ""]))


if __name__ == "__main__":
    run(main)
