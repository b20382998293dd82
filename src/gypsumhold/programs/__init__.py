"""The programs: each module builds the objects of one and runs it."""
