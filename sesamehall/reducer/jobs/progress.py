"""How far a job has come: which tasks may start, and when it has ended."""

from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.manifest import Queue
from sesamehall.core.replacing import replace
from sesamehall.core.work import count_bits
from sesamehall.core.work import has_bit
from sesamehall.core.work import JobPlan
from sesamehall.core.work import Progress
from sesamehall.core.work import StepPlan
from sesamehall.core.work import StepProgress
from sesamehall.core.work import TaskPlace
from sesamehall.core.work import with_bit
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import CriticalPath


def build_active_job(
    plan: JobPlan,
    progress: Progress,
    queue: Queue | None,
    first_seen_ms: int,
    wall_ms: int,
    inherited: bool,
    ratio: float = 1.0,
) -> ActiveJob:
    """Begin to work on a job.

    Args:
      plan: The job.
      progress: What is stored of it.
      queue: Its queue, or None where no manifest names it.
      first_seen_ms: Clock at which this node first saw it, while it followed.
      wall_ms: Time of day, since 1970.
      inherited: Whether an earlier leader may have started tasks of it.
      ratio: Factor by which tasks of its queue take longer than declared.
    Returns:
      The job with the tasks that may start.
    """
    stretch = 1.0 if queue is None else queue.stretch
    slack_ms = 0 if queue is None else queue.slack_ms
    chain_ms = ratio * declared_critical_path_ms(plan)
    goal_ms = first_seen_ms + int(stretch * chain_ms) + slack_ms
    job = ActiveJob(
        plan, progress, first_seen_ms, goal_ms, inherited=inherited
    )
    return replace(
        job,
        waiting=startable_tasks(job, wall_ms),
        remaining_core_ms=_remaining_core_ms(job),
        critical_path=_remaining_critical_path(job),
    )


def task_core_ms(step: StepPlan) -> float:
    """Compute the declared processor time of a task.

    Args:
      step: Its step.
    Returns:
      Core-milliseconds.
    """
    return step.size.cpu_milli * step.estimate_ms / 1_000


def plan_core_ms(plan: JobPlan) -> float:
    """Compute the declared processor time of one occurrence of a job.

    Args:
      plan: The job.
    Returns:
      Core-milliseconds.
    """
    return sum(step.count * task_core_ms(step) for step in plan.steps)


def _remaining_core_ms(job):
    """Add up the tasks that are not done."""
    left = plan_core_ms(job.plan) * max(job.plan.occurrence_count, 1)
    for _, steps in job.progress.occurrences:
        for step, progress in zip(job.plan.steps, steps, strict=False):
            left -= count_bits(progress.done) * task_core_ms(step)
    return left


def critical_path_ms(
    job: ActiveJob, ratio: float = 1.0, delay_ms: float = 0.0
) -> int:
    """Compute the time of the longest chain that is not done.

    Args:
      job: The job.
      ratio: Factor by which its tasks take longer than declared.
      delay_ms: Time that passes beside the tasks of each step.
    Returns:
      Milliseconds; for a job with occurrences that of one.
    """
    return int(
        ratio * job.critical_path.declared_ms
        + delay_ms * job.critical_path.steps
    )


def _remaining_critical_path(job: ActiveJob) -> CriticalPath:
    """Find the longest chain of steps that are not done."""
    plan = job.plan
    steps = step_progress(job.progress, plan, 0)
    ends: list[tuple[int, int]] = []
    for number, step in enumerate(plan.steps):
        end_ms, count = max(
            (ends[after] for after in step.depends_on), default=(0, 0)
        )
        if not is_step_done(plan, steps, number):
            end_ms += step.estimate_ms
            count += 1
        ends.append((end_ms, count))
    return CriticalPath(*max(ends, default=(0, 0)))


def declared_critical_path_ms(plan: JobPlan) -> int:
    """Compute the declared time of the longest chain of steps.

    Args:
      plan: The job; steps come after those that they wait for.
    Returns:
      Milliseconds.
    """
    ends_ms: list[int] = []
    for step in plan.steps:
        earlier = [ends_ms[number] for number in step.depends_on]
        ends_ms.append(max(earlier, default=0) + step.estimate_ms)
    return max(ends_ms, default=0)


