"""The manager on the users' platform: owns threads, sockets and servers."""

import os
from socket import socket

from cheroot.wsgi import Server

from sesamehall.core.data import Node
from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Exit
from sesamehall.core.effects import Log
from sesamehall.core.events import Started
from sesamehall.core.events import StopRequested
from sesamehall.core.managereffects import AnswerCall
from sesamehall.core.managereffects import ForgetWorker
from sesamehall.core.managereffects import ListMachines
from sesamehall.core.managereffects import MaintainMachine
from sesamehall.core.managereffects import MoveMachine
from sesamehall.core.managereffects import OfferToLead
from sesamehall.core.managereffects import ReadStream
from sesamehall.core.managereffects import ReportWave
from sesamehall.core.managereffects import RequestAdvice
from sesamehall.core.managereffects import SetReady
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import ThrottleRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.state import Identity
from sesamehall.core.state import State
from sesamehall.platform.advice import AdviceEffectHandler
from sesamehall.platform.callerapi import CallerApi
from sesamehall.platform.callerapi import ReadinessEndpoint
from sesamehall.platform.http import HttpClient
from sesamehall.platform.listening import listen
from sesamehall.platform.listening import LISTEN_BACKLOG
from sesamehall.platform.listening import Listeners
from sesamehall.platform.machines import MachineEffectHandler
from sesamehall.platform.machines import MAX_CONCURRENT_CALLS
from sesamehall.platform.settings import ProcessSettings
from sesamehall.platform.streams import StoreGate
from sesamehall.platform.workers import WorkerLines
from sesamehall.runtime.application import new_incarnation
from sesamehall.runtime.application import start_daemon_thread
from sesamehall.runtime.eventlogger import EventLogger
from sesamehall.runtime.interpreter import Interpreter
from sesamehall.runtime.interpreter import now_ms
from sesamehall.runtime.metrics import Metrics
from sesamehall.runtime.tallies import add_event
from sesamehall.runtime.tallies import is_window_over
from sesamehall.runtime.tallies import LoopStats
from sesamehall.runtime.tallies import ReducedEvent
from sesamehall.runtime.tallies import stats_log_lines

SERVING_THREADS = 10  # calls under way; each waits for the store at most
SHUTDOWN_TIMEOUT_S = 1  # threads that still serve are left after this
IDLE_TIMEOUT_S = 20  # the balancer closes idle connections before this


class ManagerApplication:
    """One manager process."""

    def __init__(self, settings: ProcessSettings, listeners: Listeners):
        """Put the parts together; `serve` begins their work.

        Args:
          settings: What the process was told at its start.
          listeners: Sockets that callers and the balancer connect to.
        """
        rank = int.from_bytes(os.urandom(4), "big")
        node = Node(
            settings.name,
            NodeKind.MANAGER,
            settings.data_centre,
            settings.front_address,
        )
        state = State(
            Identity(node, new_incarnation(settings.name)),
            manager=ManagerState(
                settings.name,
                jitter_seed=rank,
                cores=settings.cores,
                timing=settings.timing,
            ),
        )
        self._event_logger = EventLogger(settings.name, "")
        self._metrics = Metrics()
        self._stats = LoopStats(now_ms())
        self._interpreter = Interpreter(
            state, self._perform, observe=self._observe
        )
        post = self._interpreter.post
        self._ingress = CallerApi(post)
        self._ready = ReadinessEndpoint()
        self._store = StoreGate(settings.store_address, post)
        self._workers = WorkerLines(post)
        self._advice = AdviceEffectHandler(settings.advice_address, post)
        cloud = HttpClient(settings.cloud_api_address, MAX_CONCURRENT_CALLS)
        self._machines = MachineEffectHandler(settings.name, cloud, post)
        self._front_server = ListeningServer(
            listeners.front_socket, self._ingress, SERVING_THREADS
        )
        self._ready_server = ListeningServer(
            listeners.readiness_socket, self._ready, 1
        )
        self._metrics_server = ListeningServer(
            listen(settings.metrics_address), self._metrics, 1
        )

    def serve(self) -> None:
        """Serve until a decision ends the process."""
        for server in self._servers():
            server.prepare()
            start_daemon_thread(server.serve, "serve")
        self._interpreter.post(Started(now_ms()))
        self._interpreter.run()
        self._front_server.stop()

    def _servers(self):
        """List the servers, those first that must not wait."""
        return (self._ready_server, self._front_server, self._metrics_server)

    def request_stop(self) -> None:
        """Ask for a graceful stop; `serve` returns when it is done."""
        self._interpreter.post(StopRequested(now_ms()))

    def _observe(self, reduced: ReducedEvent) -> None:
        """Add an event to the statistics; log a window that has ended."""
        if is_window_over(self._stats, reduced.at_ms):
            is_leader = self._interpreter.state.manager.term.epoch > 0
            for line in stats_log_lines(self._stats, is_leader):
                self._perform(line)
            self._stats = LoopStats(reduced.at_ms)
        self._stats = add_event(self._stats, reduced)

    def _perform(self, effect: Effect) -> None:
        """Carry out an effect; none of them blocks."""
        match effect:
            case Log():
                self._event_logger.write(effect)
                self._metrics.count(effect)
            case WatchWorker():
                self._workers.watch(effect)
            case StartRun() | StopRun() | ThrottleRun():
                self._workers.order(effect)
            case ForgetWorker():
                self._workers.forget(effect)
            case AnswerCall():
                self._ingress.deliver(effect)
            case ReadStream():
                self._store.read(effect)
            case StoreJob():
                self._store.store_job(effect)
            case OfferToLead():
                self._store.offer_to_lead(effect)
            case StoreProgress():
                self._store.store_progress(effect)
            case ReportWave():
                self._store.report_wave(effect)
            case RequestAdvice():
                self._advice.request(effect)
            case ListMachines():
                self._machines.list_machines()
            case MoveMachine() | MaintainMachine():
                self._machines.send_order(effect)
            case SetReady(ready):
                self._ready.ready = ready
            case Exit():
                pass
            case _:
                raise TypeError(f"no way to {type(effect).__name__}")


class ListeningServer(Server):
    """An HTTP server on a socket that listens already."""

    def __init__(self, listener: socket, application, threads: int):
        """Prepare the server.

        Args:
          listener: The socket.
          application: WSGI application that serves the requests.
          threads: Requests that are served at once.
        """
        super().__init__(
            listener.getsockname(),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._listener = listener

    def bind(self, family, type, proto=0):
        """Take the socket that listens already.

        Args:
          family: Not used.
          type: Not used.
          proto: Not used.
        Returns:
          The socket.
        """
        self.socket = self._listener
        return self.socket
