"""Identifier types; each is a distinct type to the type checker."""

from typing import NewType

OrganisationId = NewType("OrganisationId", str)
KindName = NewType("KindName", str)
"""Name of a template, that is, of a kind of work."""

InstanceId = NewType("InstanceId", str)
"""Name of an instance; stable across restarts of its agent."""

Incarnation = NewType("Incarnation", int)
"""One life of an agent or entry; a later life has a higher number."""

EntryId = NewType("EntryId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
Rack = NewType("Rack", str)
RequestId = NewType("RequestId", str)
Attempt = NewType("Attempt", int)
"""Number of a dispatch of one request, starting at 1."""

TicketId = NewType("TicketId", str)
"""Names a waiting caller or operator inside one entry."""

IdempotencyKey = NewType("IdempotencyKey", str)
OperationId = NewType("OperationId", str)
"""Names one table transaction, so that a lost answer can be resolved."""

TaskId = NewType("TaskId", str)
Epoch = NewType("Epoch", int)
"""Fencing number of a task's placement or of a partition's holder."""

Partition = NewType("Partition", int)
ConfigVersion = NewType("ConfigVersion", int)
RowKey = NewType("RowKey", str)
RowVersion = NewType("RowVersion", int)
"""Version of a table row; 0 means that the row does not exist."""

CheckpointRef = NewType("CheckpointRef", str)
"""Name under which a worker stored a checkpoint in the object store."""
