"""Tables of benchmark scores, built from the entries in journal/.

    python -m bench.measures [SITE]

prints, for each complete score of a site in order of time, the worth of
each day and what the latest score's days cost.  The price of machines in
pools is the cost of spare capacity; a roll-out was on time if no duty was
missed.  docs/MEASURES.md holds the output.
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
RANDOM_DAY_PREFIX = "fresh"  # names of days generated for a single score


@dataclass(frozen=True, slots=True)
class Day:
    """Result of one simulated day within a score.

    Attributes:
      name: Name of the day.
      worth: Credit earned less prices, as the users' bench reports it.
      served: Fraction of the possible credit that was earned, before prices.
      upper_mark: Worth that the users rate as very good.
      machine_s: Machine-seconds of the switched-on machines in pools.
      machine_cost: Price of these machine-seconds, in credit.
      moves: Number of machines that changed their pool.
      missed_duties: Number of missed duties; late waves count in tenths.
      broken_rules: Names of the broken rules.
    """

    name: str
    worth: float
    served: float
    upper_mark: float
    machine_s: float
    machine_cost: float
    moves: int
    missed_duties: float
    broken_rules: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Score:
    """One complete score of a site.

    Attributes:
      site: Name of the site.
      at: Start time in ISO 8601.
      commit: Abbreviated hash of the measured commit.
      score: Total score.
      days: Results of the days, in the order of the runs.
    """

    site: str
    at: str
    commit: str
    score: float
    days: tuple[Day, ...]


def read_scores(entries: Iterable[dict]) -> list[Score]:
    """Extract the complete scores from journal entries.

    Args:
      entries: Decoded journal entries of any kind.
    Returns:
      The scores whose runs finished, in order of time.
    """
    scores = [
        Score(
            site=entry["site"],
            at=entry["at"][0],
            commit=entry["head"][:7],
            score=entry["score"],
            days=tuple(map(_read_day, entry["days"])),
        )
        for entry in entries
        if entry["cmd"] == "score" and entry["score"] is not None
    ]
    return sorted(scores, key=lambda score: score.at)


def _read_day(row: dict) -> Day:
    prices = {name: (count, cost) for name, count, cost in row["prices"]}
    machine_s, machine_cost = prices.get(MACHINE_TIME_PRICE, (0.0, 0.0))
    return Day(
        name=row["name"],
        worth=row["G"],
        served=row["served"],
        upper_mark=row["top"] or 0.0,
        machine_s=machine_s,
        machine_cost=machine_cost,
        moves=int(prices.get(MOVES_PRICE, (0, 0))[0]),
        missed_duties=prices.get(DUTIES_PRICE, (0, 0))[0],
        broken_rules=tuple(sorted(row["rules"])),
    )


def worth_table(scores: list[Score]) -> list[str]:
    """Format the worth of each standard day, one score per line.

    Args:
      scores: Scores of one site, the latest last.
    Returns:
      Lines of Markdown; broken rules follow the worth in parentheses.
    """
    days = scores[-1].days
    names = [
        day.name for day in days if not day.name.startswith(RANDOM_DAY_PREFIX)
    ]
    head = ["at", "commit", "score", *names]
    lines = [_format_row(head), _format_row(["---"] * len(head))]
    marks = {day.name: day.upper_mark for day in days}
    upper = [f"{marks[name]:.3f}" for name in names]
    lines.append(_format_row(["upper mark", "", "", *upper]))
    for score in scores:
        by_name = {day.name: day for day in score.days}
        cells = [_format_worth(by_name.get(name)) for name in names]
        at = score.at[5:16].replace("T", " ")
        lines.append(
            _format_row([at, score.commit, f"{score.score:.3f}", *cells])
        )
    return lines


def cost_table(score: Score) -> list[str]:
    """Format the costs of a score, one day per line.

    Args:
      score: The score.
    Returns:
      Lines of Markdown.
    """
    head = ["day", "served", "machine-seconds", "price", "moves", "duties"]
    lines = [_format_row(head), _format_row(["---"] * len(head))]
    for day in score.days:
        lines.append(
            _format_row(
                [
                    day.name,
                    f"{day.served:.3f}",
                    f"{day.machine_s:.0f}",
                    f"{day.machine_cost:.3f}",
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
    scores = read_scores(entries)
    for name in sorted({score.site for score in scores}):
        if site in ("", name):
            own = [score for score in scores if score.site == name]
            lines = [f"## {name}", "", *worth_table(own), ""]
            lines += [f"Latest, {own[-1].commit}:", "", *cost_table(own[-1])]
            print("\n".join([*lines, ""]))


if __name__ == "__main__":
    run(main)
