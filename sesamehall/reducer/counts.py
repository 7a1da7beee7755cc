"""Counts in persistent maps."""

from immutables import Map


def add_count(counts: Map[str, int], name: str, change: int) -> Map[str, int]:
    """Change one count of a map; a count of zero is removed.

    Args:
      counts: Counts by name.
      name: Name whose count changes.
      change: Number to add; may be negative.
    Returns:
      A map with the changed count.
    """
    count = counts.get(name, 0) + change
    if count:
        return counts.set(name, count)
    return drop_key(counts, name)


def drop_key(items: Map, name: str) -> Map:
    """Remove a key from a map if it is present.

    Args:
      items: Any map.
      name: Key to remove.
    Returns:
      A map without the key.
    """
    if name in items:
        return items.delete(name)
    return items


def replace_contribution(
    totals: Map[str, int], before: Map[str, int], after: Map[str, int]
) -> Map[str, int]:
    """Replace one contribution to a map of totals by another.

    Args:
      totals: Totals by name.
      before: Contribution included in the totals.
      after: Contribution that replaces it; other names stay unchanged.
    Returns:
      A map with the changed totals.
    """
    for name, count in after.items():
        totals = add_count(totals, name, count - before.get(name, 0))
    return totals
