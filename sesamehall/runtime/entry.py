"""The entry: callers on cherrypy's server, decisions in a thread beside."""

from cheroot.server import HeaderReader
from cheroot.server import HTTPConnection
from cheroot.server import HTTPRequest
from cheroot.wsgi import Gateway_10
from cheroot.wsgi import Server
import cherrypy
from cherrypy.process.plugins import SimplePlugin
from cherrypy.process.servers import ServerAdapter

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


class StrictHeaderReader(HeaderReader):
    """Reads one request's headers.

    Names with an underscore are dropped, since WSGI takes it for a dash; a
    second length is an error, since two readers could differ over it.
    """

    def __init__(self):
        """Begin with no header read."""
        super().__init__()
        self._has_length = False

    def _allow_header(self, key_name):
        if key_name.strip().lower() == b"content-length":
            if self._has_length:
                raise ValueError("more than one Content-Length")
            self._has_length = True
        return b"_" not in key_name


class EntryRequest(HTTPRequest):
    """A request whose URI is kept as it arrived."""

    def __init__(self, server, conn):
        """Take over a connection.

        Args:
          server: The server.
          conn: The connection.
        """
        super().__init__(server, conn, proxy_mode=True)
        self.header_reader = StrictHeaderReader()


class EntryConnection(HTTPConnection):
    """A connection that reads requests of our kind."""

    RequestHandlerClass = EntryRequest


class EntryServer(Server):
    """The HTTP server of an entry."""

    ConnectionClass = EntryConnection

    def __init__(self, settings: EntrySettings, front: CallerFront):
        """Prepare the server.

        Args:
          settings: Settings of the entry.
          front: Serves the requests.
        """
        host, _, port = settings.http.rpartition(":")
        super().__init__(
            (host, int(port)),
            front,
            numthreads=settings.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=settings.sender_timeout_s,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self.gateway = RequestGateway
        self.max_request_header_size = settings.header_limit_bytes


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
        cherrypy.server.unsubscribe()
        cherrypy.config.update({"engine.autoreload.on": False})
        server = EntryServer(self._settings, self._front)
        ServerAdapter(self.bus, server, server.bind_addr).subscribe()
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
