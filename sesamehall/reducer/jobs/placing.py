"""Placing: which waiting task runs next, and on which worker."""

from dataclasses import dataclass

from sesamehall.core.data import EMPTY_MAP
from sesamehall.core.effects import log
from sesamehall.core.effects import SetTimer
from sesamehall.core.jobtiming import PLACE_RETRY_MS
from sesamehall.core.jobtiming import RUN_NUMBERS_A_TERM
from sesamehall.core.logevents import RUN_ORDERED
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.step import Step
from sesamehall.core.step import then
from sesamehall.core.timers import PlaceTimer
from sesamehall.core.work import add_size
from sesamehall.core.work import fits
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import Run
from sesamehall.core.workstate import RunState
from sesamehall.core.workstate import Work
from sesamehall.core.workstate import Worker
from sesamehall.reducer.counts import drop_key
from sesamehall.reducer.jobs.bookkeeping import charge_run
from sesamehall.reducer.jobs.bookkeeping import put_worker
from sesamehall.reducer.jobs.leases import extend_lease
from sesamehall.reducer.jobs.leases import is_heard
from sesamehall.reducer.jobs.leases import may_start
from sesamehall.reducer.jobs.leases import start_lease_until
from sesamehall.reducer.jobs.orders import start_order
from sesamehall.reducer.jobs.progress import chain_left_ms
from sesamehall.reducer.jobs.ranking import Candidate
from sesamehall.reducer.jobs.ranking import rank

RESERVED_MOST = 2  # workers kept free for tasks that found no room


@dataclass(frozen=True, slots=True)
class Choice:
    """A task and the worker that it shall run on.

    Attributes:
      work: Its job.
      place: The task.
      worker_id: The worker.
      number: Number of the run; the tasks of a gang share it.
    """

    work: Work
    place: TaskPlace
    worker_id: str
    number: int


def place_tasks(manager: ManagerState, pool: str, at_ms: int) -> Step:
    """Start the waiting tasks of a pool that find room.

    Args:
      manager: State of a manager.
      pool: Name of the pool; jobs of a queue that the manifest no longer
        names are under "" and wait until it does.
      at_ms: The node's clock.
    Returns:
      A Step with the orders to start.
    """
    pools = drop_key(manager.placing_pools, pool)
    manager = replace(manager, placing_pools=pools)
    job_ids = manager.job_ids_by_pool.get(pool, EMPTY_MAP)
    if not pool or not job_ids or not manager.term.epoch:
        return Step(manager)
    step = Step(manager)
    for choice in choose(manager, pool, at_ms):
        step = then(step, _start, choice, at_ms)
    if not step.state.job_ids_by_pool.get(pool):
        return step
    timer = SetTimer(PlaceTimer(pool), at_ms + PLACE_RETRY_MS)
    return Step(step.state, step.effects + (timer,))


def choose(manager: ManagerState, pool: str, at_ms: int) -> list[Choice]:
    """Choose tasks and workers, the most pressing jobs first.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
      at_ms: The node's clock.
    Returns:
      The choices; together they keep to all room and all ceilings.
    """
    round_ = _Round.begin(manager, pool, at_ms)
    choices: list[Choice] = []
    for work in _by_rank(manager, pool, at_ms):
        choices += round_.place_job(work)
        if not round_.free_by_id:
            break
    return choices


def is_unresolved(manager: ManagerState, pool: str) -> bool:
    """Tell whether a pool may have runs of an earlier leader not known yet.

    Args:
      manager: State of the leader.
      pool: Name of the pool.
    Returns:
      True while a worker that may have any has not answered, or has runs
      that are neither taken over nor gone.
    """
    return any(
        _may_hide_runs(worker)
        for worker in _workers(manager, pool)
        if worker.leased and not worker.over
    )


def _may_hide_runs(worker):
    if worker.strangers:
        return True
    return not worker.reached and worker.lease_end_ms > 0


def _workers(manager, pool):
    ids = manager.worker_ids_by_pool.get(pool, EMPTY_MAP)
    return [manager.workers_by_id[worker_id] for worker_id in sorted(ids)]


def _by_rank(manager: ManagerState, pool: str, at_ms: int) -> list[Work]:
    """Order the jobs with waiting tasks by what a wait would cost."""
    unresolved = is_unresolved(manager, pool)
    works_by_id = {}
    for job_id in manager.job_ids_by_pool.get(pool, EMPTY_MAP):
        work = manager.works_by_id[job_id]
        if unresolved and work.inherited:
            continue
        if may_start(manager, work, at_ms):
            works_by_id[job_id] = work
    cores = sum(
        worker.entry.capacity.cpu_milli / 1_000
        for worker in _workers(manager, pool)
        if takes_tasks(worker, at_ms)
    )
    candidates = [_candidate(manager, work) for work in works_by_id.values()]
    ranked = rank(candidates, cores, at_ms)
    return [works_by_id[job_id] for job_id in ranked]


