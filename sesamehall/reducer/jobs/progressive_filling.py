"""Division of a pool by weighted dominant resource fairness.

Progressive filling: the dominant shares of all teams rise together, each in
proportion to the team's weight. A team stops rising once it has what it asks
for, or once a resource that it needs is exhausted.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from sesamehall.core.shares import ResourceShares

ROUNDING_ERROR = 1e-9  # part of a pool that counts as nothing
RESOURCES = ("cpu", "memory", "accelerators")


@dataclass(frozen=True, slots=True)
class _Filling:
    """Teams that rise; the tables change as the level rises.

    The level is the dominant share per weight that these teams have reached.

    Attributes:
      asked_by_team: What each team asks for.
      weight_by_team: Weight of each team.
      rising: The teams, mapped to True.
      free_by_resource: Part of each resource that is left.
      slope_by_resource: Part of each resource that the teams take while the
        level rises by 1.
      user_count_by_resource: Number of these teams that ask for each resource.
    """

    asked_by_team: Mapping[str, ResourceShares]
    weight_by_team: Mapping[str, float]
    rising: dict[str, bool]
    free_by_resource: dict[str, float]
    slope_by_resource: dict[str, float]
    user_count_by_resource: dict[str, int]

    @classmethod
    def begin(cls, asked_by_team, weight_by_team):
        """Let all teams that ask for something rise from 0."""
        filling = cls(
            asked_by_team,
            weight_by_team,
            {},
            dict.fromkeys(RESOURCES, 1.0),
            dict.fromkeys(RESOURCES, 0.0),
            dict.fromkeys(RESOURCES, 0),
        )
        for team, asked in asked_by_team.items():
            if asked.dominant > ROUNDING_ERROR:
                filling.rising[team] = True
                filling._change_slope(team, 1)
        return filling

    def satisfied_level(self, team: str) -> float:
        """Compute the level at which a team has all that it asks for."""
        return self.asked_by_team[team].dominant / self.weight_by_team[team]

    def next_exhausted(self) -> tuple[str, float]:
        """Find the resource that is exhausted next, and after which rise."""
        rises = {
            resource: max(self.free_by_resource[resource], 0.0) / slope
            for resource, slope in self.slope_by_resource.items()
            if slope > ROUNDING_ERROR and self.user_count_by_resource[resource]
        }
        resource = min(rises, key=rises.get, default=RESOURCES[0])
        return resource, rises.get(resource, float("inf"))

    def rise(self, change: float):
        """Take what the teams get while the level rises by `change`."""
        for resource, slope in self.slope_by_resource.items():
            self.free_by_resource[resource] -= change * slope

    def stop(self, team: str):
        """Let a team stay at the present level."""
        del self.rising[team]
        self._change_slope(team, -1)

    def users_of(self, resource: str) -> list[str]:
        """List the rising teams that ask for a resource."""
        return [
            team
            for team in self.rising
            if getattr(self.asked_by_team[team], resource) > 0
        ]

    def _change_slope(self, team, sign):
        asked = self.asked_by_team[team]
        factor = sign * self.weight_by_team[team] / asked.dominant
        for resource in RESOURCES:
            part = getattr(asked, resource)
            self.slope_by_resource[resource] += factor * part
            if part > 0:
                self.user_count_by_resource[resource] += sign


def divide_pool(
    asked_by_team: Mapping[str, ResourceShares],
    weight_by_team: Mapping[str, float],
) -> dict[str, float]:
    """Divide a pool by weighted max-min over dominant shares.

    Args:
      asked_by_team: Part of the pool that each team asks for; may exceed 1.
      weight_by_team: Weight of each of these teams, above 0.
    Returns:
      The dominant share that each team is entitled to, at most what it asks
      for. No team could get more without one that has less per weight losing.
    """
    filling = _Filling.begin(asked_by_team, weight_by_team)
    fair_by_team = dict.fromkeys(asked_by_team, 0.0)
    level = 0.0
    for team in sorted(filling.rising, key=filling.satisfied_level):
        while team in filling.rising:
            wanted = filling.satisfied_level(team) - level
            resource, possible = filling.next_exhausted()
            change = min(wanted, possible)
            filling.rise(change)
            level += change
            stopped = [team]
            if possible < wanted:
                stopped = filling.users_of(resource)
            for name in stopped:
                fair_by_team[name] = weight_by_team[name] * level
                filling.stop(name)
    return fair_by_team
