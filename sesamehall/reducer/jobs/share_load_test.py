"""Tests of a pool that several teams load at once.

Loads: one team at several times its usual beside the usual load of others,
and teams that are all backlogged.
"""

from random import Random

from immutables import Map
import pytest

from sesamehall.core.logevents import JOB_FINISHED
from sesamehall.core.managereffects import StartRun
from sesamehall.core.manifest import Quota
from sesamehall.core.replacing import replace
from sesamehall.core.work import ActiveRun
from sesamehall.core.work import EndedRun
from sesamehall.core.work import RunEnd
from sesamehall.core.work import Size
from sesamehall.core.workstate import Durations
from sesamehall.reducer.jobs.active_jobs import activate_job
from sesamehall.reducer.jobs.reports import apply_report
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest_with
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_report
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import effects_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import place_all

TICK_MS = 25  # time between two reports, each followed by a placement round
TASK = Size(3_000, 6_000)
TASK_MS = 500  # as declared by build_step
WORKER = Size(32_000, 128_000)
TASKS_PER_WORKER = 10


class LoadedPool:
    """A leader, its workers and the runs on them, advanced tick by tick."""

    def __init__(self, worker_count, weight_by_team):
        """Set up idle workers and teams without jobs."""
        manifest = build_manifest_with(stretch=1.6, slack_ms=600)
        quotas = {
            team: Quota(team, weight)
            for team, weight in weight_by_team.items()
        }
        workers = []
        for number in range(worker_count):
            worker = build_worker(f"w{number:02}", lease_end_ms=10**9)
            entry = replace(worker.entry, capacity=WORKER)
            workers.append(replace(worker, entry=entry))
        self.leader = build_leader(
            *workers,
            manifest=replace(manifest, quotas_by_team=Map(quotas)),
            order_window=10**6,
            durations_by_queue=Map(quotes=Durations(60, 500.0, 500.0)),
        )
        self.random = Random(0)
        self.at_ms = NOW_MS
        self.end_ms_by_task = {}
        self.ended_by_worker = {}
        self.used_ms_by_team = {}
        self.late_by_team = {}
        self.done_by_team = {}

    def submit(self, team, steps, count):
        """Let a team submit a job."""
        number = len(self.leader.team_by_job_id)
        plan_steps = [
            replace(
                build_step(count, size=TASK),
                depends_on=(step - 1,) if step else (),
            )
            for step in range(steps)
        ]
        plan = build_plan(*plan_steps, job_id=f"{number:016x}", team=team)
        leader = self.leader
        leader = replace(
            leader,
            plans_by_id=leader.plans_by_id.set(plan.job_id, plan),
            team_by_job_id=leader.team_by_job_id.set(plan.job_id, team),
        )
        step = activate_job(leader, plan.job_id, False, self.at_ms)
        self.leader = step.state

    def advance(self):
        """End what is due, let all workers report, and place tasks."""
        term = replace(self.leader.term, confirmed_ms=self.at_ms)
        self.leader = replace(self.leader, term=term)
        for worker_id in list(self.leader.workers_by_id):
            self._report(worker_id)
        step = place_all(self.leader, self.at_ms)
        self.leader = step.state
        for order in effects_of(step, StartRun):
            duration_ms = self.random.randint(TASK_MS // 2, TASK_MS * 3 // 2)
            self.end_ms_by_task[order.task] = self.at_ms + duration_ms
        for run in self.leader.runs_by_task.values():
            used_ms = self.used_ms_by_team.get(run.team, 0)
            self.used_ms_by_team[run.team] = used_ms + TICK_MS
        self.at_ms += TICK_MS

    def _report(self, worker_id):
        """Report the runs of a worker."""
        runs = self.leader.runs_by_task
        active, ended = [], self.ended_by_worker.setdefault(worker_id, [])
        for task in self.leader.workers_by_id[worker_id].tasks:
            number = runs[task].number
            if self.end_ms_by_task[task] > self.at_ms:
                active.append(ActiveRun(task, number, "", percent=50))
            else:
                sequence = len(ended) + 1
                ended.append(EndedRun(sequence, task, number, RunEnd.DONE))
        report = build_report(worker_id, active, ended, self.at_ms)
        step = apply_report(self.leader, report)
        self.leader = step.state
        for line in details_of(step, JOB_FINISHED):
            team = self.leader.team_by_job_id[line["job"]]
            self.done_by_team[team] = self.done_by_team.get(team, 0) + 1
            if line["took_ms"] > line["goal_ms"]:
                self.late_by_team[team] = self.late_by_team.get(team, 0) + 1

    def late_jobs(self, team):
        """Count the team's jobs that were late, or are and have not ended."""
        unfinished = sum(
            job.plan.team == team
            and job.goal_ms < self.at_ms
            and bool(job.waiting or job.running_count)
            for job in self.leader.active_jobs_by_id.values()
        )
        return self.late_by_team.get(team, 0) + unfinished


WEIGHT_BY_TEAM = {"big": 135, "b": 59, "c": 36, "d": 26, "e": 20}
TOTAL_WEIGHT = sum(WEIGHT_BY_TEAM.values())
LOAD = 0.6  # part of the pool that all teams use together as a rule
MEAN_TASKS = 12  # of a job: 8 in each of 1 or 2 steps


def play_flood(seed, factor, worker_count=24, length_ms=8_000):
    """Load a pool; the largest team sends `factor` times its usual for 6 s."""
    pool = LoadedPool(worker_count, WEIGHT_BY_TEAM)
    slots = worker_count * TASKS_PER_WORKER
    jobs_per_tick = LOAD * slots * TICK_MS / (MEAN_TASKS * TASK_MS)
    # Each team has its own random numbers: the others send the same always.
    random_by_team = {team: Random(f"{seed}{team}") for team in WEIGHT_BY_TEAM}
    submitted = dict.fromkeys(WEIGHT_BY_TEAM, 0)
    while pool.at_ms < NOW_MS + length_ms:
        flooding = NOW_MS + 1_000 <= pool.at_ms < NOW_MS + 7_000
        for team, weight in WEIGHT_BY_TEAM.items():
            rate = jobs_per_tick * weight / TOTAL_WEIGHT
            if team == "big" and flooding:
                rate *= factor
            random = random_by_team[team]
            while rate > random.random():
                rate -= 1
                submitted[team] += 1
                pool.submit(team, random.choice((1, 2)), 8)
        pool.advance()
    return pool, submitted


@pytest.mark.parametrize("seed", range(2))
def test_flood_of_one_team_makes_no_other_late(seed):
    """One team at 7.5 times its usual, beyond what the pool holds."""
    usual, submitted = play_flood(seed, 1)
    flooded, _ = play_flood(seed, 7.5)
    for team in ("b", "c", "d", "e"):
        more = flooded.late_jobs(team) - usual.late_jobs(team)
        assert more <= 0.1 * submitted[team], (team, submitted)
    assert flooded.done_by_team["big"] > usual.done_by_team["big"]


def play_backlog(seed, worker_count=24, seconds=7):
    """Keep all teams backlogged; return the tasks' time by second and team."""
    pool = LoadedPool(worker_count, WEIGHT_BY_TEAM)
    slots = worker_count * TASKS_PER_WORKER
    random = Random(seed)
    used = []
    for _ in range(seconds):
        before = dict(pool.used_ms_by_team)
        for _ in range(1_000 // TICK_MS):
            waiting = dict.fromkeys(WEIGHT_BY_TEAM, 0)
            for job in pool.leader.active_jobs_by_id.values():
                waiting[job.plan.team] += len(job.waiting)
            for team, weight in WEIGHT_BY_TEAM.items():
                while waiting[team] < 20 + slots * weight / TOTAL_WEIGHT:
                    count = random.randint(2, 14)
                    pool.submit(team, random.choice((1, 2)), count)
                    waiting[team] += count
            pool.advance()
        used.append(
            {
                team: pool.used_ms_by_team.get(team, 0) - before.get(team, 0)
                for team in WEIGHT_BY_TEAM
            }
        )
    return used


@pytest.mark.parametrize("seed", range(2))
def test_backlogged_teams_get_their_shares(seed):
    """All teams backlogged; the oracle divides each instant by weight."""
    used = play_backlog(seed)
    for first in range(len(used) - 4):
        window = used[first : first + 5]
        total = sum(sum(second.values()) for second in window)
        for team, weight in WEIGHT_BY_TEAM.items():
            got = sum(second[team] for second in window) / total
            assert got == pytest.approx(weight / TOTAL_WEIGHT, abs=0.02), (
                first,
                team,
            )
