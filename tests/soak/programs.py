"""The entry and agent processes of a soak test, each behind proxies."""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

from gypsumhold.model import members
from tests.soak import proxies

ROOT = pathlib.Path(__file__).parent.parent.parent
LAUNCHER = ROOT / "src" / "gypsumhold_node.py"


PORTS = range(20_000, 30_000)
"""Below the ports that the system gives to connections, which could take a port
before its program listens."""

_untried_ports = random.SystemRandom().sample(PORTS, len(PORTS))


def find_ports(count: int) -> list[int]:
    """Returns free ports of the loopback address, each one only once."""
    ports: list[int] = []
    while len(ports) < count:
        port = _untried_ports.pop()
        with socket.socket() as free_socket, contextlib.suppress(OSError):
            free_socket.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


@dataclasses.dataclass(slots=True)
class Program:
    """An entry or agent process; signals go to its process id only.

    Attributes:
        name: Name of its instance.
        role: `entry` or `agent`.
        folder: Folder of the settings and logs.
        ports: Ports for callers or the worker, for readiness, for peers and
            for metrics, in this order.
        store: Proxy through which the process calls the table, and reads the
            list of machines.
        seed: Seed of the proxy `peers`.
        launcher: Script that starts the process, with the sources beside it.
        peers: Proxy through which other processes call this one.
        process: The latest process; None before the first start.
    """

    name: str
    role: str
    folder: pathlib.Path
    ports: list[int]
    store: proxies.Proxy
    seed: int
    launcher: pathlib.Path = LAUNCHER
    peers: proxies.Proxy = dataclasses.field(init=False)
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        peer_address = members.Address("127.0.0.1", self.ports[2])
        self.peers = proxies.Proxy(peer_address, self.seed)

    def _build_settings(self) -> dict[str, object]:
        listen_address, ready_address, peers, _ = (
            f"127.0.0.1:{port}" for port in self.ports
        )
        listen = {"control": listen_address}
        if self.role == "entry":
            listen = {"front": listen_address, "ready": ready_address}
        peer_port = self.ports[2]
        return {
            "nodeName": self.name,
            "ipAddress": "127.0.0.1",
            "zone": "zone",
            "region": "region",
            "listen": listen,
            "internalPortRange": [peer_port, peer_port],
            "platform": {"address": str(self.store.address)},
            "cloudApi": {"address": str(self.store.address)},
        }

    def start(self) -> None:
        """Writes the settings and starts the process; its output is logged."""
        node_file = self.folder / f"{self.name}.json"
        node_file.write_text(json.dumps(self._build_settings()))
        config = self.folder / f"{self.name}.conf"
        settings = {
            "deployment_key": "key-of-the-soak-run",
            "metrics_port": self.ports[3],
            "advertised_port": self.peers.address.port,
            "log": {"level": "info", "json": True},
        }
        config.write_text(json.dumps(settings))
        command = [sys.executable, str(self.launcher), self.role]
        environment = {
            **os.environ,
            "GYPSUMHOLD_NODE_FILE": str(node_file),
            "PYTHONPATH": str(self.launcher.parent),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--config", str(config)],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def ensure_running(self) -> None:
        """Starts the process unless it is running."""
        if self.process is None or self.process.poll() is not None:
            self.start()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, even while it is paused, and waits for its end."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        """Closes the proxies."""
        self.store.close()
        self.peers.close()
