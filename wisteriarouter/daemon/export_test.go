package daemon

// StartWithLog starts a router that logs to a writer.
var StartWithLog = start
