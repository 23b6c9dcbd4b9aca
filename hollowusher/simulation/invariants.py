"""The invariants of a simulation run: all checks, on what the outside saw.

Nothing here looks inside the system.  Each rule has a name, which is printed (LOST, ORDER, TWICE ...).
"""

from __future__ import annotations

from hollowusher.simulation.checks import configuration, machines, reports, runs, waiting
from hollowusher.simulation.checks.rules import Check, DeploymentRules, RuleViolation
from hollowusher.simulation.observations import Observations

CHECKS: tuple[Check, ...] = (
    runs.check_unknown_runs,
    runs.check_route,
    runs.check_former_service,
    runs.check_drained_workers,
    runs.check_run_after_rejection,
    runs.check_order,
    runs.check_run_twice,
    reports.check_reported_states,
    reports.check_final_states_stable,
    runs.check_rate_limit,
    runs.check_early,
    runs.check_started_early,
    runs.check_budget,
    reports.check_unknown_accepted,
    reports.check_left_queued,
    waiting.check_left_waiting,
    reports.check_silent_callbacks,
    reports.check_repeated_ends,
    machines.check_drain,
    machines.check_retirements,
    machines.check_calls_after_fencing,
    machines.check_liveness,
    configuration.check_wrong_rejections,
    configuration.check_configuration_writes,
    configuration.check_configuration_reads,
    configuration.check_configuration_order,
    reports.check_lost,
    runs.check_expired,
    reports.check_unserved,
    reports.check_stale,
    reports.check_missing_callbacks,
)


def find_violations(observations: Observations, rules: DeploymentRules) -> list[RuleViolation]:
    """Run all checks and return the violations by time."""
    found = [violation for check in CHECKS for violation in check(observations, rules)]
    return sorted(found, key=lambda violation: violation.at)