def _candidate(manager, work):
    """Show a job as ranking sees it."""
    queue = manager.manifest.queues_by_name[work.plan.queue]
    return Candidate(
        job_id=work.plan.job_id,
        priority=queue.priority,
        goal_ms=work.goal_ms,
        chain_ms=chain_left_ms(work),
        work=work.work_left,
        mean_work=manager.mean_work_by_queue.get(queue.name, 0.0),
        lasting=work.plan.steps[0].lasting,
    )


@dataclass(frozen=True, slots=True)
class _Round:
    """One round of placing; its tables change as tasks are placed.

    Attributes:
      manager: State of the leader.
      workers_by_id: Workers that take new tasks.
      free_by_id: Room that each has left.
      used_by_team: Room that teams take.
      count_by_worker_step: Tasks of a step on a worker, where it is bounded.
      reserved: Workers kept for tasks that found no room.
    """

    manager: ManagerState
    workers_by_id: dict[str, Worker]
    free_by_id: dict[str, Size]
    used_by_team: dict[str, Size]
    count_by_worker_step: dict[tuple[str, str], int]
    reserved: list[str]

    @classmethod
    def begin(cls, manager, pool, at_ms):
        """Begin with what the workers and teams have left."""
        workers = {
            worker.entry.worker_id: worker
            for worker in _workers(manager, pool)
            if takes_tasks(worker, at_ms)
        }
        free = {
            worker_id: add_size(worker.entry.capacity, worker.used, -1)
            for worker_id, worker in workers.items()
        }
        return cls(manager, workers, free, dict(manager.used_by_team), {}, [])

    def place_job(self, work: Work) -> list[Choice]:
        """Place the waiting tasks of a job, as far as there is room."""
        choices: list[Choice] = []
        self._count_spread(work)
        for step, places in _by_step(work):
            if step.gang:
                choices += self._place_gang(work, step, places)
                continue
            for place in places:
                choice = self._place(work, step, place)
                if choice is None:
                    break
                choices.append(choice)
        return choices

    def _place_gang(self, work, step, places):
        """Place all tasks of a gang, or none."""
        if len(places) < step.count:
            return []
        free = dict(self.free_by_id)
        used = self.used_by_team.get(work.plan.team, NO_SIZE)
        choices = [self._place(work, step, place) for place in places]
        if None not in choices:
            number = max(choice.number for choice in choices)
            return [replace(choice, number=number) for choice in choices]
        self.free_by_id.update(free)
        self.used_by_team[work.plan.team] = used
        return []

    def _place(self, work, step, place):
        """Place one task on the worker that it fits best."""
        if not self._within_ceiling(work.plan.team, step.size):
            return None
        room = step.size
        if step.fills:
            room = replace(room, cpu_milli=0)
        name = _step_name(work, place)
        best = None
        best_order = None
        for worker_id, free in self.free_by_id.items():
            if worker_id in self.reserved or not fits(room, free):
                continue
            worker = self.workers_by_id[worker_id]
            if step.label and step.label not in worker.entry.labels:
                continue
            count = self.count_by_worker_step.get((worker_id, name), 0)
            if step.most_per_worker and count >= step.most_per_worker:
                continue
            order = self._order(worker, free, step, work, place)
            if best_order is None or order < best_order:
                best = worker_id
                best_order = order
        if best is None:
            self._reserve(step, work)
            return None
        self._take(best, name, work.plan.team, step.size, room)
        number = next_number(self.manager, task_id(work.plan.job_id, place))
        return Choice(work, place, best, number)

    def _order(self, worker, free, step, work, place):
        """Rank a worker: data's rack, not where it failed, least room."""
        far = bool(step.rack) and worker.entry.rack != step.rack
        failed_on = self.manager.failed_on_by_task.get(
            f"{work.plan.job_id}.{place.step}.{place.index}"
        )
        again = failed_on == worker.entry.worker_id
        return (again, far, worker.failures > 0, free.cpu_milli)

    def _take(self, worker_id, name, team, size, room):
        free = self.free_by_id[worker_id]
        self.free_by_id[worker_id] = add_size(free, room, -1)
        used = self.used_by_team.get(team, NO_SIZE)
        self.used_by_team[team] = add_size(used, size)
        key = (worker_id, name)
        count = self.count_by_worker_step.get(key, 0)
        self.count_by_worker_step[key] = count + 1

    def _reserve(self, step, work):
        """Keep the emptiest worker for a task that found no room."""
        if len(self.reserved) >= RESERVED_MOST or step.fills:
            return
        candidates = [
            worker_id
            for worker_id in self.free_by_id
            if worker_id not in self.reserved
            and fits(step.size, self.workers_by_id[worker_id].entry.capacity)
        ]
        if len(candidates) > RESERVED_MOST:
            self.reserved.append(
                max(
                    candidates,
                    key=lambda name: (self.free_by_id[name].cpu_milli, name),
                )
            )

    def _within_ceiling(self, team, size):
        quota = self.manager.manifest.quotas_by_team.get(team)
        if quota is None:
            return True
        used = add_size(self.used_by_team.get(team, NO_SIZE), size)
        return fits(_limited(used, quota.ceiling), quota.ceiling)

    def _count_spread(self, work):
        """Count a job's tasks on each worker, where that is bounded."""
        if not any(step.most_per_worker for step in work.plan.steps):
            return
        if not work.running:
            return
        job_id = work.plan.job_id
        for worker_id, worker in self.workers_by_id.items():
            for task in worker.tasks:
                run = self.manager.runs_by_task[task]
                if run.job_id != job_id:
                    continue
                key = (worker_id, _step_name(work, run.place))
                count = self.count_by_worker_step.get(key, 0)
                self.count_by_worker_step[key] = count + 1


