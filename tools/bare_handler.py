"""Serves a minimal CherryPy proxy, the baseline of the overhead measurement.

The proxy forwards each request straight to one upstream, without an entry or
an agent in between.

Usage: bare_handler.py PORT UPSTREAM_URL
"""

import sys

import cherrypy
import urllib3

THREADS = 96
CONNECTIONS = 64


class ForwardingHandler:
    """Forwards each request to the upstream over pooled connections."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = urllib3.PoolManager(
            retries=False, timeout=30.0, maxsize=CONNECTIONS, block=True
        )

    @cherrypy.expose
    def default(self, *path_segments: str) -> bytes:
        """Forwards a request and returns the upstream's status and body."""
        body = cherrypy.request.body.read()
        response = self._http.request(
            "POST", f"{self._url}/{'/'.join(path_segments)}", body=body
        )
        cherrypy.response.status = response.status
        return bytes(response.data)


def main() -> None:
    """Serves requests until the process is terminated."""
    port, url = int(sys.argv[1]), sys.argv[2]
    cherrypy.config.update(
        {
            "server.socket_host": "127.0.0.1",
            "server.socket_port": port,
            "server.thread_pool": THREADS,
            "log.screen": False,
            "engine.autoreload.on": False,
            # Without processors, bodies of any content type stay unparsed.
            "request.body.processors": {},
        }
    )
    cherrypy.quickstart(ForwardingHandler(url))


if __name__ == "__main__":
    main()
