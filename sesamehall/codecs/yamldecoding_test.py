"""Property-based tests of the operators' lists and settings.

Whatever an operator writes, the file is valid and can be stored, or its
problems are reported.
"""

from hypothesis import given
from hypothesis import strategies
import pytest

from sesamehall.codecs.checks import LIMITS_CHECKS
from sesamehall.codecs.checks import PLANS_CHECKS
from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.codecs.packing import pack
from sesamehall.codecs.yamlfile import parse_yaml
from sesamehall.core.codes import SettingsError
from sesamehall.core.data import LimitsList
from sesamehall.core.data import PlansList
from sesamehall.core.settings import EntrySettings

SETTINGS = "name: a\ndata_centre: n\nhttp: h:1\nstream: h:2\n"
LIMITS = "limits:\n- {team: a, share: 1, ceiling: 5}\n"
PLANS = (
    "pools:\n- {name: p, kind: executor, minimum: 1}\n"
    "services:\n- {name: s, pool: p}\n"
    "plans:\n- {team: a, services: [s]}\n"
)
ODD_TEXT = strategies.text(strategies.characters(), max_size=12)
ODD_VALUE = ODD_TEXT | strategies.sampled_from(
    ['"\\uD800"', "9" * 400, "-1", ".inf", ".nan", "[" * 2_000, "&a *a", "!!x"]
)
BY_FILE = pytest.mark.parametrize(
    ("cls", "checks", "sound"),
    [
        (EntrySettings, SETTINGS_CHECKS, SETTINGS),
        (LimitsList, LIMITS_CHECKS, LIMITS),
        (PlansList, PLANS_CHECKS, PLANS),
    ],
    ids=["settings", "limits", "plans"],
)


def check_text(cls, checks, text):
    """Check that a file is valid and storable, or has problems."""
    try:
        value = parse_yaml("file", text, cls, checks)
    except SettingsError as error:
        assert error.problems
    else:
        assert pack(value)


@BY_FILE
def test_sound_file_is_valid(cls, checks, sound):
    assert parse_yaml("file", sound, cls, checks)


@BY_FILE
@given(
    start=strategies.integers(0, 150),
    length=strategies.integers(0, 8),
    value=ODD_VALUE,
)
def test_changed_file_is_storable_or_reported(
    cls, checks, sound, start, length, value
):
    start %= len(sound)
    text = sound[:start] + value + sound[start + length :]
    check_text(cls, checks, text)


@BY_FILE
@given(text=ODD_TEXT)
def test_any_text_is_storable_or_reported(cls, checks, sound, text):
    check_text(cls, checks, text)
