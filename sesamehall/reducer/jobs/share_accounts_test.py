"""Tests of the accounts of teams, and of the log lines about them."""

from immutables import Map
import pytest

from sesamehall.core.fleet import StoredRecord
from sesamehall.core.fleet import Stream
from sesamehall.core.fleetstate import FleetState
from sesamehall.core.jobtiming import WAITING_LOG_PERIOD_MS
from sesamehall.core.logevents import TASKS_WAITING
from sesamehall.core.logevents import TEAM_GONE_WITH_JOBS
from sesamehall.core.logevents import TEAMS_SHARE_POOL
from sesamehall.core.logevents import WEIGHT_REPLACED
from sesamehall.core.managerevents import StreamRead
from sesamehall.core.manifest import Quota
from sesamehall.core.manifest import WeightDefect
from sesamehall.core.replacing import replace
from sesamehall.core.work import Size
from sesamehall.reducer.jobs.fair_share import order_by_shares
from sesamehall.reducer.jobs.fair_share import TeamLoads
from sesamehall.reducer.jobs.leadership import end_term
from sesamehall.reducer.jobs.share_accounts import team_weight
from sesamehall.reducer.jobs.stream_reading import apply_stream_read
from sesamehall.reducer.jobs.testing import activate_jobs
from sesamehall.reducer.jobs.testing import build_leader
from sesamehall.reducer.jobs.testing import build_manifest
from sesamehall.reducer.jobs.testing import build_plan
from sesamehall.reducer.jobs.testing import build_step
from sesamehall.reducer.jobs.testing import build_worker
from sesamehall.reducer.jobs.testing import details_of
from sesamehall.reducer.jobs.testing import NOW_MS
from sesamehall.reducer.jobs.testing import OTHER_JOB_ID
from sesamehall.reducer.jobs.testing import place_all
from sesamehall.reducer.jobs.waiting_log import log_waiting_tasks

HALF = Size(2_000, 1_000)  # half of the processor time of a worker


def manifest_with(**weight_by_team):
    quotas = {
        team: Quota(team, float(weight))
        for team, weight in weight_by_team.items()
    }
    return replace(build_manifest(), quotas_by_team=Map(quotas))


def load_leader(manifest, guild_step, other_step, **others):
    """Build a leader with one worker, and a job of each of two teams."""
    return activate_jobs(
        build_leader(build_worker("w"), manifest=manifest, **others),
        build_plan(guild_step),
        build_plan(other_step, job_id=OTHER_JOB_ID, team="other"),
    )


def accounts_of(manager):
    """Map each team to what it asks for, is entitled to and uses."""
    sample = manager.shares_by_pool["a"]
    return {
        team: (account.asked, account.fair, account.used)
        for team, account in sample.accounts_by_team.items()
    }


@pytest.mark.parametrize(
    ("pattern", "weights", "guild_step", "expected"),
    [
        (
            "both want more: by weight",
            {"guild": 3, "other": 1},
            build_step(8, size=HALF),
            {"guild": (4.0, 0.75, 0.0), "other": (2.0, 0.25, 0.0)},
        ),
        (
            "memory is the dominant resource of one",
            {"guild": 1, "other": 1},
            build_step(4, size=Size(500, 6_000)),
            {"guild": (3.0, 0.8, 0.0), "other": (2.0, 0.8, 0.0)},
        ),
        (
            "a team that is gone has the mean weight",
            {"guild": 3, "second": 1},
            build_step(8, size=HALF),
            {"guild": (4.0, 0.6, 0.0), "other": (2.0, 0.4, 0.0)},
        ),
        (
            "long-running tasks are not divided",
            {"guild": 1, "other": 1},
            build_step(8, size=HALF, long_running=True),
            {"other": (2.0, 1.0, 0.0)},
        ),
    ],
)
def test_pool_is_divided_by_weight(pattern, weights, guild_step, expected):
    """A burst of one team beside another one, on one worker."""
    other_step = build_step(4, size=HALF)
    leader = load_leader(manifest_with(**weights), guild_step, other_step)
    accounts = accounts_of(place_all(leader).state)
    assert set(accounts) == set(expected)
    for team, account in expected.items():
        assert accounts[team] == pytest.approx(account, abs=0.001), team


@pytest.mark.parametrize(
    ("weights", "expected"),
    [({"guild": 3, "other": 1}, 1), ({"guild": 3}, 0)],
    ids=["two teams", "one team: no shares"],
)
def test_line_tells_what_teams_get(weights, expected):
    """Guards against a team that waits without the log telling why."""
    step = build_step(4, size=HALF)
    leader = load_leader(manifest_with(**weights), step, step)
    lines = details_of(place_all(leader), TEAMS_SHARE_POOL)
    assert len(lines) == expected
    for line in lines:
        assert line["shares"] == (
            "guild:3:200.0:75.0:0.0:0:0:1,other:1:200.0:25.0:0.0:0:0:1"
        )


