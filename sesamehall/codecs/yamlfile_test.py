"""Tests that problems in YAML settings and lists name file, line and field."""

import pytest

from sesamehall.codecs.checks import LIMITS_CHECKS
from sesamehall.codecs.checks import PLANS_CHECKS
from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.codecs.yamlfile import parse_yaml
from sesamehall.core.codes import SettingsError
from sesamehall.core.data import Limit
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.settings import EntrySettings

PEERS = "peers:\n- {name: a, kind: KIND, data_centre: n, address: h:1}\n"
ENTRY = "name: a\ndata_centre: n\nhttp: h:1\nstream: h:2\n"
LIMITS = "limits:\n- {team: a, share: 1, ceiling: 5}\n"
POOL = "pools:\n- {name: p, kind: executor}\n"


@pytest.mark.parametrize(
    ("cls", "check", "text", "problems"),
    [
        (EntrySettings, SETTINGS_CHECKS, "", [(1, "")]),
        (EntrySettings, SETTINGS_CHECKS, "a: [", [(1, "")]),
        (EntrySettings, SETTINGS_CHECKS, "- a\n", [(1, "")]),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            ENTRY + "colour: 1\n",
            [(5, "colour")],
        ),
        (EntrySettings, SETTINGS_CHECKS, ENTRY + "name: b\n", [(5, "name")]),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            ENTRY + "threads: x\nqueue_limit: true\n",
            [(5, "threads"), (6, "queue_limit")],
        ),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            ENTRY + "threads: 0\n",
            [(5, "threads")],
        ),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            "name: a\n",
            [(1, "data_centre"), (1, "http"), (1, "stream")],
        ),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            "name: a\nhttp: x\nthreads: no\n",
            [(3, "threads"), (1, "data_centre"), (1, "stream"), (2, "http")],
        ),
        (
            LimitsList,
            LIMITS_CHECKS,
            "limits:\n- {team: a, share: 0, ceiling: 1}\n- {team: b}\n",
            [
                (2, "limits.0.share"),
                (3, "limits.1.share"),
                (3, "limits.1.ceiling"),
            ],
        ),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            "name: A b\ndata_centre: n\nhttp: h\nstream: h:99999\n",
            [(1, "name"), (3, "http"), (4, "stream")],
        ),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            ENTRY + PEERS.replace("KIND", "king"),
            [(6, "peers.0.kind")],
        ),
        (
            EntrySettings,
            SETTINGS_CHECKS,
            ENTRY + PEERS.replace("KIND", "entry"),
            [(6, "peers.0.name")],
        ),
        (LimitsList, LIMITS_CHECKS, "limits: 5\n", [(1, "limits")]),
        (
            LimitsList,
            LIMITS_CHECKS,
            LIMITS + "- {team: a, share: 0, ceiling: 0}\n",
            [
                (3, "limits.1.team"),
                (3, "limits.1.share"),
                (3, "limits.1.ceiling"),
            ],
        ),
        (
            LimitsList,
            LIMITS_CHECKS,
            LIMITS + "- {team: b, share: 1.5, ceiling: 1001}\n",
            [(3, "limits.1.share")],
        ),
        (
            LimitsList,
            LIMITS_CHECKS,
            LIMITS + "- {team: b, share: 1001, ceiling: 1000001}\n",
            [(3, "limits.1.share"), (3, "limits.1.ceiling")],
        ),
        (
            PlansList,
            PLANS_CHECKS,
            POOL + "plans:\n- {team: t, services: [s], pools: [p]}\n",
            [(4, "plans.0.services.0"), (4, "plans.0.pools.0")],
        ),
        (
            PlansList,
            PLANS_CHECKS,
            POOL + "services:\n- {name: s, pool: q, open_to: t}\n",
            [(4, "services.0.pool"), (4, "services.0.open_to")],
        ),
        (
            PlansList,
            PLANS_CHECKS,
            POOL + "- {name: p, kind: worker, minimum: -1}\n",
            [(3, "pools.1.name"), (3, "pools.1.minimum")],
        ),
    ],
)
def test_problems_name_line_and_field(cls, check, text, problems):
    with pytest.raises(SettingsError) as caught:
        parse_yaml("file.yaml", text, cls, check)
    found = [
        (problem.source.line, problem.field)
        for problem in caught.value.problems
    ]
    assert found == sorted(problems)
    assert all(p.source.file == "file.yaml" for p in caught.value.problems)


def test_valid_list_is_parsed():
    assert parse_yaml("f", LIMITS, LimitsList, LIMITS_CHECKS) == LimitsList(
        (Limit("a", 1, 5),)
    )
