"""Learning of run times from the progress and the ends of runs.

Only runs that did the whole of their task's work count: not one that failed,
was stopped or was lost, and not one that may have resumed from a checkpoint.
"""

from collections.abc import Iterable
from math import exp

from sesamehall.core.effects import log
from sesamehall.core.logevents import RUN_TIMES_LEARNT
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.runtimes import NO_SAMPLES
from sesamehall.core.runtimes import QueueRunTimes
from sesamehall.core.runtimes import StepSamples
from sesamehall.core.step import Step
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.reducer.jobs.progress import checkpoint_of
from sesamehall.reducer.jobs.run_time_model import extrapolate
from sesamehall.reducer.jobs.run_time_model import learn_deviations
from sesamehall.reducer.jobs.run_time_model import learn_step
from sesamehall.reducer.jobs.state_updates import put_job
from sesamehall.reducer.jobs.state_updates import put_run
from sesamehall.reducer.jobs.step_samples import build_first_wave
from sesamehall.reducer.jobs.step_samples import with_finished_task
from sesamehall.reducer.jobs.step_samples import with_sample

MIN_SAMPLE_PERCENT = 5  # less progress is too inexact
# A run is sampled again once its progress has grown by this factor, so that
# it is sampled a few times at most.
SAMPLE_GROWTH = 2
# A queue learns from a step once one in this many of its tasks has finished.
LEARNT_PART = 4
LOG_PERIOD_MS = 5_000  # minimum time between log lines of a queue


def sample_progress(
    manager: ManagerState, runs: Iterable[Run]
) -> ManagerState:
    """Extrapolate the run times of runs whose progress was reported.

    Args:
      manager: State of the leader.
      runs: The runs, as tracked now.
    Returns:
      The state.
    """
    for run in runs:
        if _is_sample_due(run):
            manager = _sample_run(manager, run)
    return manager


def _is_sample_due(run):
    """Check whether a run shows enough progress since its latest sample."""
    if run.percent < MIN_SAMPLE_PERCENT or run.started_clock_ms < 0:
        return False
    if run.sample and run.percent < SAMPLE_GROWTH * run.sample.percent:
        return False
    return run.state is RunState.RUNNING and not run.long_running


def _sample_run(manager, run):
    """Replace the sample of a run by one of its present progress."""
    job = manager.active_jobs_by_id.get(run.job_id)
    elapsed_ms = run.progressed_clock_ms - run.started_clock_ms
    if job is None or elapsed_ms <= 0 or checkpoint_of(job, run.place):
        return manager
    sample = extrapolate(elapsed_ms, run.percent)
    by_step = with_sample(job, run, sample)
    manager = put_job(manager, replace(job, samples_by_step=by_step))
    return put_run(manager, replace(run, sample=sample))


def record_finished_run(
    manager: ManagerState, run: Run, run_time_ms: int, at_ms: int
) -> ManagerState:
    """Add a run that has succeeded to the samples of its step.

    Args:
      manager: State of the leader.
      run: The run, which is still tracked and did all of its task's work.
      run_time_ms: Time that it took on the worker, above 0.
      at_ms: Current time on the node's clock.
    Returns:
      The state.
    """
    job = manager.active_jobs_by_id[run.job_id]
    if not job.unfinished_by_step[run.place.step]:
        return manager
    samples = job.samples_by_step.get(run.place.step, NO_SAMPLES)
    if samples.first_wave is None:
        siblings = _siblings(manager, job, run)
        wave = build_first_wave(run, siblings, at_ms)
        samples = replace(samples, first_wave=wave)
    samples = with_finished_task(samples, run, run_time_ms)
    step = job.plan.steps[run.place.step]
    if not samples.learnt and _is_representative(step, samples):
        manager = _learn_step(manager, job.plan.queue, step, samples)
        samples = replace(samples, learnt=True)
    by_step = job.samples_by_step.set(run.place.step, samples)
    return put_job(manager, replace(job, samples_by_step=by_step))


def _is_representative(step: StepPlan, samples: StepSamples):
    """Check whether enough tasks of a step have finished to learn from it.

    One end of a gang stands for all of its tasks.
    """
    return step.gang or samples.finished * LEARNT_PART >= step.count


def _learn_step(manager, queue_name, step, samples):
    """Add a step to the averages of its queue."""
    if step.estimate_ms <= 0:
        return manager
    queue = manager.run_times_by_queue.get(queue_name, QueueRunTimes())
    queue = learn_step(queue, step.estimate_ms, samples)
    by_queue = manager.run_times_by_queue.set(queue_name, queue)
    return replace(manager, run_times_by_queue=by_queue)


def _siblings(manager, job: ActiveJob, run: Run):
    """List the other runs of a run's step and occurrence.

    A gang ends as one, so it has none.
    """
    step = job.plan.steps[run.place.step]
    if step.gang:
        return []
    tasks = (
        task_id(run.job_id, replace(run.place, index=index))
        for index in range(step.count)
        if index != run.place.index
    )
    runs = (manager.runs_by_task.get(task) for task in tasks)
    return [sibling for sibling in runs if sibling is not None]


def complete_step(
    manager: ManagerState, job_id: str, place: TaskPlace, at_ms: int
) -> Step:
    """Add the deviations of a step's tasks to its queue once all are done.

    Args:
      manager: State of the leader.
      job_id: Identifier of the job.
      place: A task of the step that has succeeded.
      at_ms: Current time on the node's clock.
    Returns:
      A Step, with a log line now and then.
    """
    job = manager.active_jobs_by_id[job_id]
    samples = job.samples_by_step.get(place.step)
    if samples is None or job.unfinished_by_step[place.step]:
        return Step(manager)
    name = job.plan.queue
    queue = manager.run_times_by_queue.get(name)
    if queue is None:
        return Step(manager)
    queue = learn_deviations(queue, samples)
    lines = ()
    if queue.logged_ms < 0 or at_ms - queue.logged_ms >= LOG_PERIOD_MS:
        queue = replace(queue, logged_ms=at_ms)
        lines = (_learnt_line(name, queue),)
    by_queue = manager.run_times_by_queue.set(name, queue)
    return Step(replace(manager, run_times_by_queue=by_queue), lines)


def _learnt_line(name, queue):
    """Build the log line about what is expected of a queue's steps."""
    return log(
        RUN_TIMES_LEARNT,
        queue=name,
        steps=queue.count,
        typical_ms=round(exp(queue.mean_actual)),
        slope=f"{queue.line.slope:.2f}",
        between=f"{queue.line.between_variance ** 0.5:.2f}",
        within=f"{queue.line.within_variance ** 0.5:.2f}",
        error=f"{queue.error:.2f}",
        declared_error=f"{queue.declared_error:.2f}",
    )
