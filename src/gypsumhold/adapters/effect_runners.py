"""Base of the classes that perform the effects of a role."""

from collections.abc import Callable, Mapping
from typing import Any

import logbook

from gypsumhold.adapters import engine
from gypsumhold.model import effects, events

_LOG = logbook.Logger("gypsumhold.decisions")

Handler = Callable[[Any], events.Event | None]


class DispatchingRunner(engine.Runner):
    """Passes each effect to the handler that is registered for its type."""

    def __init__(self, handlers: Mapping[type, Handler]) -> None:
        self._handlers: dict[type, Handler] = {
            effects.LogMessage: self._write_log,
            **handlers,
        }

    def run(self, effect: effects.Effect) -> events.Event | None:
        """Performs `effect` and returns the resulting event, if any."""
        return self._handlers[type(effect)](effect)

    def _write_log(self, effect: effects.LogMessage) -> None:
        """Logs the message on the channel of decisions, with its subject."""
        _LOG.info("{}", effect.text, extra={"subject": effect.subject})
