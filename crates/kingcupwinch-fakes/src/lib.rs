//! Small stand-ins for the log service, the instance list and workers.
