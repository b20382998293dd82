"""Types of identifiers and version numbers, distinct to the type checker."""

from typing import NewType

OrganisationId = NewType("OrganisationId", str)
KindName = NewType("KindName", str)
"""Name of a template, which defines one kind of work."""

InstanceId = NewType("InstanceId", str)
"""Name of an instance; it survives restarts of the agent."""

Incarnation = NewType("Incarnation", int)
"""Number of one run of an agent or entry; it increases with each start."""

EntryId = NewType("EntryId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
Rack = NewType("Rack", str)
RequestId = NewType("RequestId", str)
Attempt = NewType("Attempt", int)
"""Number of a dispatch within its request, starting at 1."""

TicketId = NewType("TicketId", str)
"""Id of a call whose reply is pending, unique within one process."""

IdempotencyKey = NewType("IdempotencyKey", str)
OperationId = NewType("OperationId", str)
"""Id of a table transaction, which resolves one whose answer is lost."""

TaskId = NewType("TaskId", str)
Epoch = NewType("Epoch", int)
"""Fencing number of a placement of a task or of a holder of a partition."""

Partition = NewType("Partition", int)
ConfigVersion = NewType("ConfigVersion", int)
RowKey = NewType("RowKey", str)
RowVersion = NewType("RowVersion", int)
"""Version of a table row; 0 if the row does not exist."""

CheckpointRef = NewType("CheckpointRef", str)
"""Name of a checkpoint that a worker stored in the object store."""
