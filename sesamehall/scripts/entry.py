"""The entry program: accepts and routes callers' requests and jobs."""

from sesamehall.codecs.checks import SETTINGS_CHECKS
from sesamehall.core.settings import EntrySettings
from sesamehall.runtime.eventlogger import set_up_logging
from sesamehall.scripts.common import load_or_exit
from sesamehall.scripts.common import run_daemon


def run_entry(*, settings: str) -> None:
    """Serve callers until SIGTERM, then finish requests in flight and exit.

    Problems in the settings are printed with file, line and field; the exit
    code is then 2.

    Args:
      settings: YAML file with the entry's settings; docs/OPERATORS.md
        describes its fields.
    """
    loaded = load_or_exit(settings, EntrySettings, SETTINGS_CHECKS)
    set_up_logging()
    from sesamehall.runtime.entry import EntryApplication

    EntryApplication(loaded).serve()


def main() -> None:
    """Run the program."""
    run_daemon(run_entry)


if __name__ == "__main__":
    main()
