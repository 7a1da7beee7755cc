"""The course of one job, put together from the log lines of all nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
import re

LINE = re.compile(
    r"(?P<prefix>.*?)(?P<time>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) "
    r"(?P<level>[A-Z]+) (?P<number>\d{3}) (?P<text>.*)"
)
WORKER = re.compile(r"\bworker=(\S+)")
BELIEF_NUMBERS = frozenset((630, 631, 632, 640, 641, 643, 644))
WORKER_NUMBERS = frozenset((620, 621, 622, 623))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One numbered line of a node's log.

    Attributes:
      time: Time of day as it was written, which sorts as text.
      node: Where it was written: its file, or what stands before the time.
      number: Number of the event.
      text: Name of the event and its values.
    """

    time: str
    node: str
    number: int
    text: str


def parse_lines(lines: Iterable[str], node: str) -> Iterable[LogLine]:
    """Parse numbered lines; others are passed over.

    Args:
      lines: Lines of a log.
      node: Name that is shown where a line has none of its own.
    Yields:
      The numbered lines, in order.
    """
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        words = match["prefix"].split()
        yield LogLine(
            time=match["time"],
            node=words[-1] if words else node,
            number=int(match["number"]),
            text=match["text"].rstrip(),
        )


def explain_job(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    """Choose the lines that tell what became of a job, and why.

    These are the lines that name the job or a task of it; and, for the time
    between the first and the last of them, those on the leader, on logs that
    could not be read, and on the workers that its tasks ran on.

    Args:
      lines: Lines of all nodes.
      job_id: Identifier of the job.
    Returns:
      The lines by time; none where no line names the job.
    """
    ordered = sorted(lines, key=lambda line: (line.time, line.node))
    named = [line for line in ordered if job_id in line.text]
    if not named:
        return []
    first, last = named[0].time, named[-1].time
    workers = {
        worker for line in named for worker in WORKER.findall(line.text)
    }
    return [
        line
        for line in ordered
        if job_id in line.text
        or (first <= line.time <= last and _is_context(line, workers))
    ]


def _is_context(line: LogLine, workers: set[str]) -> bool:
    """Tell whether a line may be the cause of what became of a job."""
    if line.number in BELIEF_NUMBERS:
        return True
    if line.number not in WORKER_NUMBERS:
        return False
    return not workers.isdisjoint(WORKER.findall(line.text))
