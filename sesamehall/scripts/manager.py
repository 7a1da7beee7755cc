"""The manager program: serves job calls and, as leader, manages the fleet."""

import os
import signal
import sys
from typing import NoReturn

from sesamehall.platform.listening import Listeners
from sesamehall.platform.listening import open_listeners


def run_manager() -> None:
    """Run until SIGTERM, then finish calls in flight and exit.

    The environment variable SESAMEHALL_BOOT names the settings file, which the
    platform writes.  Problems in it are printed with file and field; the exit
    code is then 2.
    """
    load_and_run(open_listeners(os.environ))


def load_and_run(listeners: Listeners | None) -> NoReturn:
    """Load the settings, run the manager and exit the process.

    The imports are slow.  They are made here so that the listening sockets are
    opened before them and connections are queued in the meantime.

    Args:
      listeners: Listening sockets, or None if they could not be opened.
    """
    from sesamehall.core.codes import SettingsError
    from sesamehall.platform.application import ManagerApplication
    from sesamehall.platform.settings import load_settings
    from sesamehall.platform.settings import unusable_address
    from sesamehall.runtime.logqueue import set_up_queued_logging
    from sesamehall.scripts.problems import exit_with_problems

    try:
        settings = load_settings(os.environ)
        if listeners is None:
            raise unusable_address(os.environ)
        application = ManagerApplication(settings, listeners)
    except OSError:
        exit_with_problems(unusable_address(os.environ))
    except SettingsError as error:
        exit_with_problems(error)
    log_writer = set_up_queued_logging()
    signal.signal(signal.SIGTERM, lambda *_: application.request_stop())
    # Settings are read only at the start, so SIGHUP reloads nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    application.serve()
    log_writer.stop()
    os._exit(0)  # returns immediately although threads are in blocking calls


def main() -> None:
    """Run the program; it has no options but --help.

    The argument parser is imported only if it is needed, to keep the process
    small.
    """
    match sys.argv[1:]:
        case []:
            run_manager()
        case _:
            from defopt import run

            run(run_manager)


if __name__ == "__main__":
    main()
