"""Counting in persistent maps."""

from immutables import Map


def add_count(counts: Map[str, int], name: str, change: int) -> Map[str, int]:
    """Change one count of a map; a count of zero is taken out.

    Args:
      counts: Counts by name.
      name: Name whose count changes.
      change: What is added, negative to subtract.
    Returns:
      A map with the changed count.
    """
    count = counts.get(name, 0) + change
    if count:
        return counts.set(name, count)
    return drop_key(counts, name)


def drop_key(items: Map, name: str) -> Map:
    """Take a key out of a map, if it is there.

    Args:
      items: Any map.
      name: Key to take out.
    Returns:
      A map without the key.
    """
    if name in items:
        return items.delete(name)
    return items


def shift_counts(
    totals: Map[str, int], before: Map[str, int], after: Map[str, int]
) -> Map[str, int]:
    """Replace one contribution to a map of sums by another.

    Args:
      totals: Sums by name.
      before: Contribution that is in the sums.
      after: Contribution that replaces it, for the names in it.
    Returns:
      A map with the changed sums.
    """
    for name, count in after.items():
        totals = add_count(totals, name, count - before.get(name, 0))
    return totals
