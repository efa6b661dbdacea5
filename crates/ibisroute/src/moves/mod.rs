//! Moves of traffic between target versions: schedule, evidence, verdict and outcome.