def due_occurrences(plan: JobPlan, wall_ms: int) -> range:
    """Tell which occurrences of a job are due.

    Args:
      plan: The job.
      wall_ms: Time of day, since 1970.
    Returns:
      Their numbers.
    """
    if not plan.occurrence_count:
        return range(1)
    past_ms = wall_ms - plan.first_wall_ms
    if past_ms < 0:
        return range(0)
    return range(
        min(plan.occurrence_count, past_ms // max(plan.period_ms, 1) + 1)
    )


def step_progress(progress: Progress, plan: JobPlan, occurrence: int):
    """Find the progress of an occurrence's steps.

    Args:
      progress: Progress of the job.
      plan: The job.
      occurrence: Number of the occurrence.
    Returns:
      A StepProgress for each step.
    """
    for number, steps in progress.occurrences:
        if number == occurrence:
            return steps
    return (StepProgress(),) * len(plan.steps)


def is_step_done(plan: JobPlan, steps, number: int) -> bool:
    """Tell whether all tasks of a step have ended well.

    Args:
      plan: The job.
      steps: Progress of the occurrence's steps.
      number: Number of the step.
    Returns:
      True when they have.
    """
    return count_bits(steps[number].done) >= plan.steps[number].count


def startable_tasks(job: ActiveJob, wall_ms: int) -> tuple[TaskPlace, ...]:
    """List the tasks whose turn has come and that are not done.

    Args:
      job: The job.
      wall_ms: Time of day, since 1970.
    Returns:
      Their places; tasks that run are among them.
    """
    if job.progress.phase in TERMINAL_PHASES:
        return ()
    places: list[TaskPlace] = []
    for occurrence in due_occurrences(job.plan, wall_ms):
        steps = step_progress(job.progress, job.plan, occurrence)
        for number in range(len(steps)):
            places += _unfinished_tasks(job.plan, steps, occurrence, number)
    return tuple(places)


def _unfinished_tasks(plan, steps, occurrence, number):
    """List the tasks of one step that are not done, if its turn has come."""
    step = plan.steps[number]
    if not all(is_step_done(plan, steps, after) for after in step.depends_on):
        return []
    done = steps[number].done
    return [
        TaskPlace(occurrence, number, index)
        for index in range(step.count)
        if not has_bit(done, index)
    ]


def newly_startable_tasks(
    job: ActiveJob, place: TaskPlace
) -> tuple[TaskPlace, ...]:
    """List the tasks whose turn has come with the end of a step.

    Args:
      job: The job after a task of the step has ended well.
      place: That task.
    Returns:
      Places of tasks of later steps; none while the step is not done.
    """
    plan = job.plan
    steps = step_progress(job.progress, plan, place.occurrence)
    if not is_step_done(plan, steps, place.step):
        return ()
    places: list[TaskPlace] = []
    for number, step in enumerate(plan.steps):
        if place.step in step.depends_on:
            places += _unfinished_tasks(plan, steps, place.occurrence, number)
    return tuple(places)


def is_task_done(job: ActiveJob, place: TaskPlace) -> bool:
    """Tell whether a task has ended well.

    Args:
      job: The job.
      place: The task.
    Returns:
      True when it has.
    """
    steps = step_progress(job.progress, job.plan, place.occurrence)
    return has_bit(steps[place.step].done, place.index)


def is_task_known(plan: JobPlan, place: TaskPlace) -> bool:
    """Tell whether a job has a task.

    Args:
      plan: The job.
      place: The task.
    Returns:
      False for numbers that the job does not have.
    """
    if place.step >= len(plan.steps):
        return False
    in_step = place.index < plan.steps[place.step].count
    return in_step and place.occurrence < max(plan.occurrence_count, 1)


def with_task_done(job: ActiveJob, place: TaskPlace) -> ActiveJob:
    """Note that a task has ended well.

    One end of a gang stands for all its tasks.

    Args:
      job: The job.
      place: The task.
    Returns:
      The job, completed when that was the last of its tasks.
    """
    plan = job.plan
    steps = list(step_progress(job.progress, plan, place.occurrence))
    done = steps[place.step].done
    indexes = (place.index,)
    if plan.steps[place.step].gang:
        indexes = range(plan.steps[place.step].count)
    for index in indexes:
        done = with_bit(done, index)
    steps[place.step] = replace(steps[place.step], done=done)
    changed = _with_steps(job, place.occurrence, tuple(steps))
    spent = len(indexes) * task_core_ms(plan.steps[place.step])
    changed = replace(
        changed, remaining_core_ms=max(job.remaining_core_ms - spent, 0.0)
    )
    if is_step_done(plan, steps, place.step):
        changed = replace(
            changed, critical_path=_remaining_critical_path(changed)
        )
    if not _all_done(changed):
        return changed
    progress = replace(changed.progress, phase=JobPhase.DONE)
    return replace(changed, progress=progress)


def with_task_failure(
    job: ActiveJob, place: TaskPlace
) -> tuple[ActiveJob, int]:
    """Count a failed run of a task.

    Args:
      job: The job.
      place: The task.
    Returns:
      The job, and how often the task has failed by now.
    """
    steps = list(step_progress(job.progress, job.plan, place.occurrence))
    failures = dict(steps[place.step].failures)
    count = failures.get(place.index, 0) + 1
    failures[place.index] = count
    steps[place.step] = replace(
        steps[place.step], failures=tuple(sorted(failures.items()))
    )
    return _with_steps(job, place.occurrence, tuple(steps)), count


def with_checkpoint(
    job: ActiveJob, place: TaskPlace, checkpoint: str
) -> ActiveJob:
    """Keep the newest checkpoint of a task.

    Args:
      job: The job.
      place: The task.
      checkpoint: The checkpoint.
    Returns:
      The job.
    """
    steps = list(step_progress(job.progress, job.plan, place.occurrence))
    kept = dict(steps[place.step].checkpoints)
    kept[place.index] = checkpoint
    steps[place.step] = replace(
        steps[place.step], checkpoints=tuple(sorted(kept.items()))
    )
    return _with_steps(job, place.occurrence, tuple(steps))


def checkpoint_of(job: ActiveJob, place: TaskPlace) -> str:
    """Find the checkpoint that a task goes on from.

    Args:
      job: The job.
      place: The task.
    Returns:
      The checkpoint, or ""; of a gang that of any of its tasks.
    """
    steps = step_progress(job.progress, job.plan, place.occurrence)
    kept = dict(steps[place.step].checkpoints)
    if job.plan.steps[place.step].gang:
        return next(iter(kept.values()), "")
    return kept.get(place.index, "")


def _with_steps(job, occurrence, steps):
    occurrences = dict(job.progress.occurrences)
    occurrences[occurrence] = steps
    progress = replace(
        job.progress,
        phase=_running_phase(job.progress.phase),
        occurrences=tuple(sorted(occurrences.items())),
    )
    return replace(job, progress=progress)


def _running_phase(phase):
    return JobPhase.RUNNING if phase is JobPhase.WAITING else phase


def _all_done(job):
    plan = job.plan
    if len(job.progress.occurrences) < max(plan.occurrence_count, 1):
        return False
    return all(
        is_step_done(plan, steps, number)
        for _, steps in job.progress.occurrences
        for number in range(len(plan.steps))
    )
