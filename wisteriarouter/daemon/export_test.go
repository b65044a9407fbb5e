package daemon

// StartWithLog starts a router that logs to the given writer.
var StartWithLog = start
