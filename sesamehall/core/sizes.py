"""Arithmetic of resources."""

from sesamehall.core.replacing import replace
from sesamehall.core.work import Size


def add_size(left: Size, right: Size, sign: int = 1) -> Size:
    """Add or subtract resources.

    Args:
      left: The first operand.
      right: The second operand.
      sign: 1 to add the second operand, -1 to subtract it.
    Returns:
      The sum or the difference.
    """
    return Size(
        left.cpu_milli + sign * right.cpu_milli,
        left.memory_mb + sign * right.memory_mb,
        left.accelerators + sign * right.accelerators,
    )


def max_size(left: Size, right: Size) -> Size:
    """Take the larger amount of each resource.

    Args:
      left: The first operand.
      right: The second operand.
    Returns:
      The resources that cover both.
    """
    return Size(
        max(left.cpu_milli, right.cpu_milli),
        max(left.memory_mb, right.memory_mb),
        max(left.accelerators, right.accelerators),
    )


def min_size(left: Size, right: Size) -> Size:
    """Take the smaller amount of each resource.

    Args:
      left: The first operand.
      right: The second operand.
    Returns:
      The resources that both have.
    """
    return Size(
        min(left.cpu_milli, right.cpu_milli),
        min(left.memory_mb, right.memory_mb),
        min(left.accelerators, right.accelerators),
    )


def multiply_size(size: Size, count: int) -> Size:
    """Multiply resources by a number of tasks.

    Args:
      size: Resources of one task.
      count: Number of tasks.
    Returns:
      Their resources together.
    """
    return Size(
        size.cpu_milli * count,
        size.memory_mb * count,
        size.accelerators * count,
    )


def count_fitting(size: Size, available: Size, limit: int) -> int:
    """Count the tasks that fit into the available resources.

    Args:
      size: Resources of one task.
      available: Resources that are not in use.
      limit: The highest number that is of interest.
    Returns:
      The number of tasks, at most the limit.
    """
    pairs = (
        (size.cpu_milli, available.cpu_milli),
        (size.memory_mb, available.memory_mb),
        (size.accelerators, available.accelerators),
    )
    counts = [free // needed for needed, free in pairs if needed]
    return max(min([limit, *counts]), 0)


def reserved_size(size: Size, best_effort: bool) -> Size:
    """Compute the resources that a task reserves on its worker.

    Args:
      size: Resources that the task requests.
      best_effort: Whether it uses only processor time that others leave idle.
    Returns:
      The requested size; a best-effort task reserves no processor time.
    """
    return replace(size, cpu_milli=0) if best_effort else size


def fits(size: Size, available: Size) -> bool:
    """Check whether a request fits into the available resources.

    Args:
      size: Resources that are needed.
      available: Resources that are not in use.
    Returns:
      True if the request fits.
    """
    return (
        size.cpu_milli <= available.cpu_milli
        and size.memory_mb <= available.memory_mb
        and size.accelerators <= available.accelerators
    )
