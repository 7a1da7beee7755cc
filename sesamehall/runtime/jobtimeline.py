"""The timeline of one job, assembled from the log lines of all nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
import re

LINE_PATTERN = re.compile(
    r"(?P<prefix>.*?)(?P<time>\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) "
    r"(?P<level>[A-Z]+) (?P<number>\d{3}) (?P<text>.*)"
)
WORKER_PATTERN = re.compile(r"\bworker=(\S+)")
# Events about the leadership, store access and readiness of nodes.
END_PATTERN = re.compile(r"\bworker=(\S+) .*\bseq=(\d+)")
STORED_ENDS_PATTERN = re.compile(r"\bends=(\S+)")
RUN_ENDED_NUMBER = 612
RECORDS_STORED_NUMBER = 645
NODE_EVENT_NUMBERS = frozenset(
    (630, 631, 632, 637, 638, 640, 641, 643, 644, 646, 647)
)
WORKER_EVENT_NUMBERS = frozenset((620, 621, 622, 623, 624, 626, 628, 629, 657))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One numbered line of a node's log.

    Attributes:
      time: Timestamp as written, which sorts chronologically as text.
      node: The node that wrote it: the last word before the timestamp, or
        the name of the file.
      number: Number of the event.
      text: Name of the event and its values.
    """

    time: str
    node: str
    number: int
    text: str


def parse_lines(lines: Iterable[str], node: str) -> Iterable[LogLine]:
    """Parse numbered lines; others are skipped.

    Args:
      lines: Lines of a log.
      node: Node name for lines without a prefix.
    Yields:
      The numbered lines, in order.
    """
    for line in lines:
        match = LINE_PATTERN.match(line)
        if match is None:
            continue
        words = match["prefix"].split()
        yield LogLine(
            time=match["time"],
            node=words[-1] if words else node,
            number=int(match["number"]),
            text=match["text"].rstrip(),
        )


def build_timeline(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    """Select the lines that show what happened to a job, and why.

    These are the lines that contain the job ID.  Between the first and the
    last of them, events about the leadership, store access and readiness of
    nodes, and about the workers that ran its tasks, are included as well.
    So is the first write that covers each reported end of a run, which is
    what acknowledges it.

    Args:
      lines: Lines of all nodes.
      job_id: Identifier of the job.
    Returns:
      The lines in chronological order; empty if no line names the job.
    """
    ordered = sorted(lines, key=lambda line: (line.time, line.node))
    job_lines = [line for line in ordered if job_id in line.text]
    if not job_lines:
        return []
    first, last = job_lines[0].time, job_lines[-1].time
    workers = {
        worker
        for line in job_lines
        for worker in WORKER_PATTERN.findall(line.text)
    }
    writes = _first_writes(ordered, job_lines)
    return [
        line
        for line in ordered
        if job_id in line.text
        or line in writes
        or (first <= line.time <= last and _is_context(line, workers))
    ]


def _first_writes(
    ordered: list[LogLine], job_lines: list[LogLine]
) -> set[LogLine]:
    """Find the first write that covers each reported end."""
    stored = [
        (line, _stored_ends(line))
        for line in ordered
        if line.number == RECORDS_STORED_NUMBER
    ]
    writes = set()
    for end_line in job_lines:
        match = END_PATTERN.search(end_line.text)
        if end_line.number != RUN_ENDED_NUMBER or match is None:
            continue
        worker, sequence = match[1], int(match[2])
        for line, sequences in stored:
            if line.time < end_line.time or line.node != end_line.node:
                continue
            if sequences.get(worker, 0) >= sequence:
                writes.add(line)
                break
    return writes


def _stored_ends(line: LogLine) -> dict[str, int]:
    """Parse up to which of its ends a write covers each worker."""
    match = STORED_ENDS_PATTERN.search(line.text)
    if match is None:
        return {}
    pairs = (pair.rpartition(":") for pair in match[1].split(","))
    return {
        worker: int(sequence)
        for worker, _, sequence in pairs
        if sequence.isdecimal()
    }


def _is_context(line: LogLine, workers: set[str]) -> bool:
    """Check whether a line may explain what happened to a job."""
    if line.number in NODE_EVENT_NUMBERS:
        return True
    if line.number not in WORKER_EVENT_NUMBERS:
        return False
    return not workers.isdisjoint(WORKER_PATTERN.findall(line.text))
