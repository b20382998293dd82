"""Stand-in for the platform's table store, on one loopback address.

Rows live in memory. Transactions of one part run one after another and take
`transactionMs`. The history of changes goes back `historyS`. A fault makes the
store answer every call with 503, which means that nothing was done.
"""

import base64
import collections
import json
import random
import threading
import time
import urllib.parse

import web

ANSWER_S = 0.004
TRANSACTION_S = 0.008
HISTORY_S = 20.0
PAGE_ROWS = 500
ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000


class Store:
    """Rows by (table, part, key), with the versions of their changes."""

    def __init__(self, host):
        self._condition = threading.Condition()
        self._rows = {}
        self._history = collections.deque()
        self._dropped = 0
        self._version = 0
        self._started = time.monotonic()
        self._part_locks = collections.defaultdict(threading.Lock)
        self.down = False
        self.lost_share = 0.0
        self.late_share = 0.0
        self.slow_s = 0.0
        self._server = web.Server(host, self._answer)
        self.address = self._server.address

    def close(self):
        self._server.close()

    def put_operator_row(self, key, document):
        """Writes a row of the table `op`, as the operator does."""
        with self._condition:
            self._apply([("op", "", key, json.dumps(document).encode())], [])

    def _apply(self, puts, removals):
        self._version += 1
        now = time.monotonic()
        for table, part, key, value in puts:
            self._rows[table, part, key] = (self._version, value)
            self._history.append((now, self._version, (table, part, key)))
        for name in removals:
            if self._rows.pop(name, None) is not None:
                self._history.append((now, self._version, name))
        while self._history and self._history[0][0] < now - HISTORY_S:
            self._dropped = self._history.popleft()[1]
        self._condition.notify_all()

    def _answer(self, method, target, headers, body):
        if self.down:
            return 503, {}
        time.sleep(ANSWER_S + self.slow_s)
        if target.startswith("/rows-tx"):
            if random.random() < self.late_share:
                threading.Timer(
                    random.uniform(1, 6), self._transact, (body,)
                ).start()
                time.sleep(3)
                return None
            if random.random() < self.lost_share:
                self._transact(body)
                time.sleep(3)
                return None
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if (method, path) == ("POST", "/rows-tx"):
            return self._transact(body)
        if (method, path) == ("GET", "/rows-get"):
            return self._read(query)
        if (method, path) == ("GET", "/rows-feed"):
            return self._follow(query)
        return 404, {}

    def _transact(self, body):
        call = json.loads(body)
        conditions = call.get("expectedRevision") or []
        puts = call.get("put") or []
        removals = call.get("remove") or []
        entries = [*conditions, *puts, *removals]
        if len(entries) > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            return 400, {}
        parts = {entry["part"] for entry in entries}
        if len(parts) > 1:
            return 400, {}
        values = [base64.b64decode(put["value"]) for put in puts]
        if any(len(value) > ROW_BYTES for value in values):
            return 400, {}
        with self._part_locks[next(iter(parts), "")]:
            time.sleep(TRANSACTION_S)
            with self._condition:
                for row in conditions:
                    name = (row["table"], row["part"], row["key"])
                    if self._rows.get(name, (0,))[0] != row["rowVersion"]:
                        current = [
                            (item["table"], item["part"], item["key"])
                            for item in conditions
                        ]
                        return 412, self._render(current)
                self._apply(
                    [
                        (put["table"], put["part"], put["key"], value)
                        for put, value in zip(puts, values, strict=True)
                    ],
                    [(r["table"], r["part"], r["key"]) for r in removals],
                )
                return 200, self._render([])

    def _read(self, query):
        with self._condition:
            names = sorted(
                name
                for name in self._rows
                if name[:2] == (query["table"], query.get("part", ""))
                and name[2] >= query.get("from", "")
                and ("to" not in query or name[2] < query["to"])
            )
            limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
            page = self._render(names[:limit])
            page["hasMore"] = len(names) > limit
            return 200, page

    def _follow(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._condition:
            while True:
                if after < self._dropped:
                    return 410, {}
                names = [
                    name
                    for _, version, name in self._history
                    if version > after and name[0] == query["table"]
                ]
                left = deadline - time.monotonic()
                if names or left <= 0:
                    return 200, self._render(list(dict.fromkeys(names)))
                self._condition.wait(left)

    def _render(self, names):
        rows = []
        for name in names:
            table, part, key = name
            row = {"table": table, "part": part, "key": key}
            if name in self._rows:
                version, value = self._rows[name]
                row["rowVersion"] = version
                row["value"] = base64.b64encode(value).decode()
            else:
                row["rowVersion"] = self._version
                row["deleted"] = True
            rows.append(row)
        now_ms = int((time.monotonic() - self._started) * 1000)
        return {"rows": rows, "rowVersion": self._version, "nowMs": now_ms}
