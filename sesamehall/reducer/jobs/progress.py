"""Progress of jobs: which tasks may start, and when a job is done."""

from collections.abc import Iterable

from immutables import Map

from sesamehall.core.data import JobPhase
from sesamehall.core.data import TERMINAL_PHASES
from sesamehall.core.manifest import Queue
from sesamehall.core.replacing import replace
from sesamehall.core.work import all_bits
from sesamehall.core.work import count_bits
from sesamehall.core.work import has_bit
from sesamehall.core.work import JobPlan
from sesamehall.core.work import StepPlan
from sesamehall.core.work import StepProgress
from sesamehall.core.work import TaskPlace
from sesamehall.core.work import with_bit
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import CriticalPath
from sesamehall.core.workstate import JobProgress
from sesamehall.reducer.counts import drop_key


def build_active_job(
    plan: JobPlan,
    progress: JobProgress,
    queue: Queue | None,
    first_seen_ms: int,
    wall_ms: int,
    inherited: bool,
    ratio: float = 1.0,
) -> ActiveJob:
    """Build the leader's view of a job.

    Args:
      plan: The job.
      progress: Its stored progress.
      queue: Its queue, or None if the manifest does not name it.
      first_seen_ms: Time at which this node first saw it, possibly as a
        follower.
      wall_ms: Wall clock time in milliseconds since 1970.
      inherited: Whether an earlier leader may have started tasks of it.
      ratio: Measured divided by declared run time of its queue's tasks.
    Returns:
      The job, with the tasks that may start as waiting tasks.
    """
    stretch = 1.0 if queue is None else queue.stretch
    slack_ms = 0 if queue is None else queue.slack_ms
    path_ms = ratio * declared_critical_path_ms(plan)
    goal_ms = first_seen_ms + int(stretch * path_ms) + slack_ms
    job = ActiveJob(
        plan, progress, first_seen_ms, goal_ms, inherited=inherited
    )
    due_count = count_due(plan, wall_ms)
    return replace(
        job,
        waiting=startable_tasks(job, range(due_count)),
        due_count=due_count,
        remaining_core_ms=_remaining_core_ms(job),
        critical_path=_remaining_critical_path(job),
        unfinished_by_step=_unfinished_by_step(job),
        path_steps=_path_steps(job),
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
    """Sum up the declared processor time of the unfinished tasks."""
    core_ms = plan_core_ms(job.plan) * _incomplete_count(job)
    for progress_by_step in job.progress.steps_by_occurrence.values():
        for step, progress in zip(
            job.plan.steps, progress_by_step, strict=False
        ):
            core_ms -= count_bits(progress.done) * task_core_ms(step)
    return core_ms


def _incomplete_count(job):
    """Count the occurrences of which some task has not succeeded."""
    completed = count_bits(job.progress.completed)
    return max(job.plan.occurrence_count, 1) - completed


def _unfinished_by_step(job):
    """Count the unfinished tasks of each step, over all occurrences."""
    occurrences = _incomplete_count(job)
    counts = [occurrences * step.count for step in job.plan.steps]
    for progress_by_step in job.progress.steps_by_occurrence.values():
        for step_number, progress in enumerate(progress_by_step):
            counts[step_number] -= count_bits(progress.done)
    return tuple(counts)


def _path_steps(job):
    """List the unfinished steps of occurrence 0."""
    progress_by_step = step_progress(job.progress, job.plan, 0)
    return tuple(
        step_number
        for step_number in range(len(job.plan.steps))
        if not is_step_done(job.plan, progress_by_step, step_number)
    )


def critical_path_ms(
    job: ActiveJob, ratio: float = 1.0, delay_ms: float = 0.0
) -> int:
    """Compute the expected time of the remaining critical path of a job.

    Args:
      job: The job.
      ratio: Measured divided by declared run time of its tasks.
      delay_ms: Overhead of each step on top of the run time of its tasks.
    Returns:
      Milliseconds.  For a job with several occurrences, only occurrence 0 is
      considered.
    """
    return int(
        ratio * job.critical_path.declared_ms
        + delay_ms * job.critical_path.steps
    )


def _remaining_critical_path(job: ActiveJob) -> CriticalPath:
    """Find the longest chain of unfinished steps of occurrence 0."""
    plan = job.plan
    progress_by_step = step_progress(job.progress, plan, 0)
    ends: list[tuple[int, int]] = []
    for step_number, step in enumerate(plan.steps):
        end_ms, count = max(
            (ends[earlier] for earlier in step.depends_on), default=(0, 0)
        )
        if not is_step_done(plan, progress_by_step, step_number):
            end_ms += step.estimate_ms
            count += 1
        ends.append((end_ms, count))
    return CriticalPath(*max(ends, default=(0, 0)))


def declared_critical_path_ms(plan: JobPlan) -> int:
    """Compute the declared time of the critical path of one occurrence.

    Args:
      plan: The job; each step comes after those that it depends on.
    Returns:
      Milliseconds.
    """
    ends_ms: list[int] = []
    for step in plan.steps:
        earlier = [ends_ms[step_number] for step_number in step.depends_on]
        ends_ms.append(max(earlier, default=0) + step.estimate_ms)
    return max(ends_ms, default=0)


def count_due(plan: JobPlan, wall_ms: int) -> int:
    """Count the occurrences of a job that are due.

    Without a period all are due at the time of the first.

    Args:
      plan: The job.
      wall_ms: Wall clock time in milliseconds since 1970.
    Returns:
      Their number; they are the first ones.
    """
    if not plan.occurrence_count:
        return 1
    elapsed_ms = wall_ms - plan.first_wall_ms
    if elapsed_ms < 0:
        return 0
    if not plan.period_ms:
        return plan.occurrence_count
    return min(plan.occurrence_count, elapsed_ms // plan.period_ms + 1)


def step_progress(
    progress: JobProgress, plan: JobPlan, occurrence: int
) -> tuple[StepProgress, ...]:
    """Find the progress of the steps of an occurrence.

    Args:
      progress: Progress of the job.
      plan: The job.
      occurrence: Number of the occurrence.
    Returns:
      A StepProgress for each step, in the order of the plan.
    """
    if has_bit(progress.completed, occurrence):
        return tuple(StepProgress(all_bits(step.count)) for step in plan.steps)
    begun = progress.steps_by_occurrence.get(occurrence)
    return begun or (StepProgress(),) * len(plan.steps)


def is_step_done(plan: JobPlan, progress_by_step, step_number: int) -> bool:
    """Check whether all tasks of a step have succeeded.

    Args:
      plan: The job.
      progress_by_step: Progress of the occurrence's steps.
      step_number: Number of the step.
    Returns:
      True if they have.
    """
    return (
        count_bits(progress_by_step[step_number].done)
        >= plan.steps[step_number].count
    )


def startable_tasks(
    job: ActiveJob, occurrences: Iterable[int]
) -> tuple[TaskPlace, ...]:
    """List the unfinished tasks of due occurrences that may start.

    Args:
      job: The job.
      occurrences: Numbers of the occurrences.
    Returns:
      Their positions, including those of tasks with a run.
    """
    if job.progress.phase in TERMINAL_PHASES:
        return ()
    places: list[TaskPlace] = []
    for occurrence in occurrences:
        if has_bit(job.progress.completed, occurrence):
            continue
        progress_by_step = step_progress(job.progress, job.plan, occurrence)
        for step_number in range(len(progress_by_step)):
            places += _unfinished_tasks(
                job.plan, progress_by_step, occurrence, step_number
            )
    return tuple(places)


def _unfinished_tasks(plan, progress_by_step, occurrence, step_number):
    """List the unfinished tasks of a step if its dependencies are done."""
    step = plan.steps[step_number]
    if not all(
        is_step_done(plan, progress_by_step, earlier)
        for earlier in step.depends_on
    ):
        return []
    done = progress_by_step[step_number].done
    return [
        TaskPlace(occurrence, step_number, index)
        for index in range(step.count)
        if not has_bit(done, index)
    ]


def newly_startable_tasks(
    job: ActiveJob, place: TaskPlace
) -> tuple[TaskPlace, ...]:
    """List the tasks that may start since the last task of a step is done.

    Args:
      job: The job after a task of the step has succeeded.
      place: That task.
    Returns:
      Positions of tasks of dependent steps; none while the step is not done.
    """
    plan = job.plan
    progress_by_step = step_progress(job.progress, plan, place.occurrence)
    if not is_step_done(plan, progress_by_step, place.step):
        return ()
    places: list[TaskPlace] = []
    for step_number, step in enumerate(plan.steps):
        if place.step in step.depends_on:
            places += _unfinished_tasks(
                plan, progress_by_step, place.occurrence, step_number
            )
    return tuple(places)


def is_task_done(job: ActiveJob, place: TaskPlace) -> bool:
    """Check whether a task has succeeded.

    Args:
      job: The job.
      place: The task.
    Returns:
      True if it has.
    """
    progress_by_step = step_progress(job.progress, job.plan, place.occurrence)
    return has_bit(progress_by_step[place.step].done, place.index)


def plan_has_task(plan: JobPlan, place: TaskPlace) -> bool:
    """Check whether a job's plan has a task at a position.

    Args:
      plan: The job.
      place: The position.
    Returns:
      False if the step, index or occurrence is out of range.
    """
    if place.step >= len(plan.steps):
        return False
    in_step = place.index < plan.steps[place.step].count
    return in_step and place.occurrence < max(plan.occurrence_count, 1)


def with_task_done(job: ActiveJob, place: TaskPlace) -> ActiveJob:
    """Mark a task as done; for a gang, all of its tasks.

    Args:
      job: The job.
      place: The task.
    Returns:
      The job, in phase DONE if that was its last task.
    """
    plan = job.plan
    progress_by_step = list(
        step_progress(job.progress, plan, place.occurrence)
    )
    done = progress_by_step[place.step].done
    indexes = (place.index,)
    if plan.steps[place.step].gang:
        indexes = range(plan.steps[place.step].count)
    for index in indexes:
        done = with_bit(done, index)
    progress_by_step[place.step] = replace(
        progress_by_step[place.step], done=done
    )
    changed = _with_step_progress(
        job, place.occurrence, tuple(progress_by_step)
    )
    done_core_ms = len(indexes) * task_core_ms(plan.steps[place.step])
    unfinished = list(job.unfinished_by_step)
    unfinished[place.step] -= len(indexes)
    changed = replace(
        changed,
        remaining_core_ms=max(job.remaining_core_ms - done_core_ms, 0.0),
        unfinished_by_step=tuple(unfinished),
    )
    if is_step_done(plan, progress_by_step, place.step):
        changed = replace(
            changed,
            critical_path=_remaining_critical_path(changed),
            path_steps=_path_steps(changed),
        )
    if not _all_done(changed):
        return changed
    progress = replace(changed.progress, phase=JobPhase.DONE)
    return replace(changed, progress=progress)


def with_task_failure(job: ActiveJob, place: TaskPlace) -> ActiveJob:
    """Count a failed run of a task.

    Args:
      job: The job.
      place: The task.
    Returns:
      The job.
    """
    progress_by_step = list(
        step_progress(job.progress, job.plan, place.occurrence)
    )
    failures = dict(progress_by_step[place.step].failures)
    failures[place.index] = failures.get(place.index, 0) + 1
    progress_by_step[place.step] = replace(
        progress_by_step[place.step], failures=tuple(sorted(failures.items()))
    )
    return _with_step_progress(job, place.occurrence, tuple(progress_by_step))


def with_checkpoint(
    job: ActiveJob, place: TaskPlace, checkpoint: str
) -> ActiveJob:
    """Record the newest checkpoint of a task that runs again.

    Args:
      job: The job.
      place: The task.
      checkpoint: The checkpoint.
    Returns:
      The job, unchanged if it has ended or the task has succeeded.
    """
    if job.progress.phase in TERMINAL_PHASES or is_task_done(job, place):
        return job
    progress_by_step = list(
        step_progress(job.progress, job.plan, place.occurrence)
    )
    checkpoints = dict(progress_by_step[place.step].checkpoints)
    checkpoints[place.index] = checkpoint
    progress_by_step[place.step] = replace(
        progress_by_step[place.step],
        checkpoints=tuple(sorted(checkpoints.items())),
    )
    return _with_step_progress(job, place.occurrence, tuple(progress_by_step))


def without_checkpoints(job: ActiveJob) -> ActiveJob:
    """Drop the checkpoints of all tasks of a job.

    Args:
      job: The job.
    Returns:
      The job, whose unfinished tasks begin anew the next time they run.
    """
    occurrences = {
        occurrence: tuple(
            replace(step, checkpoints=()) for step in progress_by_step
        )
        for occurrence, progress_by_step in (
            job.progress.steps_by_occurrence.items()
        )
    }
    progress = replace(job.progress, steps_by_occurrence=Map(occurrences))
    return replace(job, progress=progress)


def checkpoint_of(job: ActiveJob, place: TaskPlace) -> str:
    """Find the checkpoint that a task resumes from.

    Args:
      job: The job.
      place: The task.
    Returns:
      The checkpoint, or "". For a gang, that of any of its tasks.
    """
    progress_by_step = step_progress(job.progress, job.plan, place.occurrence)
    checkpoints = dict(progress_by_step[place.step].checkpoints)
    if job.plan.steps[place.step].gang:
        return next(iter(checkpoints.values()), "")
    return checkpoints.get(place.index, "")


def _with_step_progress(job, occurrence, progress_by_step):
    """Replace the progress of an occurrence's steps.

    A job that was waiting is now running.  Of a completed occurrence only one
    bit is kept, since thousands of them may have ended.
    """
    completed = job.progress.completed
    occurrences = job.progress.steps_by_occurrence
    if _are_steps_done(job.plan, progress_by_step):
        completed = with_bit(completed, occurrence)
        occurrences = drop_key(occurrences, occurrence)
    else:
        occurrences = occurrences.set(occurrence, progress_by_step)
    progress = replace(
        job.progress,
        phase=_running_phase(job.progress.phase),
        completed=completed,
        steps_by_occurrence=occurrences,
    )
    return replace(job, progress=progress)


def _running_phase(phase):
    return JobPhase.RUNNING if phase is JobPhase.WAITING else phase


def _all_done(job):
    return not _incomplete_count(job)


def _are_steps_done(plan, progress_by_step):
    return all(
        is_step_done(plan, progress_by_step, step_number)
        for step_number in range(len(plan.steps))
    )
