"""Rounds of placing: room, ceilings, and the worker that fits best."""

from dataclasses import dataclass
from enum import Enum
from heapq import heapify
from heapq import heappop
from heapq import heappush

from sesamehall.core.jobtiming import RUN_NUMBERS_PER_TERM
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.replacing import replace
from sesamehall.core.work import add_size
from sesamehall.core.work import fits
from sesamehall.core.work import NO_SIZE
from sesamehall.core.work import reserved_size
from sesamehall.core.work import Size
from sesamehall.core.work import StepPlan
from sesamehall.core.work import task_id
from sesamehall.core.work import TaskPlace
from sesamehall.core.workstate import ActiveJob
from sesamehall.core.workstate import Worker
from sesamehall.reducer.jobs.advice import requires_advice
from sesamehall.reducer.jobs.advice import step_name
from sesamehall.reducer.jobs.advice import ticket_for
from sesamehall.reducer.jobs.leases import has_recent_report

MAX_RESERVED_WORKERS = 2  # workers kept free for tasks that found no room


class ExclusionReason(Enum):
    """Why a worker gets no new tasks."""

    UNREGISTERED = "unlisted"
    NOT_CONTACTED = "unreached"
    LEASE_NOT_RECORDED = "unstored"
    SILENT = "silent"
    DRAINING = "draining"
    EVACUATING = "leaving"
    UNTRACKED_RUNS = "strangers"
    QUARANTINED = "aside"


@dataclass(frozen=True, slots=True)
class Assignment:
    """A task and the worker that it shall run on.

    Attributes:
      job: Its job.
      place: The task.
      worker_id: The worker.
      number: Number of the run; the tasks of a gang share it.
      ticket: Permission of the advice service, or "".
    """

    job: ActiveJob
    place: TaskPlace
    worker_id: str
    number: int
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StepCandidates:
    """The workers that may run a step, the one that fits best first.

    All tasks of a step ask for the same, so the workers are compared once
    for all of them; only the worker that gets a task changes by it.

    Attributes:
      job: The job.
      step: The step.
      name: Name of the step.
      demand: Room that a task of it takes on a worker.
      requires_advice: Whether a worker needs a ticket.
      ranked_workers: A heap of orders of preference and identifiers.
    """

    job: ActiveJob
    step: StepPlan
    name: str
    demand: Size
    requires_advice: bool
    ranked_workers: list[tuple[tuple, str]]


