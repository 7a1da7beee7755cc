"""The steward daemon: runs the interpreter in the main thread."""

import signal

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Append
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Exit
from sesamehall.core.effects import ListInstances
from sesamehall.core.effects import ReadLog
from sesamehall.core.effects import RebootInstance
from sesamehall.core.effects import RunTask
from sesamehall.core.effects import StopTask
from sesamehall.core.settings import StewardSettings
from sesamehall.runtime.application import Application
from sesamehall.runtime.platformclient import PlatformEffectHandler
from sesamehall.runtime.workerclient import WorkerEffectHandler


class StewardApplication:
    """The parts of a steward process."""

    def __init__(self, settings: StewardSettings):
        """Create the parts of the steward.

        Args:
          settings: Settings of the steward.
        """
        self._application = Application(
            settings, NodeKind.STEWARD, self._perform
        )
        post_event = self._application.interpreter.post_event
        self._platform = PlatformEffectHandler(
            settings.platform, settings.log_stream, post_event
        )
        self._workers = WorkerEffectHandler(post_event)

    def serve(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        self._platform.start()
        self._application.start()
        self._application.run()
        self._workers.stop()
        self._application.stop()

    def _on_signal(self, number, frame) -> None:
        self._application.request_stop()

    def _perform(self, effect: Effect) -> None:
        match effect:
            case ReadLog() | Append() | ListInstances() | RebootInstance():
                self._platform.perform(effect)
            case RunTask() | StopTask():
                self._workers.perform(effect)
            case Exit():
                pass
