"""Placement rounds: best-fit assignment of tasks within capacity and quota."""

from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush

from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.sizes import add_size
from sesamehall.core.sizes import count_fitting
from sesamehall.core.sizes import fits
from sesamehall.core.sizes import multiply_size
from sesamehall.core.sizes import reserved_size
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.advice import requires_advice
from sesamehall.reducer.jobs.advice import step_name
from sesamehall.reducer.jobs.advice import ticket_for
from sesamehall.reducer.jobs.ceilings import has_ceiling
from sesamehall.reducer.jobs.ceilings import is_within_ceiling
from sesamehall.reducer.jobs.lasting_room import lasting_room
from sesamehall.reducer.jobs.run_numbers import next_run_number
from sesamehall.reducer.jobs.unreported_runs import unreported_by_team

# At most this many workers are held back for tasks that no worker can run now.
# As many others that are large enough for such a task must remain in use, so
# that a small pool keeps working.
MAX_HELD_BACK_WORKERS = 2


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task and the worker that it is to run on.

    Attributes:
      job: Its job.
      place: Position of the task within the job.
      worker_id: The worker.
      number: Number of the run; the tasks of a gang share it.
      ticket: Ticket of the advice service, or "".
    """

    job: ActiveJob
    place: TaskPlace
    worker_id: str
    number: int
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StepCandidates:
    """The workers that may run the tasks of a step, best fit first.

    All tasks of a step have the same requirements, so the workers are
    compared once per step. After each assignment only the worker that got
    the task is compared again.

    Attributes:
      job: The job.
      step: The step.
      name: Name of the step, unique in the fleet.
      demand: Resources that one of its tasks reserves on a worker.
      requires_advice: Whether a start order needs a ticket for the worker.
      ranked_workers: A heap of preferences and worker identifiers; the lowest
        preference is the best fit.
    """

    job: ActiveJob
    step: StepPlan
    name: str
    demand: Size
    requires_advice: bool
    ranked_workers: list[tuple[tuple, str]]


@dataclass(frozen=True, slots=True)
class PlacementRound:
    """A placement round; its tables are updated as tasks are placed.

    Attributes:
      manager: State of the leader.
      at_ms: Current time on the node's clock.
      workers_by_id: Workers that are available for new tasks.
      free_by_id: Free resources of each.
      used_by_team: Resources that each team uses.
      unreported_by_team: What runs that no report has told of may use, of all
        teams with ceilings; computed when the first ceiling is checked.
      count_by_worker_step: Number of tasks of a step that were placed on a
        worker in this round; for a step with a limit per worker, the tasks
        that ran there before are counted too.
      counted_steps: Jobs and steps whose running tasks are in these counts.
      held_back_worker_ids: Workers that get no more tasks in this round, so
        that they become free for a task that no worker can run now.
      exhausted_sizes: Demands that no worker can satisfy any more, except
        those that are held back.
      lasting_room_by_id: What long-running tasks leave free of each worker, as
        far as it was asked for.
    """

    manager: ManagerState
    at_ms: int
    workers_by_id: dict[str, Worker]
    free_by_id: dict[str, Size]
    used_by_team: dict[str, Size]
    unreported_by_team: dict[str, Size]
    count_by_worker_step: dict[tuple[str, str], int]
    counted_steps: set[tuple[str, int]]
    held_back_worker_ids: list[str]
    exhausted_sizes: list[Size]
    lasting_room_by_id: dict[str, Size]

    @classmethod
    def begin(cls, manager, workers, at_ms):
        """Begin with the free resources of the given workers."""
        workers = {worker.entry.worker_id: worker for worker in workers}
        free = {
            worker_id: add_size(worker.entry.capacity, worker.used, -1)
            for worker_id, worker in workers.items()
        }
        used = dict(manager.used_by_team)
        return cls(
            manager, at_ms, workers, free, used, {}, {}, set(), [], [], {}
        )

    def place_job(self, job: ActiveJob, max_tasks: int) -> list[Assignment]:
        """Place up to `max_tasks` waiting tasks of a job.

        A gang is placed as a whole or not at all, regardless of `max_tasks`.
        """
        assignments: list[Assignment] = []
        if self._is_unplaceable(job):
            return assignments
        for step, places in waiting_by_step(job):
            if step.gang:
                assignments += self._place_gang(job, step, places)
                continue
            if len(assignments) >= max_tasks:
                break
            candidates = self._rank_workers(job, step, places[0])
            if not candidates.ranked_workers and _needs_only_size(candidates):
                self._mark_exhausted(candidates.demand)
            for place in places[: max_tasks - len(assignments)]:
                assignment = self._place_task(candidates, place)
                if assignment is None:
                    break
                assignments.append(assignment)
        return assignments

    def can_place(self, job: ActiveJob, place: TaskPlace) -> bool:
        """Check whether a worker has room for a task."""
        step = job.plan.steps[place.step]
        return bool(self._rank_workers(job, step, place).ranked_workers)

    def is_below_ceiling(self, job: ActiveJob, place: TaskPlace) -> bool:
        """Check whether the ceiling of a job's team allows a task.

        Of a gang all tasks are checked together.
        """
        step = job.plan.steps[place.step]
        count = step.count if step.gang else 1
        return self._is_within_ceiling(
            job.plan.team, multiply_size(step.size, count)
        )

    def room_by_worker_id(
        self, job: ActiveJob, place: TaskPlace
    ) -> dict[str, int]:
        """Count the tasks of a step that fit on each worker now.

        Tickets are not considered, and workers without room are left out.
        """
        step = job.plan.steps[place.step]
        demand = reserved_size(step.size, step.best_effort)
        name = step_name(job, place)
        candidates = StepCandidates(job, step, name, demand, False, [])
        if step.max_per_worker:
            self._count_running_tasks(job, place.step)
        room = {}
        for worker_id, free in self.free_by_id.items():
            if fits(demand, free) and self._may_run(candidates, worker_id):
                room[worker_id] = min(
                    count_fitting(demand, free, step.count),
                    self._tasks_below_limit(candidates, worker_id),
                )
        return room

    def _place_gang(self, job, step, places):
        """Place all tasks of a gang, or none."""
        if len(places) < step.count:
            return []
        free = dict(self.free_by_id)
        used = self.used_by_team.get(job.plan.team, NO_SIZE)
        candidates = self._rank_workers(job, step, places[0])
        assignments = [self._place_task(candidates, place) for place in places]
        if None not in assignments:
            number = max(assignment.number for assignment in assignments)
            return [
                replace(assignment, number=number)
                for assignment in assignments
            ]
        self.free_by_id.update(free)
        self.used_by_team[job.plan.team] = used
        return []

    def _rank_workers(self, job, step, place) -> StepCandidates:
        """Rank the workers that may run the tasks of a step."""
        demand = reserved_size(step.size, step.best_effort)
        name = step_name(job, place)
        needs_ticket = requires_advice(self.manager, job)
        candidates = StepCandidates(job, step, name, demand, needs_ticket, [])
        if self._is_exhausted(demand):
            return candidates
        if step.max_per_worker:
            self._count_running_tasks(job, place.step)
        candidates.ranked_workers.extend(
            (self._preference(candidates, worker_id), worker_id)
            for worker_id, free in self.free_by_id.items()
            if fits(demand, free) and self._may_run(candidates, worker_id)
        )
        heapify(candidates.ranked_workers)
        return candidates

    def _mark_exhausted(self, demand):
        """Record that no worker can satisfy a demand any more in this round.

        Free resources only shrink within a round, except when a gang that was
        placed in part is rolled back; so nothing is recorded for gangs.
        """
        if not self._is_exhausted(demand):
            self.exhausted_sizes.append(demand)

    def _is_exhausted(self, demand):
        """Check whether an equal or smaller demand was marked as exhausted."""
        return any(fits(size, demand) for size in self.exhausted_sizes)

    def _is_unplaceable(self, job):
        """Check that no task of a job can be placed or hold back a worker."""
        if (
            not self.exhausted_sizes
            or len(self.held_back_worker_ids) < MAX_HELD_BACK_WORKERS
        ):
            return False
        steps = job.plan.steps
        step_numbers = {place.step for place in job.waiting}
        return all(
            self._is_exhausted(reserved_size(step.size, step.best_effort))
            for step in (steps[step_number] for step_number in step_numbers)
        )

    def _may_run(self, candidates, worker_id):
        """Check whether a worker with enough free resources may run a task."""
        return (
            worker_id not in self.held_back_worker_ids
            and self._is_eligible(candidates, worker_id)
        )

    def _is_eligible(self, candidates, worker_id):
        """Check whether a worker may run a task once it has enough room."""
        worker = self.workers_by_id[worker_id]
        if not has_required_label(candidates.step, worker):
            return False
        if not self._tasks_below_limit(candidates, worker_id):
            return False
        return not candidates.requires_advice or bool(
            self._ticket(candidates.name, worker)
        )

    def _tasks_below_limit(self, candidates, worker_id):
        """Count the tasks that a step's limit per worker still allows."""
        limit = candidates.step.max_per_worker
        if not limit:
            return candidates.step.count
        key = (worker_id, candidates.name)
        return max(limit - self.count_by_worker_step.get(key, 0), 0)

    def _place_task(self, candidates, place):
        """Place one task on the best worker, or return None."""
        job = candidates.job
        step = candidates.step
        if not self._is_within_ceiling(job.plan.team, step.size):
            return None
        if not candidates.ranked_workers:
            self._hold_back_worker(candidates)
            return None
        task = task_id(job.plan.job_id, place)
        best = self._pop_best(candidates, place)
        self._charge(
            best, candidates.name, job.plan.team, step.size, candidates.demand
        )
        self._push_again(candidates, best)
        number = next_run_number(self.manager, task)
        ticket = ""
        if candidates.requires_advice:
            ticket = self._ticket(candidates.name, self.workers_by_id[best])
        return Assignment(job, place, best, number, ticket)

    def _pop_best(self, candidates, place):
        """Pop the best worker other than the one where the task last failed.

        That worker is used only if there is no other. It stays a candidate for
        the other tasks.
        """
        best = heappop(candidates.ranked_workers)
        # The key has no occurrence: a failure counts for all of them.
        failed_on = self.manager.last_failed_worker_by_task.get(
            f"{candidates.job.plan.job_id}.{place.step}.{place.index}"
        )
        if best[1] != failed_on or not candidates.ranked_workers:
            return best[1]
        other = heappop(candidates.ranked_workers)
        heappush(candidates.ranked_workers, best)
        return other[1]

    def _push_again(self, candidates, worker_id):
        """Push a worker that got a task, if it may run another one."""
        if not fits(candidates.demand, self.free_by_id[worker_id]):
            return
        if self._may_run(candidates, worker_id):
            preference = self._preference(candidates, worker_id)
            heappush(candidates.ranked_workers, (preference, worker_id))

    def _ticket(self, name, worker):
        return ticket_for(self.manager, name, worker, self.at_ms)

    def _preference(self, candidates, worker_id):
        """Build a sort key, of which the lowest is the best fit.

        Workers in the rack of the data come first, then those whose latest run
        did not fail, then those with the least free CPU.
        """
        step = candidates.step
        worker = self.workers_by_id[worker_id]
        remote = bool(step.data_rack) and worker.entry.rack != step.data_rack
        free = self.free_by_id[worker_id]
        return (remote, worker.consecutive_failures > 0, free.cpu_milli)

    def _charge(self, worker_id, name, team, size, demand):
        free = self.free_by_id[worker_id]
        self.free_by_id[worker_id] = add_size(free, demand, -1)
        used = self.used_by_team.get(team, NO_SIZE)
        self.used_by_team[team] = add_size(used, size)
        key = (worker_id, name)
        count = self.count_by_worker_step.get(key, 0)
        self.count_by_worker_step[key] = count + 1

    def _hold_back_worker(self, candidates):
        """Hold back the worker with the most free CPU for a waiting task.

        Otherwise small tasks would keep every worker too full for a large one.
        A worker that may not run the task whatever its room, or whose
        long-running tasks leave too little, is not held back, since waiting
        would be in vain.
        """
        step = candidates.step
        if (
            len(self.held_back_worker_ids) >= MAX_HELD_BACK_WORKERS
            or step.best_effort
        ):
            return
        worker_ids = [
            worker_id
            for worker_id in self.free_by_id
            if worker_id not in self.held_back_worker_ids
            and fits(step.size, self._lasting_room(worker_id))
            and self._is_eligible(candidates, worker_id)
        ]
        if len(worker_ids) > MAX_HELD_BACK_WORKERS:
            self.held_back_worker_ids.append(
                max(
                    worker_ids,
                    key=lambda candidate_id: (
                        self.free_by_id[candidate_id].cpu_milli,
                        candidate_id,
                    ),
                )
            )

    def _lasting_room(self, worker_id):
        """Return what a worker's long-running tasks leave free of it."""
        room = self.lasting_room_by_id.get(worker_id)
        if room is None:
            worker = self.workers_by_id[worker_id]
            room = lasting_room(self.manager, worker)
            self.lasting_room_by_id[worker_id] = room
        return room

    def _is_within_ceiling(self, team, size):
        if not has_ceiling(self.manager, team):
            return True
        if not self.unreported_by_team:
            self.unreported_by_team.update(unreported_by_team(self.manager))
        used = add_size(
            self.used_by_team.get(team, NO_SIZE),
            self.unreported_by_team[team],
        )
        return is_within_ceiling(self.manager, team, add_size(used, size))

    def _count_running_tasks(self, job, step_number):
        """Count a step's running tasks on each worker, for all occurrences.

        They are counted once in a round.
        """
        key = (job.plan.job_id, step_number)
        if not job.running_count or key in self.counted_steps:
            return
        self.counted_steps.add(key)
        prefix = f"{job.plan.job_id}."
        runs = self.manager.runs_by_task
        for worker_id, worker in self.workers_by_id.items():
            for task in worker.tasks:
                if not task.startswith(prefix):
                    continue
                place = runs[task].place
                if place.step == step_number:
                    key = (worker_id, step_name(job, place))
                    count = self.count_by_worker_step.get(key, 0)
                    self.count_by_worker_step[key] = count + 1


def has_required_label(step: StepPlan, worker: Worker) -> bool:
    """Check whether a worker has the label that a step requires.

    Args:
      step: The step.
      worker: The worker.
    Returns:
      True also if the step requires none.
    """
    label = step.required_label
    return not label or label in worker.entry.labels


def _needs_only_size(candidates):
    """Check whether a step's tasks can run on every worker large enough.

    Only then does a step without candidates show that its demand is exhausted.
    """
    step = candidates.step
    return not (
        step.required_label
        or step.max_per_worker
        or candidates.requires_advice
    )


def waiting_by_step(job: ActiveJob) -> list[tuple[StepPlan, list[TaskPlace]]]:
    """Group the waiting tasks of a job by occurrence and step.

    Args:
      job: The job.
    Returns:
      Each step and its waiting tasks, in the order of their numbers.
    """
    groups: dict[tuple[int, int], list[TaskPlace]] = {}
    for place in job.waiting:
        groups.setdefault((place.occurrence, place.step), []).append(place)
    return [
        (job.plan.steps[step], groups[occurrence, step])
        for occurrence, step in sorted(groups)
    ]