@dataclass(frozen=True, slots=True)
class PlacementRound:
    """One round of placing; its tables change as tasks are placed.

    Attributes:
      manager: State of the leader.
      at_ms: The node's clock.
      workers_by_id: Workers that take new tasks.
      free_by_id: Room that each has left.
      used_by_team: Room that teams take.
      count_by_worker_step: Tasks of a step on a worker, where it is bounded.
      reserved_worker_ids: Workers kept for tasks that found no room.
      exhausted_sizes: Rooms that no worker had left.
    """

    manager: ManagerState
    at_ms: int
    workers_by_id: dict[str, Worker]
    free_by_id: dict[str, Size]
    used_by_team: dict[str, Size]
    count_by_worker_step: dict[tuple[str, str], int]
    reserved_worker_ids: list[str]
    exhausted_sizes: list[Size]

    @classmethod
    def begin(cls, manager, workers, at_ms):
        """Begin with what the workers and teams have left."""
        workers = {worker.entry.worker_id: worker for worker in workers}
        free = {
            worker_id: add_size(worker.entry.capacity, worker.used, -1)
            for worker_id, worker in workers.items()
        }
        used = dict(manager.used_by_team)
        return cls(manager, at_ms, workers, free, used, {}, [], [])

    def place_job(self, job: ActiveJob, max_tasks: int) -> list[Assignment]:
        """Place waiting tasks of a job, at most so many, where there is room.

        A gang is placed as a whole.
        """
        choices: list[Assignment] = []
        if self._is_hopeless(job):
            return choices
        for step, places in _by_step(job):
            if step.gang:
                choices += self._place_gang(job, step, places)
                continue
            if len(choices) >= max_tasks:
                break
            offers = self._offers(job, step, places[0])
            if not offers.ranked_workers and _asks_only_room(offers):
                self._refuse(offers.demand)
            for place in places[: max_tasks - len(choices)]:
                choice = self._place(offers, place)
                if choice is None:
                    break
                choices.append(choice)
        return choices

    def _place_gang(self, job, step, places):
        """Place all tasks of a gang, or none."""
        if len(places) < step.count:
            return []
        free = dict(self.free_by_id)
        used = self.used_by_team.get(job.plan.team, NO_SIZE)
        offers = self._offers(job, step, places[0])
        choices = [self._place(offers, place) for place in places]
        if None not in choices:
            number = max(choice.number for choice in choices)
            return [replace(choice, number=number) for choice in choices]
        self.free_by_id.update(free)
        self.used_by_team[job.plan.team] = used
        return []

    def _offers(self, job, step, place) -> StepCandidates:
        """Compare the workers for the tasks of a step."""
        demand = reserved_size(step.size, step.best_effort)
        name = step_name(job, place)
        advised = requires_advice(self.manager, job)
        offers = StepCandidates(job, step, name, demand, advised, [])
        if self._is_refused(demand):
            return offers
        if step.max_per_worker:
            self._count_spread(job, place.step)
        offers.ranked_workers.extend(
            (self._order(offers, worker_id), worker_id)
            for worker_id, free in self.free_by_id.items()
            if fits(demand, free) and self._may_run(offers, worker_id)
        )
        heapify(offers.ranked_workers)
        return offers

    def _refuse(self, demand):
        """Note that no worker has this room left in this round.

        Room only shrinks within a round, but for that of a gang that was
        placed in part; none is noted while a gang is placed.
        """
        if not self._is_refused(demand):
            self.exhausted_sizes.append(demand)

    def _is_refused(self, demand):
        """Tell whether no worker had even less room left."""
        return any(fits(refused, demand) for refused in self.exhausted_sizes)

    def _is_hopeless(self, job):
        """Tell whether no task of a job can find room, nor reserve any."""
        if (
            not self.exhausted_sizes
            or len(self.reserved_worker_ids) < MAX_RESERVED_WORKERS
        ):
            return False
        steps = job.plan.steps
        numbers = {place.step for place in job.waiting}
        return all(
            self._is_refused(reserved_size(step.size, step.best_effort))
            for step in (steps[number] for number in numbers)
        )

    def _may_run(self, offers, worker_id):
        """Tell whether a worker with enough room may run a task."""
        if worker_id in self.reserved_worker_ids:
            return False
        step = offers.step
        worker = self.workers_by_id[worker_id]
        if (
            step.required_label
            and step.required_label not in worker.entry.labels
        ):
            return False
        if step.max_per_worker:
            key = (worker_id, offers.name)
            count = self.count_by_worker_step.get(key, 0)
            if count >= step.max_per_worker:
                return False
        return not offers.requires_advice or bool(
            self._ticket(offers.name, worker)
        )

    def _place(self, offers, place):
        """Place one task on the worker that it fits best."""
        job = offers.job
        step = offers.step
        if not self._within_ceiling(job.plan.team, step.size):
            return None
        if not offers.ranked_workers:
            self._reserve(step, job)
            return None
        task = task_id(job.plan.job_id, place)
        best = self._take_best(offers, place)
        self._take(best, offers.name, job.plan.team, step.size, offers.demand)
        self._offer_again(offers, best)
        number = next_run_number(self.manager, task)
        ticket = ""
        if offers.requires_advice:
            ticket = self._ticket(offers.name, self.workers_by_id[best])
        return Assignment(job, place, best, number, ticket)

    def _take_best(self, offers, place):
        """Take the best worker, but not where the task failed if another is.

        The one where it failed stays on offer for the others.
        """
        best = heappop(offers.ranked_workers)
        failed_on = self.manager.last_failed_worker_by_task.get(
            f"{offers.job.plan.job_id}.{place.step}.{place.index}"
        )
        if best[1] != failed_on or not offers.ranked_workers:
            return best[1]
        other = heappop(offers.ranked_workers)
        heappush(offers.ranked_workers, best)
        return other[1]

    def _offer_again(self, offers, worker_id):
        """Offer a worker that got a task for the next one, if it may."""
        if not fits(offers.demand, self.free_by_id[worker_id]):
            return
        if self._may_run(offers, worker_id):
            order = self._order(offers, worker_id)
            heappush(offers.ranked_workers, (order, worker_id))

    def _ticket(self, name, worker):
        return ticket_for(self.manager, name, worker, self.at_ms)

    def _order(self, offers, worker_id):
        """Rank a worker: data's rack, no failures, least room."""
        step = offers.step
        worker = self.workers_by_id[worker_id]
        far = bool(step.data_rack) and worker.entry.rack != step.data_rack
        free = self.free_by_id[worker_id]
        return (far, worker.consecutive_failures > 0, free.cpu_milli)

    def _take(self, worker_id, name, team, size, demand):
        free = self.free_by_id[worker_id]
        self.free_by_id[worker_id] = add_size(free, demand, -1)
        used = self.used_by_team.get(team, NO_SIZE)
        self.used_by_team[team] = add_size(used, size)
        key = (worker_id, name)
        count = self.count_by_worker_step.get(key, 0)
        self.count_by_worker_step[key] = count + 1

    def _reserve(self, step, job):
        """Keep the emptiest worker for a task that found no room."""
        if (
            len(self.reserved_worker_ids) >= MAX_RESERVED_WORKERS
            or step.best_effort
        ):
            return
        candidates = [
            worker_id
            for worker_id in self.free_by_id
            if worker_id not in self.reserved_worker_ids
            and fits(step.size, self.workers_by_id[worker_id].entry.capacity)
        ]
        if len(candidates) > MAX_RESERVED_WORKERS:
            self.reserved_worker_ids.append(
                max(
                    candidates,
                    key=lambda name: (self.free_by_id[name].cpu_milli, name),
                )
            )

    def _within_ceiling(self, team, size):
        used = self.used_by_team.get(team, NO_SIZE)
        return is_within_ceiling(self.manager, team, add_size(used, size))

    def _count_spread(self, job, number):
        """Count a step's tasks that run on each worker."""
        if not job.running_count:
            return
        prefix = f"{job.plan.job_id}."
        runs = self.manager.runs_by_task
        for worker_id, worker in self.workers_by_id.items():
            for task in worker.tasks:
                if not task.startswith(prefix):
                    continue
                place = runs[task].place
                if place.step == number:
                    key = (worker_id, step_name(job, place))
                    count = self.count_by_worker_step.get(key, 0)
                    self.count_by_worker_step[key] = count + 1


