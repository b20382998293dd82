"""Performs the store effects of a simulation on the fake store."""

from typing import Any

from gypsumhold.model.jobs import effects, events, storage
from tests.jobs import store_fake


def apply(store: store_fake.FakeStore, effect: Any, now_ms: float) -> Any:
    """Performs an effect on the store and returns the resulting event."""
    read = _read(store, effect)
    if read is not None:
        return read
    match effect:
        case effects.WriteJob():
            result = store.write_job(effect.spec)
            return events.JobWritten(effect.owner, result)
        case effects.WriteCancel():
            result = store.write_cancel(effect.job_id)
            return events.CancelWritten(effect.owner, result)
        case effects.TakeQueue():
            written = store.write_holder(effect.expected, effect.holder)
            if written.result is storage.WriteResult.STORED:
                store.entries["holder"] = effect.entry
            return events.QueueTaken(written)
        case effects.RegisterEntry():
            name = f"at/{effect.record.name}"
            result = store.register(name, effect.record)
            return events.EntryRegistered(result)
        case effects.LoadJobs():
            return events.JobsLoaded(effect.term, store.load(), int(now_ms))
        case effects.DeleteSubmissions():
            result = store.delete_submissions(effect.job_ids)
            return events.SubmissionsDeleted(
                effect.term, effect.job_ids, result
            )
        case effects.CommitBatch():
            holder = effect.batch.holder
            written = store.commit(effect.batch)
            return events.BatchCommitted(holder.term, holder.batch, written)
    raise AssertionError(f"no fake for {type(effect).__name__}")


def _read(store: store_fake.FakeStore, effect: Any) -> Any:
    """Performs a read of rows; returns None for other effects."""
    match effect:
        case effects.ReadJob():
            rows = store.read_job(effect.job_id)
            return events.JobRead(effect.owner, rows)
        case effects.ReadHolder():
            return events.HolderRead(store.holder)
        case effects.ReadEvacuations():
            changes = store.read_evacuations()
            return events.EvacuationsRead(effect.term, effect.asked_at, changes)
    return None
