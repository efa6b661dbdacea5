//! At-most-once claims for requests that may not be repeated.
