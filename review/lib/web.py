"""A small HTTP/1.1 server and client for the stand-ins."""

import contextlib
import http.client
import http.server
import json
import socket
import socketserver
import threading


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        headers = {name.lower(): text for name, text in self.headers.items()}
        result = self.server.answer(self.command, self.path, headers, body)
        if result is None:
            self.close_connection = True
            return
        status, document = result
        content = json.dumps(document).encode()
        head = (
            f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}"
            "\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + content)

    do_GET = do_POST = do_PUT = do_DELETE = _handle

    def log_message(self, *_):
        pass


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """A peer that closes its connection is no error of the stand-in."""


class Server:
    """Serves `answer(method, target, headers, body)` on a free port."""

    def __init__(self, host, answer, port=0):
        self._server = _Server((host, port), _Handler)
        self._server.answer = answer
        self.address = f"{host}:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


def call(address, method, path, document=None, headers=None, timeout_s=3.0):
    """Sends one request; returns (status, document), or (None, reason)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        body = None if document is None else json.dumps(document)
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, body, all_headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError) as problem:
        return None, f"{type(problem).__name__}: {problem}"
    finally:
        connection.close()


def find_ports(host, count):
    """Returns different ports of the address that are free now."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
