"""The processes of the product that a soak starts, each behind proxies."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

from gypsumhold.model import members
from tests.soak import proxies

ROOT = pathlib.Path(__file__).parent.parent.parent


def find_ports(count: int) -> list[int]:
    """Returns free ports of the loopback address."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for it in sockets:
            it.bind(("127.0.0.1", 0))
        return [it.getsockname()[1] for it in sockets]


@dataclasses.dataclass(slots=True)
class Program:
    """One process of the product; ended by its id only.

    Attributes:
        name: Name of its instance.
        role: `entry` or `agent`.
        folder: Where settings and logs lie.
        ports: For callers or the worker, readiness, peers, metrics.
        store: Proxy through which it calls the store.
        seed: Of the proxy in front of it.
        peers: Proxy through which other processes call it.
        process: The running process.
    """

    name: str
    role: str
    folder: pathlib.Path
    ports: list[int]
    store: proxies.Proxy
    seed: int
    peers: proxies.Proxy = dataclasses.field(init=False)
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        own = members.Address("127.0.0.1", self.ports[2])
        self.peers = proxies.Proxy(own, self.seed)

    def _build_settings(self) -> dict[str, object]:
        first, second, peers, _ = (f"127.0.0.1:{it}" for it in self.ports)
        listen = {"control": first}
        if self.role == "entry":
            listen = {"front": first, "ready": second}
        port = self.ports[2]
        return {
            "nodeName": self.name,
            "ipAddress": "127.0.0.1",
            "zone": "zone",
            "region": "region",
            "listen": listen,
            "internalPortRange": [port, port],
            "platform": {"address": str(self.store.address)},
        }

    def start(self) -> None:
        """Starts the process; its output is added to its log."""
        node_file = self.folder / f"{self.name}.json"
        node_file.write_text(json.dumps(self._build_settings()))
        config = self.folder / f"{self.name}.conf"
        own = {
            "deployment_key": "key-of-the-soak-run",
            "metrics_port": self.ports[3],
            "advertised_port": self.peers.address.port,
            "log": {"level": "info", "json": True},
        }
        config.write_text(json.dumps(own))
        launcher = str(ROOT / "src" / "gypsumhold_node.py")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, launcher, self.role, "--config", str(config)],
                env={**os.environ, "GYPSUMHOLD_NODE_FILE": str(node_file)},
                stdout=log,
                stderr=log,
            )

    def start_again(self) -> None:
        """Starts the process unless it runs."""
        if self.process is None or self.process.poll() is not None:
            self.start()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kills the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        """Closes the proxies."""
        self.store.close()
        self.peers.close()