def takes_tasks(worker: Worker, at_ms: int) -> bool:
    """Tell whether new tasks may be started on a worker.

    Args:
      worker: The worker.
      at_ms: The node's clock.
    Returns:
      False for one that leaves, is silent, sick or not known enough.
    """
    return (
        worker.listed
        and worker.reached
        and worker.leased
        and is_heard(worker, at_ms)
        and not worker.entry.draining
        and not worker.leaving
        and not worker.over
        and not worker.strangers
        and worker.aside_until_ms <= at_ms
    )


def _limited(used, ceiling):
    """Leave out what a ceiling does not limit."""
    return Size(
        used.cpu_milli if ceiling.cpu_milli else 0,
        used.memory_mb if ceiling.memory_mb else 0,
        used.accelerators if ceiling.accelerators else 0,
    )


def _by_step(work) -> list[tuple[StepPlan, list[TaskPlace]]]:
    """Group the waiting tasks of a job by step, in order."""
    groups: dict[tuple[int, int], list[TaskPlace]] = {}
    for place in work.waiting:
        groups.setdefault((place.occurrence, place.step), []).append(place)
    return [
        (work.plan.steps[step], groups[occurrence, step])
        for occurrence, step in sorted(groups)
    ]


def _step_name(work, place):
    return f"{work.plan.job_id}.{place.occurrence}.{place.step}"


def _start(manager: ManagerState, choice: Choice, at_ms: int) -> Step:
    """Order a worker to start a task."""
    work = choice.work
    plan_step = work.plan.steps[choice.place.step]
    worker = manager.workers_by_id[choice.worker_id]
    lease_until_ms = start_lease_until(worker, at_ms)
    worker = extend_lease(worker, lease_until_ms)
    manager = put_worker(manager, worker)
    task = task_id(work.plan.job_id, choice.place)
    run = Run(
        task=task,
        job_id=work.plan.job_id,
        place=choice.place,
        number=choice.number,
        worker_id=choice.worker_id,
        team=work.plan.team,
        size=plan_step.size,
        state=RunState.STARTING,
        sent_ms=at_ms,
        lease_end_ms=worker.lease_end_ms,
        lasting=plan_step.lasting,
        fills=plan_step.fills,
        tail_target_ms=plan_step.tail_target_ms,
    )
    manager = charge_run(manager, run)
    line = log(
        RUN_ORDERED,
        task=task,
        run=run.number,
        worker=run.worker_id,
        pool=worker.entry.pool,
        team=run.team,
        waited_ms=at_ms - work.accepted_ms,
        free_cpu=worker.entry.capacity.cpu_milli - worker.used.cpu_milli,
        heard_ms=at_ms - worker.seen_ms,
    )
    order = start_order(manager, run, work.plan.command, lease_until_ms)
    return Step(manager, (line, order))


def next_number(manager: ManagerState, task: str) -> int:
    """Choose a run number above all that any leader can have used.

    Args:
      manager: State of the leader.
      task: Identifier of the task.
    Returns:
      The number.
    """
    floor = (manager.term.epoch - 1) * RUN_NUMBERS_A_TERM
    return max(manager.numbers_by_task.get(task, 0), floor) + 1