def is_within_ceiling(manager: ManagerState, team: str, used: Size) -> bool:
    """Tell whether a team may take so much room.

    Args:
      manager: State of the leader.
      team: The team.
      used: Room that its runs would take.
    Returns:
      False above its ceiling; a ceiling of 0 limits nothing.
    """
    quota = manager.manifest.quotas_by_team.get(team)
    if quota is None:
        return True
    return fits(_limited(used, quota.ceiling), quota.ceiling)


def is_available(worker: Worker, at_ms: int) -> bool:
    """Tell whether new tasks may be started on a worker.

    Args:
      worker: The worker.
      at_ms: The node's clock.
    Returns:
      False for one that leaves, is silent, sick or not known enough.
    """
    return exclusion_reason(worker, at_ms) is None


def exclusion_reason(worker: Worker, at_ms: int) -> ExclusionReason | None:
    """Find the first reason why a worker gets no new tasks.

    Args:
      worker: The worker.
      at_ms: The node's clock.
    Returns:
      The reason, or None for a worker that gets tasks.
    """
    if not worker.registered:
        return ExclusionReason.UNREGISTERED
    if not worker.contacted:
        return ExclusionReason.NOT_CONTACTED
    if not worker.lease_recorded:
        return ExclusionReason.LEASE_NOT_RECORDED
    if not has_recent_report(worker, at_ms):
        return ExclusionReason.SILENT
    if worker.entry.draining:
        return ExclusionReason.DRAINING
    if worker.evacuating or worker.terminated:
        return ExclusionReason.EVACUATING
    if worker.untracked_runs:
        return ExclusionReason.UNTRACKED_RUNS
    if worker.quarantined_until_ms > at_ms:
        return ExclusionReason.QUARANTINED
    return None


def _asks_only_room(offers):
    """Tell whether nothing but room keeps a step off a worker."""
    step = offers.step
    return not (
        step.required_label or step.max_per_worker or offers.requires_advice
    )


def _limited(used, ceiling):
    """Leave out what a ceiling does not limit."""
    return Size(
        used.cpu_milli if ceiling.cpu_milli else 0,
        used.memory_mb if ceiling.memory_mb else 0,
        used.accelerators if ceiling.accelerators else 0,
    )


def _by_step(job) -> list[tuple[StepPlan, list[TaskPlace]]]:
    """Group the waiting tasks of a job by step, in order."""
    groups: dict[tuple[int, int], list[TaskPlace]] = {}
    for place in job.waiting:
        groups.setdefault((place.occurrence, place.step), []).append(place)
    return [
        (job.plan.steps[step], groups[occurrence, step])
        for occurrence, step in sorted(groups)
    ]


def next_run_number(manager: ManagerState, task: str) -> int:
    """Choose a run number above all that any leader can have used.

    Args:
      manager: State of the leader.
      task: Identifier of the task.
    Returns:
      The number.
    """
    floor = (manager.term.epoch - 1) * RUN_NUMBERS_PER_TERM
    return max(manager.highest_run_number_by_task.get(task, 0), floor) + 1
