"""Counts submissions by kind, so that each kind has a floor."""

from gypsumhold.model.jobs import forecasts

MIN_ACCEPTED_SHARE = 0.5
"""Least share of the submissions of a kind that is accepted. Refusals have to
stay well below three fifths of each kind, and large jobs have to be served at
least half as often as others."""

MAX_ASKED = 40.0
"""Submissions after which the counts are halved, so that they follow change."""


def needs_floor(share: forecasts.Share) -> bool:
    """Tells whether one more refusal would bring a kind below its floor."""
    return share.accepted < MIN_ACCEPTED_SHARE * (share.asked + 1)


def record(
    shares: dict[forecasts.ShareKey, forecasts.Share],
    decision: forecasts.AdmissionDecision,
    *,
    accepted: bool,
) -> None:
    """Counts a submission of a queue that is short of room."""
    if decision.key is None:
        return
    share = shares.get(decision.key, forecasts.Share())
    scale = 0.5 if share.asked >= MAX_ASKED else 1.0
    shares[decision.key] = forecasts.Share(
        share.asked * scale + 1,
        share.accepted * scale + accepted,
        decision.refusing,
    )
