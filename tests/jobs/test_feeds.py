"""Guards against a stale configuration after a connection went silent.

Random searches found that, with the store silent for four seconds, each read
that waited for a configuration timed out 4.5 s later; until then requests were
answered by the old configuration.
"""

import datetime
import socket

from gypsumhold.adapters import http_client
from gypsumhold.adapters.jobs import effect_runners
from gypsumhold.decisions.jobs import received_evacuations, schedulers
from gypsumhold.model import ids, members
from gypsumhold.model.jobs import events
from gypsumhold.platform import table

CONFIG_BOUND = datetime.timedelta(seconds=2)


def test_a_silent_read_is_replaced_within_the_bound() -> None:
    read_timeout = effect_runners.CONFIG_WAIT + table.FEED_TIMEOUT
    next_read = read_timeout + schedulers.CONFIG_RETRY_DELAY
    assert next_read < CONFIG_BOUND
    assert next_read < received_evacuations.HOLDER_DELAY


def test_a_read_without_answer_fails() -> None:
    with socket.create_server(("127.0.0.1", 0)) as silent:
        host, port = silent.getsockname()
        address = members.Address(host, port)
        store_client = http_client.HttpClient(http_client.CallOptions(address))
        client = table.TableClient(store_client)
        wait = datetime.timedelta(milliseconds=1)
        feed = client.follow("op", ids.RowVersion(7), wait)
        store_client.close()
    assert feed.result is events.ReadResult.FAILED
    assert feed.version == 7
