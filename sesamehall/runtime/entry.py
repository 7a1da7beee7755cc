"""The entry daemon: cheroot serves callers, a thread runs the interpreter."""

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
from sesamehall.runtime.application import start_daemon_thread
from sesamehall.runtime.callerfrontend import CallerFrontend
from sesamehall.runtime.callerfrontend import SERVER_REQUEST_KEY

SHUTDOWN_TIMEOUT_S = 5  # lets the last responses reach their callers
LISTEN_BACKLOG = 512


class RequestGateway(Gateway_10):
    """Lets the application close a connection after its response."""

    def get_environ(self):
        """Build the WSGI environment.

        Returns:
          The environment, including the server's request object.
        """
        environ = super().get_environ()
        environ[SERVER_REQUEST_KEY] = self.req
        return environ


class StrictHeaderReader(HeaderReader):
    """Reads the headers of one request.

    Names with an underscore are dropped, since WSGI maps both to the same key.
    A second Content-Length is an error: two parsers could frame the body
    differently, which allows request smuggling.
    """

    def __init__(self):
        """Create a reader for one request."""
        super().__init__()
        self._has_content_length = False

    def _allow_header(self, key_name):
        if key_name.strip().lower() == b"content-length":
            if self._has_content_length:
                raise ValueError("more than one Content-Length")
            self._has_content_length = True
        return b"_" not in key_name


class EntryRequest(HTTPRequest):
    """A request whose URI is kept unchanged."""

    def __init__(self, server, conn):
        """Create the request of a connection.

        Args:
          server: The server.
          conn: The connection.
        """
        super().__init__(server, conn, proxy_mode=True)
        self.header_reader = StrictHeaderReader()


class EntryConnection(HTTPConnection):
    """A connection whose requests are EntryRequests."""

    RequestHandlerClass = EntryRequest


class EntryServer(Server):
    """The HTTP server of an entry."""

    ConnectionClass = EntryConnection

    def __init__(self, settings: EntrySettings, frontend: CallerFrontend):
        """Create the server.

        Args:
          settings: Settings of the entry.
          frontend: WSGI application that serves the requests.
        """
        host, _, port = settings.http.rpartition(":")
        super().__init__(
            (host, int(port)),
            frontend,
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
        """Create the parts of the entry.

        Args:
          settings: Settings of the entry.
        """
        super().__init__(cherrypy.engine)
        self._settings = settings
        self._application = Application(
            settings, NodeKind.ENTRY, self._perform
        )
        self._frontend = CallerFrontend(
            settings,
            self._application.identity.incarnation,
            self._application.interpreter.post_event,
            self._read_state,
        )
        self._interpreter_thread = None

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        cherrypy.server.unsubscribe()
        cherrypy.config.update({"engine.autoreload.on": False})
        server = EntryServer(self._settings, self._frontend)
        ServerAdapter(self.bus, server, server.bind_addr).subscribe()
        self.subscribe()
        handler = cherrypy.engine.signal_handler
        handler.handlers["SIGTERM"] = self._application.request_stop
        handler.handlers["SIGINT"] = self._application.request_stop
        handler.subscribe()
        cherrypy.engine.start()
        cherrypy.engine.block()

    def start(self) -> None:
        """Start the interpreter; called when the bus starts."""
        self._application.start()
        self._interpreter_thread = start_daemon_thread(
            self._application.run, "interpreter"
        )

    def stop(self) -> None:
        """Close streams and connections; called when the bus stops."""
        self._application.stop()
        self._frontend.close()

    def _read_state(self) -> State:
        return self._application.interpreter.state

    def _perform(self, effect: Effect) -> None:
        match effect:
            case Dispatch() | Forward() | Reply():
                self._frontend.deliver(effect)
            case Exit():
                start_daemon_thread(cherrypy.engine.exit, "exit")
