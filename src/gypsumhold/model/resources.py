"""Amounts of processor time, memory and accelerators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each kind of resource of an instance.

    Attributes:
        cpu_millis: Thousandths of a processor core.
        memory_mb: Memory in units of 1,000,000 bytes.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether no amount exceeds that of `available`."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def take_larger(self, other: "Resources") -> "Resources":
        """Returns the larger amount of each resource."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


NOTHING = Resources()
