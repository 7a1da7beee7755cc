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
    """Load the settings, run the manager and exit the process.

    The imports are slow.  They are made here so that the listening sockets are
    opened before them and connections are queued in the meantime.

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
    log_writer = set_up_queued_logging()
    application = ManagerApplication(settings, listeners)
    signal.signal(signal.SIGTERM, lambda *_: application.request_stop())
    # Settings are read only at the start, so SIGHUP reloads nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    application.serve()
    log_writer.stop()
    os._exit(0)  # returns immediately although threads are in blocking calls


if __name__ == "__main__":
    main()
