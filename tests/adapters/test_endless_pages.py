"""Reads of a table whose pages have no end.

Pattern: a store answers each read with the same page and says that more rows
follow. The read fails instead of keeping the same rows again and again.
"""

import pytest
from returns.result import Result, Success

from gypsumhold.adapters import http_client
from gypsumhold.model import members
from gypsumhold.platform import documents, table

PAGES = 100
"""Pages after which the store ends, so that a failing test does so too."""

FIRST = documents.Row("jobs", "a", 1, "p")
LAST = documents.Row("jobs", "b", 2, "p")


class RepeatingStore(http_client.HttpClient):
    """Answers each call with the same page."""

    def __init__(self, rows: tuple[documents.Row, ...]) -> None:
        """Creates a store with one page of rows."""
        super().__init__(
            http_client.CallOptions(members.Address("127.0.0.1", 9))
        )
        self.calls = 0
        self._rows = rows

    def call(
        self, *_: object, **__: object
    ) -> Result[http_client.Reply, http_client.CallFailure]:
        """Returns the page."""
        self.calls += 1
        has_more = self.calls < PAGES
        page = documents.Rows(self._rows, 7, has_more)
        return Success(http_client.Reply(200, documents.render(page)))


@pytest.mark.parametrize("rows", [(FIRST, LAST), (LAST,)])
def test_page_again(rows: tuple[documents.Row, ...]) -> None:
    """Guards against a read that takes more memory with each page."""
    store = RepeatingStore(rows)
    assert table.TableClient(store).read_all("jobs", "p") is None
    assert store.calls == 2
