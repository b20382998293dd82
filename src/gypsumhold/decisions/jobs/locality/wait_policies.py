"""Policies that decide whether a wait for a near place pays."""

import datetime

from gypsumhold.model.jobs import locality, messages, policies

MAX_REPORT_AGE = 2 * messages.REPORT_INTERVAL
"""Age of a report from which its worker has missed one, so that its openings
are not counted on."""


NO_TIME = datetime.timedelta(0)


class TakeAnywhere(policies.LocalityPolicy):
    """Baseline: a task that has no near place goes elsewhere at once."""

    def decide(self, case: locality.NearPlaceCase) -> locality.PlaceDecision:
        """Returns the place elsewhere."""
        return locality.PlaceDecision(
            locality.PlaceChoice.ELSEWHERE, case.now, None
        )


class WeighWait(policies.LocalityPolicy):
    """Waits if a near place is expected before the wait costs more than it.

    A task elsewhere ends later by its loss, and its step by the loss of the
    job, which is smaller if other tasks of the step end late as well. If the
    job meets its objective near but not elsewhere, the task waits for as long
    as the job still meets it, and for no longer than the loss of the job: it
    then ends no later than by twice the loss, whatever the forecast is worth.
    If the job is on time, or late, at either place, its wait gains nothing
    unless other tasks find no capacity, from whom the loss is taken. It then
    waits for no longer than the loss, and never for so long that the job could
    not be on time elsewhere.
    """

    def decide(self, case: locality.NearPlaceCase) -> locality.PlaceDecision:
        """Returns a wait if a place is expected before its end."""
        until = _find_end(case)
        expected_at = _expect_place(case)
        if expected_at is None or expected_at >= until:
            return locality.PlaceDecision(
                locality.PlaceChoice.ELSEWHERE, case.now, expected_at
            )
        return locality.PlaceDecision(
            locality.PlaceChoice.WAIT, until, expected_at
        )


def _find_end(case: locality.NearPlaceCase) -> datetime.timedelta:
    """Returns when a wait has to end at the latest."""
    began_at = case.now if case.began_at is None else case.began_at
    on_time_until = case.now + case.slack
    if NO_TIME <= case.slack < case.job_loss:
        until = min(began_at + case.job_loss, on_time_until)
    else:
        until = began_at + (case.loss if case.is_contended else NO_TIME)
    if case.slack >= case.job_loss:
        until = min(until, on_time_until - case.job_loss)
    if case.latest_start_at is not None:
        until = min(until, case.latest_start_at)
    return until


def _expect_place(
    case: locality.NearPlaceCase,
) -> datetime.timedelta | None:
    """Returns when a place is expected that no other task takes first.

    The worker may have gone on without news since its report, so the age of
    the report counts as a delay.
    """
    expected = sorted(
        opening.opens_at + (case.now - opening.reported_at)
        for opening in case.forecast.openings
        if case.now - opening.reported_at < MAX_REPORT_AGE
    )
    if len(expected) <= case.places_ahead:
        return None
    return expected[case.places_ahead] + case.turnover
