"""Exhaustive search over the orders of calls and faults in a small deployment.

The reducers are the real ones. Between two steps of the search, virtual time
passes and all routine calls are answered at once; the search chooses the
faults, their order, and the pauses between them.

A step is one of these:

- a pause: time passes, and whatever is due happens;
- hold a call: time passes until the next call of this kind is sent, which gets
  no answer and stays under way;
- a held call is carried out now, by whichever incarnation is up. One that is
  never carried out was lost, and one that is carried out at once has lost its
  answer;
- a worker restarts under its name, is cut off or reachable again;
- a worker is lost, or is back under its name; where workers may be lost, the
  platform lists those that are up;
- an agent restarts, is cut off from the holder or reachable again, or loses its
  next report;
- a run finishes as done or failed;
- the holder is lost.

With `--waits`, each different state also goes on without faults, and fails if a
task could run and does not for longer than the constants allow.

`python -m tests.jobs.order_search --help` lists the limits of each kind.
"""
