//! Calls: listener, routing, admission, retries and dispatch to targets.
