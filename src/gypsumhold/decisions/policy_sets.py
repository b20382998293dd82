"""Sets of policies for entries and agents: standard and baseline."""

from gypsumhold.decisions import (
    fairness,
    interference,
    placement,
    retries,
    routing,
)
from gypsumhold.model import policies, states


def build_entry_policies(choice: states.PolicyChoice) -> policies.EntryPolicies:
    """Returns new policies for an entry."""
    if choice is states.PolicyChoice.BASELINE:
        return policies.EntryPolicies(
            routing.RandomRouting(),
            retries.NoRetries(),
            placement.FirstFit(),
        )
    return policies.EntryPolicies(
        routing.PowerOfTwoChoices(),
        retries.BudgetedRetries(),
        placement.LeastLoaded(),
    )


def build_agent_policies(choice: states.PolicyChoice) -> policies.AgentPolicies:
    """Returns new policies for an agent."""
    if choice is states.PolicyChoice.BASELINE:
        return policies.AgentPolicies(
            fairness.FirstComeFirstServed(),
            interference.NoInterferenceControl(),
        )
    return policies.AgentPolicies(
        fairness.WeightedFair(),
        interference.PairwiseInterferenceControl(),
    )
