"""A CherryPy handler that calls an upstream directly, for comparison.

Usage: bare_handler.py PORT UPSTREAM_URL
"""

import sys

import cherrypy
import urllib3

THREADS = 96
CONNECTIONS = 64


class Handler:
    """Passes each request on over pooled connections."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = urllib3.PoolManager(
            retries=False, timeout=30.0, maxsize=CONNECTIONS, block=True
        )

    @cherrypy.expose
    def default(self, *parts: str) -> bytes:
        """Answers with the upstream's status and body."""
        body = cherrypy.request.body.read()
        response = self._http.request(
            "POST", f"{self._url}/{'/'.join(parts)}", body=body
        )
        cherrypy.response.status = response.status
        return bytes(response.data)


def main() -> None:
    """Serves until the process is ended."""
    port, url = int(sys.argv[1]), sys.argv[2]
    cherrypy.config.update(
        {
            "server.socket_host": "127.0.0.1",
            "server.socket_port": port,
            "server.thread_pool": THREADS,
            "log.screen": False,
            "engine.autoreload.on": False,
            # Any content type is passed on as it is.
            "request.body.processors": {},
        }
    )
    cherrypy.quickstart(Handler(url))


if __name__ == "__main__":
    main()
