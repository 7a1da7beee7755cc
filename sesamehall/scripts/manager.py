"""The manager: serves callers' jobs, and leads the fleet where it must."""

import os
import signal
import sys

from sesamehall.core.codes import SettingsError
from sesamehall.platform.application import ManagerApplication
from sesamehall.platform.settings import load_settings
from sesamehall.runtime.logbook import set_up_logging
from sesamehall.scripts.common import describe
from sesamehall.scripts.common import EXIT_BAD_INPUT


def main() -> None:
    """Run until SIGTERM, then stop without cutting off any call.

    Settings that are not valid are listed with file and field, and the exit
    code is 2.
    """
    try:
        settings = load_settings(os.environ)
    except SettingsError as error:
        for problem in error.problems:
            print(describe(problem), file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT) from error
    set_up_logging()
    application = ManagerApplication(settings)
    signal.signal(signal.SIGTERM, lambda *_: application.request_stop())
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # read at the next start
    application.serve()
    sys.stdout.flush()
    os._exit(0)  # threads that wait for others need not be waited for


if __name__ == "__main__":
    main()
