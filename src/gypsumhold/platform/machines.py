"""Reads the platform's list of machines, and which workers run on them."""

import urllib.parse

import logbook
from returns.result import Success

from gypsumhold.adapters import http_client
from gypsumhold.adapters.jobs import interfaces
from gypsumhold.model.jobs import runs
from gypsumhold.platform import documents

_LOG = logbook.Logger("gypsumhold.platform.machines")

MAX_PAGES = 100
"""Most pages of one list; more come from a list that never ends."""


class MachineDirectory(interfaces.WorkerDirectory):
    """Lists the workers of the machines that the platform has up."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Creates a directory; the caller has to close `client`."""
        self._client = client

    def list_up(self) -> frozenset[runs.WorkerName] | None:
        """Returns the workers of all machines; None if that is not known.

        A machine that is up during the whole call is on one of the pages. A
        worker that is not returned counts as gone, so one entry that can't be
        read makes the list unknown.
        """
        names: set[runs.WorkerName] = set()
        token = ""
        for _ in range(MAX_PAGES):
            page = self._read_page(token)
            if page is None:
                return None
            for machine in page.machines:
                if machine.state is not documents.MachineState.UP:
                    continue
                if not machine.id:
                    _LOG.warning("a machine that is up names no worker")
                    return None
                names.add(runs.WorkerName(machine.id))
            if not page.next_token:
                return frozenset(names)
            token = page.next_token
        _LOG.warning("the list of machines has over {} pages", MAX_PAGES)
        return None

    def _read_page(self, token: str) -> documents.MachinePage | None:
        target = "/machines"
        if token:
            target += "?" + urllib.parse.urlencode({"pageToken": token})
        result = self._client.call("GET", target)
        if not isinstance(result, Success):
            return None
        reply = result.unwrap()
        if reply.status != 200:
            _LOG.info("no list of machines: status {}", reply.status)
            return None
        parsed = documents.parse(reply.body, documents.MachinePage)
        if not isinstance(parsed, Success):
            _LOG.warning("no list of machines: {}", parsed.failure())
            return None
        page: documents.MachinePage = parsed.unwrap()
        return page


class NoDirectory(interfaces.WorkerDirectory):
    """Stands for a platform without a list of machines."""

    def list_up(self) -> frozenset[runs.WorkerName] | None:
        """Returns None."""
        return None
