"""The steward program: follows the log; places, moves and maintains."""

from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.core.settings import StewardSettings
from sesamehall.runtime.eventlogger import set_up_logging
from sesamehall.runtime.steward import StewardApplication
from sesamehall.scripts.common import load_or_exit
from sesamehall.scripts.common import run_daemon


def run_steward(*, settings: str) -> None:
    """Manage the fleet until SIGTERM.

    Problems in the settings are printed with file, line and field; the exit
    code is then 2.

    Args:
      settings: YAML file with the steward's settings; docs/OPERATORS.md
        describes its fields.
    """
    loaded = load_or_exit(settings, StewardSettings, SETTINGS_CHECKS)
    set_up_logging()
    StewardApplication(loaded).serve()


def main() -> None:
    """Run the program."""
    run_daemon(run_steward)


if __name__ == "__main__":
    main()
