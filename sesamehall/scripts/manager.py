"""The manager: serves callers' jobs, and leads the fleet where it must."""

import os
import signal
import sys

from sesamehall.platform.listening import open_listeners


def main() -> None:
    """Run until SIGTERM, then stop without cutting off any call.

    Settings that are not valid are listed with file and field, and the exit
    code is 2.
    """
    listeners = open_listeners(os.environ)
    run_manager(listeners)


def run_manager(listeners) -> None:
    """Load the program, which takes a while, and run it.

    Args:
      listeners: Sockets that listen already, or None without settings.
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
        sys.exit("the addresses of the settings cannot be listened on")
    writer = set_up_queued_logging()
    application = ManagerApplication(settings, listeners)
    signal.signal(signal.SIGTERM, lambda *_: application.request_stop())
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # read at the next start
    application.serve()
    writer.stop()
    os._exit(0)  # threads that wait for others need not be waited for


if __name__ == "__main__":
    main()
