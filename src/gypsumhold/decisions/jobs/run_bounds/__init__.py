"""Until when a run may work, on any incarnation of its worker.

`open_starts` owns the runs that nothing confirms, and `leases` the confirmed
ones; `expiries` has the holder's copy of both.
"""
