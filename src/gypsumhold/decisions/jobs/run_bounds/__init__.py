"""Until when a run may work, on any incarnation of its worker.

`open_starts` answers that for the agent, and `late_starts` for the holder.
"""
