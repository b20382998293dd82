"""A connection of a client, which a listener reads and writes at its pace."""

from typing import Any

from cheroot import server as cheroot_server

from gypsumhold.adapters.listeners import scanner, streams
from gypsumhold.model import clients


class Connection(cheroot_server.HTTPConnection):
    """A connection whose streams do not block.

    Attributes:
        number: Id of the connection in the state of its listener.
        is_refused: Whether the request was refused, by the scanner or by a
            limit; it may have arrived only in part.
        is_served: Whether a thread handles a request of the connection.
        is_closing: Whether the connection ends once its answer is sent.
        is_closed: Whether the socket is closed.
        has_continued: Whether the client was told to send its body.
        discarded: Bytes of a refused request that were read and discarded.
    """

    rfile: streams.RequestReader
    wfile: streams.ResponseWriter
    socket: Any

    def __init__(self, server: Any, sock: Any, _: Any = None) -> None:
        sock.setblocking(False)
        super().__init__(server, sock, streams.make_file)
        self.number = clients.ConnectionId(0)
        self.is_refused = False
        self.is_served = False
        self.is_closing = False
        self.is_closed = False
        self.discarded = 0
        self.start_request()

    def start_request(self) -> None:
        """Prepares for the next request."""
        self.scanner = scanner.Scanner(self.server.request_limits)
        self.is_refused = False
        self.has_continued = False

    def close(self) -> None:
        """Ends the connection after its answer; called by a handler."""
        self.server.end_connection(self)

    def close_socket(self) -> None:
        """Closes the socket at once."""
        if not self.is_closed:
            self.is_closed = True
            super().close()
