//! Scheduling decisions: queues, shares, placement, gangs, admission, retries and worker health.
