"""Tables of what scores have measured, from the entries in journal/.

    python -m bench.measures [SITE]

prints, for each full score of a site in order of time, worth and prices by
day: the buffer's cost is the price of machines in pools, a roll-out is in
time where no duty was missed.  docs/MEASURES.md holds its output.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import json
from pathlib import Path

from defopt import run

JOURNAL = Path(__file__).parent.parent / "journal"
POOLS_PRICE = "seconds of machines in pools"
MOVES_PRICE = "machines moved"
DUTIES_PRICE = "duties missed"
DRAWN = "fresh"  # days drawn for one score begin so


@dataclass(frozen=True, slots=True)
class Day:
    """What a score says of one day.

    Attributes:
      name: Name of the day.
      worth: Credit less prices.
      served: Share of the credit owed that was earned, before prices.
      upper_mark: What the users call very good.
      pools_s: Seconds of machines in pools that are switched on.
      pools_cost: Their price, in worth.
      moves: Machines that changed their pool.
      duties: Duties missed, among them tenths of waves that were late.
      rules: Names of rules that were broken.
    """

    name: str
    worth: float
    served: float
    upper_mark: float
    pools_s: float
    pools_cost: float
    moves: int
    duties: float
    rules: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Score:
    """One full score of a site.

    Attributes:
      site: Name of the site.
      at: When it began.
      commit: Commit that was measured.
      score: The score.
      days: The days, as they were played.
    """

    site: str
    at: str
    commit: str
    score: float
    days: tuple[Day, ...]


def read_scores(entries: Iterable[dict]) -> list[Score]:
    """Pick the full scores out of journal entries.

    Args:
      entries: Decoded entries of any kind.
    Returns:
      The scores that were played to their end, in order of time.
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
    pools_s, pools_cost = prices.get(POOLS_PRICE, (0.0, 0.0))
    return Day(
        name=row["name"],
        worth=row["G"],
        served=row["served"],
        upper_mark=row["top"] or 0.0,
        pools_s=pools_s,
        pools_cost=pools_cost,
        moves=int(prices.get(MOVES_PRICE, (0, 0))[0]),
        duties=prices.get(DUTIES_PRICE, (0, 0))[0],
        rules=tuple(sorted(row["rules"])),
    )


def worth_table(scores: list[Score]) -> list[str]:
    """Lay out the worth of each standard day, one score a line.

    Args:
      scores: Scores of one site.
    Returns:
      Lines of Markdown; a broken rule stands behind its day's worth.
    """
    days = scores[-1].days
    names = [day.name for day in days if not day.name.startswith(DRAWN)]
    head = ["at", "commit", "score", *names]
    lines = [_row(head), _row(["---"] * len(head))]
    marks = {day.name: day.upper_mark for day in days}
    upper = [f"{marks[name]:.3f}" for name in names]
    lines.append(_row(["upper mark", "", "", *upper]))
    for score in scores:
        by_name = {day.name: day for day in score.days}
        cells = [_worth(by_name.get(name)) for name in names]
        at = score.at[5:16].replace("T", " ")
        lines.append(_row([at, score.commit, f"{score.score:.3f}", *cells]))
    return lines


def cost_table(score: Score) -> list[str]:
    """Lay out what the days of a score cost, one day a line.

    Args:
      score: The score.
    Returns:
      Lines of Markdown.
    """
    head = ["day", "served", "machine-seconds", "price", "moves", "duties"]
    lines = [_row(head), _row(["---"] * len(head))]
    for day in score.days:
        lines.append(
            _row(
                [
                    day.name,
                    f"{day.served:.3f}",
                    f"{day.pools_s:.0f}",
                    f"{day.pools_cost:.3f}",
                    str(day.moves),
                    f"{day.duties:g}",
                ]
            )
        )
    return lines


def _worth(day: Day | None) -> str:
    if day is None:
        return ""
    broken = f" ({', '.join(day.rules)})" if day.rules else ""
    return f"{day.worth:.3f}{broken}"


def _row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def main(site: str = "") -> None:
    """Print the tables of one site or of all.

    Args:
      site: Name of the site; all where it is left out.
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
