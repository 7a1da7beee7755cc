"""The most that the runs of a job may use, by its plan and progress."""

from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import max_size
from sesamehall.core.sizes import multiply_size
from sesamehall.core.unreportedstate import PossibleUse
from sesamehall.core.work import count_bits
from sesamehall.core.work import StepPlan
from sesamehall.core.workstate import ActiveJob
from sesamehall.reducer.jobs.progress import is_step_done
from sesamehall.reducer.jobs.progress import step_progress


def add_use(left: PossibleUse, right: PossibleUse) -> PossibleUse:
    """Add two uses.

    Args:
      left: The first operand.
      right: The second operand.
    Returns:
      The sum.
    """
    return PossibleUse(
        add_size(left.regular, right.regular),
        add_size(left.best_effort, right.best_effort),
    )


def step_use(step: StepPlan, count: int) -> PossibleUse:
    """Compute what tasks of a step use.

    Args:
      step: The step.
      count: Number of tasks.
    Returns:
      Their use.
    """
    size = multiply_size(step.size, count)
    if step.best_effort:
        return PossibleUse(best_effort=size)
    return PossibleUse(regular=size)


def unreported_use(job: ActiveJob) -> PossibleUse:
    """Compute what runs may use that the leader does not track.

    An earlier leader may have started any waiting task.  It may also know of
    ends that are not stored, and have started the steps that come after them.

    Args:
      job: A job, whose waiting tasks are those without a tracked run.
    Returns:
      At least the most that such runs can use at once.
    """
    counts_by_occurrence: dict[int, dict[int, int]] = {}
    for place in job.waiting:
        counts = counts_by_occurrence.setdefault(place.occurrence, {})
        counts[place.step] = counts.get(place.step, 0) + 1
    use = PossibleUse()
    for occurrence, counts in counts_by_occurrence.items():
        if len(job.plan.steps) > 1:
            counts = counts | _later_counts(job, occurrence, counts)
        use = add_use(use, _chained_use(job, counts))
    return use


def _later_counts(job, occurrence, waiting_counts) -> dict[int, int]:
    """Count the tasks of steps that may have begun without being known.

    All tasks of the steps before them may have ended, which excludes those
    steps of which a run is tracked.
    """
    plan = job.plan
    progress = step_progress(job.progress, plan, occurrence)
    may_be_done = set()
    counts = {}
    for number, step in enumerate(plan.steps):
        if is_step_done(plan, progress, number):
            may_be_done.add(number)
            continue
        unfinished = step.count - count_bits(progress[number].done)
        if waiting_counts.get(number) == unfinished:
            may_be_done.add(number)
        elif number not in waiting_counts and may_be_done.issuperset(
            step.depends_on
        ):
            may_be_done.add(number)
            counts[number] = unfinished
    return counts


def _chained_use(job, counts):
    """Add up the steps that may run at once.

    Of a chain of steps that come after each other only one runs at a time.
    """
    largest_by_last_step: dict[int, PossibleUse] = {}
    for number, step in enumerate(job.plan.steps):
        use = step_use(step, counts.get(number, 0))
        earlier = next(
            (last for last in step.depends_on if last in largest_by_last_step),
            None,
        )
        if earlier is not None:
            before = largest_by_last_step.pop(earlier)
            use = PossibleUse(
                max_size(before.regular, use.regular),
                max_size(before.best_effort, use.best_effort),
            )
        largest_by_last_step[number] = use
    total = PossibleUse()
    for use in largest_by_last_step.values():
        total = add_use(total, use)
    return total
