"""The manager process: its interpreter, effect handlers and HTTP servers."""

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
from sesamehall.core.managereffects import RevokeOrders
from sesamehall.core.managereffects import SetReady
from sesamehall.core.managereffects import StartRun
from sesamehall.core.managereffects import StopRun
from sesamehall.core.managereffects import StoreJob
from sesamehall.core.managereffects import StoreProgress
from sesamehall.core.managereffects import ThrottleRun
from sesamehall.core.managereffects import WatchWorker
from sesamehall.core.managerstate import ManagerState
from sesamehall.core.peercalls import AnswerPeer
from sesamehall.core.peercalls import ForwardCall
from sesamehall.core.peercalls import PeerState
from sesamehall.core.peercalls import RegisterNode
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
from sesamehall.platform.peers import open_peer_port
from sesamehall.platform.peers import PeerEffectHandler
from sesamehall.platform.settings import ProcessSettings
from sesamehall.platform.storehandler import StoreEffectHandler
from sesamehall.platform.workers import WorkerClients
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

FRONT_THREADS = 10  # concurrent calls, which mostly wait for the store
SHUTDOWN_TIMEOUT_S = 1  # threads that still serve are abandoned after this
IDLE_TIMEOUT_S = 20  # the load balancer closes idle connections earlier


class ManagerApplication:
    """One manager process."""

    def __init__(self, settings: ProcessSettings, listeners: Listeners):
        """Create the parts; `serve` starts them.

        Args:
          settings: Settings of the process.
          listeners: Listening sockets for callers and health checks.
        """
        jitter_seed = int.from_bytes(os.urandom(4), "big")
        incarnation = new_incarnation(settings.name)
        peer_port = open_peer_port(settings)
        node = Node(
            settings.name,
            NodeKind.MANAGER,
            settings.data_centre,
            settings.front_address,
        )
        state = State(
            Identity(node, incarnation),
            manager=ManagerState(
                settings.name,
                jitter_seed=jitter_seed,
                cores=settings.cores,
                timing=settings.timing,
                peers=PeerState(None if peer_port is None else peer_port.node),
            ),
        )
        self._event_logger = EventLogger(settings.name, "")
        self._metrics = Metrics()
        self._stats = LoopStats(now_ms())
        self._interpreter = Interpreter(
            state, self._perform, observe=self._observe
        )
        post_event = self._interpreter.post_event
        self._caller_api = CallerApi(post_event)
        self._readiness = ReadinessEndpoint()
        self._store_handler = StoreEffectHandler(
            settings.store_address, post_event
        )
        self._worker_clients = WorkerClients(post_event)
        self._advice_handler = AdviceEffectHandler(
            settings.advice_address, post_event
        )
        self._peer_handler = None
        if peer_port is not None:
            self._peer_handler = PeerEffectHandler(
                peer_port, incarnation, post_event
            )
        cloud_client = HttpClient(
            settings.cloud_api_address, MAX_CONCURRENT_CALLS
        )
        self._machine_handler = MachineEffectHandler(
            settings.name, cloud_client, post_event
        )
        self._front_server = ListeningServer(
            listeners.front_socket, self._caller_api, FRONT_THREADS
        )
        self._readiness_server = ListeningServer(
            listeners.readiness_socket, self._readiness, 1
        )
        self._metrics_server = ListeningServer(
            listen(settings.metrics_address), self._metrics, 1
        )

    def serve(self) -> None:
        """Serve until an Exit effect."""
        for server in self._servers():
            server.prepare()
            start_daemon_thread(server.serve, "serve")
        if self._peer_handler is not None:
            self._peer_handler.start()
        self._interpreter.post_event(Started(now_ms()))
        self._interpreter.run()
        self._front_server.stop()

    def _servers(self):
        """Return the servers in start order, the most urgent first."""
        return (
            self._readiness_server,
            self._front_server,
            self._metrics_server,
        )

    def request_stop(self) -> None:
        """Request a graceful stop; `serve` returns once it is complete."""
        self._interpreter.post_event(StopRequested(now_ms()))

    def _observe(self, reduced: ReducedEvent) -> None:
        """Add an event to the statistics; log a window that has ended."""
        if is_window_over(self._stats, reduced.at_ms):
            is_leader = self._interpreter.state.manager.term.epoch > 0
            for line in stats_log_lines(self._stats, is_leader):
                self._perform(line)
            self._stats = LoopStats(reduced.at_ms)
        self._stats = add_event(self._stats, reduced)

    def _perform(self, effect: Effect) -> None:
        """Perform an effect without blocking."""
        match effect:
            case Log():
                self._event_logger.write(effect)
                self._metrics.count(effect)
            case WatchWorker():
                self._worker_clients.watch(effect)
            case StartRun() | StopRun() | ThrottleRun():
                self._worker_clients.send_order(effect)
            case RevokeOrders():
                self._worker_clients.revoke_orders(effect)
                self._machine_handler.revoke_orders(effect)
            case ForgetWorker():
                self._worker_clients.release(effect)
            case AnswerCall():
                self._caller_api.deliver(effect)
            case ReadStream():
                self._store_handler.read(effect)
            case StoreJob():
                self._store_handler.store_job(effect)
            case OfferToLead():
                self._store_handler.offer_to_lead(effect)
            case StoreProgress():
                self._store_handler.store_progress(effect)
            case ReportWave():
                self._store_handler.report_wave(effect)
            case RequestAdvice():
                self._advice_handler.request(effect)
            case ListMachines():
                self._machine_handler.list_machines(effect)
            case MoveMachine() | MaintainMachine():
                self._machine_handler.send_order(effect)
            case ForwardCall():
                self._peer_handler.forward(effect)
            case AnswerPeer():
                self._peer_handler.answer(effect)
            case RegisterNode():
                self._store_handler.register_node(effect)
            case SetReady(ready):
                self._readiness.ready = ready
            case Exit():
                pass
            case _:
                raise TypeError(f"cannot perform {type(effect).__name__}")


class ListeningServer(Server):
    """An HTTP server on a socket that is already listening."""

    def __init__(self, listener: socket, application, threads: int):
        """Create the server.

        Args:
          listener: The listening socket.
          application: WSGI application that serves the requests.
          threads: Number of concurrent requests.
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
        """Use the listening socket instead of binding a new one.

        Args:
          family: Not used.
          type: Not used.
          proto: Not used.
        Returns:
          The socket.
        """
        self.socket = self._listener
        return self.socket
