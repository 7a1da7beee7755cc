"""Turns at the advice service: which waiting step is requested next.

The service answers one request of a node at a time, so all pools share it.
Whichever step came first would keep the others from it if its requests were
never of use: if its team is at its ceiling, if no worker has room for it, or
if the service fails each time.  So steps that an answer could start go first,
and of these in turn the one of the highest rank and the one that has waited
longest.  Requests for a step without room make workers be held back for it,
so such steps have a turn now and then.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class AdviceUse(Enum):
    """What an answer for a step could be used for."""

    START = "start"
    ROOM_MISSING = "room missing"
    AT_CEILING = "at ceiling"


class Turn(Enum):
    """Which steps a request is meant for while several wait."""

    HIGHEST_RANK = "highest rank"
    LONGEST_WAIT = "longest wait"
    ROOM_MISSING = "room missing"


TURNS = (
    Turn.HIGHEST_RANK,
    Turn.LONGEST_WAIT,
    Turn.HIGHEST_RANK,
    Turn.ROOM_MISSING,
)


@dataclass(frozen=True, slots=True)
class AdviceCandidate:
    """A waiting step that a request could bring tickets.

    Attributes:
      step: Name of the step.
      team: Team of its job.
      rank: Its place in the order of its pool; the first has the lowest.
      waiting_since_ms: Time of its latest request, or before the first that
        at which its job was first seen.
      requested: Whether advice was requested for it before.
      use: What an answer could be used for.
      worker_ids: Workers that the request would name.
    """

    step: str
    team: str
    rank: int
    waiting_since_ms: int
    requested: bool
    use: AdviceUse
    worker_ids: tuple[str, ...]


def choose_candidate(
    candidates: Iterable[AdviceCandidate],
    request_count: int,
    requested_ms_by_team: Mapping[str, int],
) -> AdviceCandidate | None:
    """Choose the step that is requested next.

    Args:
      candidates: Steps of all pools.
      request_count: Number of earlier requests; the turns follow it.
      requested_ms_by_team: Time of the latest request for each team.
    Returns:
      The step, or None if there is none.
    """
    by_use: dict[AdviceUse, list[AdviceCandidate]] = {
        use: [] for use in AdviceUse
    }
    for candidate in candidates:
        by_use[candidate.use].append(candidate)
    startable = by_use[AdviceUse.START]
    without_room = by_use[AdviceUse.ROOM_MISSING]
    if not startable:
        return _highest_rank(without_room or by_use[AdviceUse.AT_CEILING])
    match TURNS[request_count % len(TURNS)]:
        case Turn.HIGHEST_RANK:
            new = [item for item in startable if not item.requested]
            return _highest_rank(new) or _longest_wait(
                startable, requested_ms_by_team
            )
        case Turn.LONGEST_WAIT:
            return _longest_wait(startable, requested_ms_by_team)
        case Turn.ROOM_MISSING:
            return _highest_rank(without_room) or _longest_wait(
                startable, requested_ms_by_team
            )


def _highest_rank(candidates):
    """Choose by rank; among pools with such a step the longest waiting."""
    return min(
        candidates,
        key=lambda item: (item.rank, item.waiting_since_ms, item.step),
        default=None,
    )


def _longest_wait(candidates, requested_ms_by_team):
    """Choose the team that was served longest ago, and of it the same."""
    return min(
        candidates,
        key=lambda item: (
            requested_ms_by_team.get(item.team, -1),
            item.waiting_since_ms,
            item.rank,
            item.step,
        ),
        default=None,
    )