def test_use_counts_under_a_new_leader():
    """A change of leader: use follows from the runs, debts end."""
    step = build_step(4, size=HALF)
    leader = load_leader(manifest_with(guild=1, other=1), step, step)
    leader = place_all(leader).state
    later = place_all(leader, NOW_MS + 200).state
    assert sum(used for _, _, used in accounts_of(later).values()) == 1.0
    debts = [
        account.debt_ms
        for account in later.shares_by_pool["a"].accounts_by_team.values()
    ]
    assert sorted(debts) == [-100.0, 100.0]
    assert not end_term(later, "test", NOW_MS + 300).state.shares_by_pool
    # A new leader adopts the runs, and knows no accounts.
    successor = replace(later, shares_by_pool=Map())
    after = place_all(successor, NOW_MS + 300).state
    assert accounts_of(after) == accounts_of(later)


@pytest.mark.parametrize(
    ("event", "quotas", "expected"),
    [
        (
            WEIGHT_REPLACED,
            (Quota("guild", weight_defect=WeightDefect.MISSING), Quota("b")),
            ["guild:missing:1"],
        ),
        (WEIGHT_REPLACED, (Quota("guild"),), []),
        (TEAM_GONE_WITH_JOBS, (Quota("b"),), ["guild:1"]),
        (TEAM_GONE_WITH_JOBS, (Quota("guild"),), []),
    ],
)
def test_manifest_that_is_applied_with_a_warning(event, quotas, expected):
    """Bad weights, and a team that goes while it has jobs."""
    leader = activate_jobs(build_leader(build_worker("w")), build_plan())
    by_team = Map({quota.team: quota for quota in quotas})
    manifest = replace(build_manifest(), version=2, quotas_by_team=by_team)
    record = StoredRecord("config", manifest)
    read = StreamRead(NOW_MS, NOW_MS, 0, Stream.OPERATOR, (record,), 9, False)
    step = apply_stream_read(leader, read)
    assert [line["teams"] for line in details_of(step, event)] == expected
    assert step.state.manifest.version == 2


def test_weight_of_a_caller_without_team_is_the_mean():
    assert team_weight(manifest_with(a=1, b=5), "") == 3.0


@pytest.mark.parametrize(
    ("pattern", "held_ms", "urgent", "expected"),
    [
        ("by weight", {}, "", ["a1", "b1", "b2", "b3", "a2"]),
        ("a holds its share", {"a": 25.0}, "", ["b1", "b2", "b3", "a1", "a2"]),
        ("b has a debt", {"b": 90.0}, "", ["a1", "a2", "b1", "b2", "b3"]),
        ("priority first", {"a": 25.0}, "a1", ["a1", "b1", "b2", "b3", "a2"]),
    ],
)
def test_order_by_start_tags(pattern, held_ms, urgent, expected):
    """The first job goes ahead even if it is larger than the share."""
    jobs = ["a1", "a2", "b1", "b2", "b3"]
    priorities = {job: int(job != urgent) for job in jobs}
    loads = TeamLoads(
        team_by_job_id={job: job[0] for job in jobs},
        cost_ms_by_job_id=dict.fromkeys(jobs, 30.0),
        weight_by_team={"a": 1.0, "b": 3.0},
        held_ms_by_team=held_ms,
    )
    assert order_by_shares(priorities, loads) == expected


# Guards against jobs that are late for the sake of shares at the beginning of
# a surge, though machines are on their way to the pool.
@pytest.mark.parametrize(
    ("targets", "short", "contended"),
    [
        ({}, {}, True),
        ({"a": 4}, {}, False),
        ({"a": 4}, {"a": True}, True),
        ({"a": 4, "b": 2}, {"b": True}, False),
    ],
    ids=["not sized", "machines to come", "none left", "another is short"],
)
def test_shares_decide_only_while_the_pool_cannot_grow(
    targets, short, contended
):
    fleet = FleetState(targets_by_pool=Map(targets), short_pools=Map(short))
    manager = load_leader(
        manifest_with(guild=3, other=1),
        build_step(8, size=HALF),
        build_step(4, size=HALF),
        fleet=fleet,
    )
    manager = place_all(manager).state
    assert manager.shares_by_pool["a"].contended is contended


@pytest.mark.parametrize(
    ("pattern", "weights"),
    [("no team is left", {}), ("one team is left", {"guild": 1})],
)
def test_pool_is_no_longer_shared_after_a_manifest(pattern, weights):
    manifest = manifest_with(guild=3, other=1)
    step = build_step(8, size=HALF)
    manager = place_all(load_leader(manifest, step, step)).state
    assert manager.shares_by_pool["a"].contended
    manager = replace(manager, manifest=manifest_with(**weights))
    later_ms = NOW_MS + WAITING_LOG_PERIOD_MS
    step = log_waiting_tasks(manager, "a", later_ms)
    assert details_of(step, TASKS_WAITING)
    assert not details_of(step, TEAMS_SHARE_POOL)
