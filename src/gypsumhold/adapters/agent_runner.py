"""Performs the effects of an agent."""

from gypsumhold.adapters import datagrams, effect_runners
from gypsumhold.adapters import upstream as upstreams
from gypsumhold.adapters import worker as workers
from gypsumhold.model import effects, events, members


class AgentRunner(effect_runners.DispatchingRunner):
    """Performs the effects of an agent."""

    def __init__(
        self,
        upstream: upstreams.Upstream,
        worker: workers.Worker,
        sender: datagrams.Sender,
        near_entries: tuple[members.Address, ...],
        far_entries: tuple[members.Address, ...],
    ) -> None:
        """Creates the runner.

        Args:
            upstream: The upstream of the agent's instance.
            worker: The worker of the instance.
            sender: Sends announcements to the entries.
            near_entries: Addresses of entries in the agent's own region.
            far_entries: Addresses of entries in other regions, which get only
                the announcements for all regions.
        """
        super().__init__(
            {
                effects.CallUpstream: upstream.call,
                effects.CommandWorker: worker.command,
                effects.ReadWorker: self._read_worker,
                effects.Announce: self._announce,
            }
        )
        self._worker = worker
        self._sender = sender
        self._near_entries = near_entries
        self._far_entries = far_entries

    def _read_worker(self, effect: effects.ReadWorker) -> events.Event:
        return events.WorkerReported(self._worker.read_report(), effect.sent_at)

    def _announce(self, effect: effects.Announce) -> None:
        addresses = self._near_entries + (
            self._far_entries if effect.all_regions else ()
        )
        self._sender.send(effect.announcement, addresses)
