"""A small HTTP/1.1 server for stand-ins, with a thread for each connection."""

from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
import socket
import threading
from urllib.parse import parse_qsl
from urllib.parse import unquote
from urllib.parse import urlsplit


@dataclass(frozen=True, slots=True)
class Request:
    """A request, with the fields that the project's stand-ins read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; status 0 closes the connection without one."""

    status: int
    body: bytes = b"{}"


def json_reply(document: dict, status: int = 200) -> Reply:
    """Build a reply with a JSON body."""
    return Reply(status, json.dumps(document).encode())


class StandInServer:
    """Serves a handler; closing it resets all connections, as a crash does."""

    def __init__(
        self,
        handle: Callable[[Request], Reply],
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        """Listen, and serve in threads."""
        connections = set()
        lock = threading.Lock()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1  # the response is sent in one piece

            def setup(self):
                with lock:
                    connections.add(self.request)
                super().setup()

            def finish(self):
                with lock:
                    connections.discard(self.request)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, format, *args):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                if len(body) < length:
                    self.close_connection = True
                    return
                parts = urlsplit(self.path)
                request = Request(
                    self.command,
                    unquote(parts.path),
                    dict(parse_qsl(parts.query)),
                    {key.lower(): val for key, val in self.headers.items()},
                    body,
                )
                reply = handle(request)
                if not reply.status:
                    self.close_connection = True
                    return
                self.send_response_only(reply.status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(reply.body)))
                self.end_headers()
                self.wfile.write(reply.body)
                self.wfile.flush()

            do_GET = do_POST = do_DELETE = serve

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self._connections = connections
        self._lock = lock
        self._server = Server((host, port), Handler)
        self.port = self._server.server_address[1]
        self.address = f"{host}:{self.port}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.shutdown()
        self._server.server_close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
