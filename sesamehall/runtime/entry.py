"""The entry: callers on cherrypy's server, decisions in a thread beside."""

from cheroot.server import DropUnderscoreHeaderReader
from cheroot.server import HTTPRequest
from cheroot.wsgi import Gateway_10
import cherrypy
from cherrypy.process.plugins import SimplePlugin

from sesamehall.core.data import NodeKind
from sesamehall.core.effects import Dispatch
from sesamehall.core.effects import Effect
from sesamehall.core.effects import Exit
from sesamehall.core.effects import Forward
from sesamehall.core.effects import Reply
from sesamehall.core.settings import EntrySettings
from sesamehall.core.state import State
from sesamehall.runtime.application import Application
from sesamehall.runtime.application import run_thread
from sesamehall.runtime.front import CallerFront
from sesamehall.runtime.front import REQUEST_KEY

SHUTDOWN_TIMEOUT_S = 5  # time for the last answers to reach their callers
LISTEN_BACKLOG = 512


class RequestGateway(Gateway_10):
    """Lets the application close a connection after its answer."""

    def get_environ(self):
        """Build the WSGI environment.

        Returns:
          The environment, with the server's own request in it.
        """
        environ = super().get_environ()
        environ[REQUEST_KEY] = self.req
        return environ


class StrictRequest(HTTPRequest):
    """Reads requests; header names with underscores are dropped."""

    header_reader = DropUnderscoreHeaderReader()


class EntryApplication(SimplePlugin):
    """The entry as a plugin on cherrypy's bus."""

    def __init__(self, settings: EntrySettings):
        """Put the parts together.

        Args:
          settings: Settings of the entry.
        """
        super().__init__(cherrypy.engine)
        self._settings = settings
        self._application = Application(
            settings, NodeKind.ENTRY, self._perform
        )
        self._front = CallerFront(
            settings,
            self._application.identity.incarnation,
            self._application.interpreter.post,
            self._read_state,
        )
        self._thread = None

    def serve(self) -> None:
        """Work until a signal asks for a stop."""
        _configure_server(self._settings)
        cherrypy.tree.graft(self._front, "/")
        self.subscribe()
        handler = cherrypy.engine.signal_handler
        handler.handlers["SIGTERM"] = self._application.request_stop
        handler.handlers["SIGINT"] = self._application.request_stop
        handler.subscribe()
        cherrypy.engine.start()
        cherrypy.engine.block()

    def start(self) -> None:
        """Begin to decide, when the bus starts."""
        self._application.start()
        self._thread = run_thread(self._application.run, "interpreter")

    def stop(self) -> None:
        """Close streams and connections, when the bus stops."""
        self._application.stop()
        self._front.close()

    def _read_state(self) -> State:
        return self._application.interpreter.state

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Dispatch() | Forward() | Reply():
                self._front.deliver(effect)
            case Exit():
                run_thread(cherrypy.engine.exit, "exit")


def _configure_server(settings: EntrySettings) -> None:
    """Set up cherrypy's server; its own pages and reloader stay off."""
    from cheroot import server as cheroot_server
    from cherrypy._cpwsgi_server import CPWSGIServer

    host, _, port = settings.http.rpartition(":")
    cheroot_server.HTTPConnection.RequestHandlerClass = StrictRequest
    CPWSGIServer.wsgi_gateways = {(1, 0): RequestGateway}
    cherrypy.config.update(
        {
            "environment": "production",
            "engine.autoreload.on": False,
            "log.screen": False,
            "server.socket_host": host,
            "server.socket_port": int(port),
            "server.thread_pool": settings.threads,
            "server.socket_queue_size": LISTEN_BACKLOG,
            "server.socket_timeout": settings.sender_timeout_s,
            "server.shutdown_timeout": SHUTDOWN_TIMEOUT_S,
            "server.max_request_header_size": settings.header_limit_bytes,
            "server.max_request_body_size": 0,
            "server.wsgi_version": (1, 0),
        }
    )
