"""Tests of YAML settings and lists: problems with file, line and field."""

import pytest

from sesamehall.codecs.checks import check_limits
from sesamehall.codecs.checks import check_plans
from sesamehall.codecs.checks import check_settings
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
        (EntrySettings, check_settings, "", [(1, "")]),
        (EntrySettings, check_settings, "a: [", [(1, "")]),
        (EntrySettings, check_settings, "- a\n", [(1, "")]),
        (
            EntrySettings,
            check_settings,
            ENTRY + "colour: 1\n",
            [(5, "colour")],
        ),
        (EntrySettings, check_settings, ENTRY + "name: b\n", [(5, "name")]),
        (
            EntrySettings,
            check_settings,
            ENTRY + "threads: x\nqueue_limit: true\n",
            [(5, "threads"), (6, "queue_limit")],
        ),
        (
            EntrySettings,
            check_settings,
            ENTRY + "threads: 0\n",
            [(5, "threads")],
        ),
        (
            EntrySettings,
            check_settings,
            "name: a\n",
            [(1, "data_centre"), (1, "http"), (1, "stream")],
        ),
        (
            EntrySettings,
            check_settings,
            "name: A b\ndata_centre: n\nhttp: h\nstream: h:99999\n",
            [(1, "name"), (3, "http"), (4, "stream")],
        ),
        (
            EntrySettings,
            check_settings,
            ENTRY + PEERS.replace("KIND", "king"),
            [(6, "peers.0.kind")],
        ),
        (
            EntrySettings,
            check_settings,
            ENTRY + PEERS.replace("KIND", "entry"),
            [(6, "peers.0.name")],
        ),
        (LimitsList, check_limits, "limits: 5\n", [(1, "limits")]),
        (
            LimitsList,
            check_limits,
            LIMITS + "- {team: a, share: 0, ceiling: 0}\n",
            [
                (3, "limits.1.team"),
                (3, "limits.1.share"),
                (3, "limits.1.ceiling"),
            ],
        ),
        (
            LimitsList,
            check_limits,
            LIMITS + "- {team: b, share: 1.5, ceiling: 1001}\n",
            [(3, "limits.1.share")],
        ),
        (
            LimitsList,
            check_limits,
            LIMITS + "- {team: b, share: 1001, ceiling: 1000001}\n",
            [(3, "limits.1.share"), (3, "limits.1.ceiling")],
        ),
        (
            PlansList,
            check_plans,
            POOL + "plans:\n- {team: t, services: [s], pools: [p]}\n",
            [(4, "plans.0.services.0"), (4, "plans.0.pools.0")],
        ),
        (
            PlansList,
            check_plans,
            POOL + "services:\n- {name: s, pool: q, open_to: t}\n",
            [(4, "services.0.pool"), (4, "services.0.open_to")],
        ),
        (
            PlansList,
            check_plans,
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
    assert found == problems
    assert all(p.source.file == "file.yaml" for p in caught.value.problems)


def test_valid_list_is_structured():
    assert parse_yaml("f", LIMITS, LimitsList, check_limits) == LimitsList(
        (Limit("a", 1, 5),)
    )
