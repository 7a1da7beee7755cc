"""The manager program: serves job calls and, as leader, manages the fleet."""

import os
import signal
import sys

from sesamehall.platform.listening import open_listeners


def main() -> None:
    """Run until SIGTERM, then finish calls in flight and exit.

    Problems in the settings are printed with file and field; the exit code is
    then 2.
    """
    listeners = open_listeners(os.environ)
    load_and_run(listeners)


def load_and_run(listeners) -> None:
    """Import the program and run it.

    The imports are slow, so the caller opens the listening sockets first.

    Args:
      listeners: Listening sockets, or None if they could not be opened.
    """
    from sesamehall.core.codes import SettingsError
    from sesamehall.platform.application import ManagerApplication
    from sesamehall.platform.settings import load_settings
    from sesamehall.runtime.logqueue import set_up_queued_logging
    from sesamehall.scripts.problems import exit_with_problems

    try:
        settings = load_settings(os.environ)
    except SettingsError as error:
        exit_with_problems(error)
    if listeners is None:
        sys.exit("cannot listen on the addresses in the settings")
    writer = set_up_queued_logging()
    application = ManagerApplication(settings, listeners)
    signal.signal(signal.SIGTERM, lambda *_: application.request_stop())
    # Settings are read only at the start, so SIGHUP reloads nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    application.serve()
    writer.stop()
    os._exit(0)  # does not wait for threads in blocking calls


if __name__ == "__main__":
    main()
