package main

import (
	"github.com/joomcode/errorx"
	"github.com/samber/lo"
)

// exitCode is an exit status of the program.
type exitCode int

// Exit codes. Scripts depend on them, so they must not change.
const (
	exitOK          exitCode = 0
	exitFailed      exitCode = 1
	exitUsage       exitCode = 2
	exitInvalid     exitCode = 3
	exitConflict    exitCode = 4
	exitUnavailable exitCode = 5
	exitUnknown     exitCode = 6
	exitBehind      exitCode = 7
	exitNoTeam      exitCode = 8
	exitDiffers     exitCode = 9
)

// exitCodes lists the exit codes with their documentation.
var exitCodes = []struct {
	code    exitCode
	meaning string
}{
	{exitOK, "done"},
	{exitFailed, "failed for a reason that has no code of its own"},
	{exitUsage, "wrong usage"},
	{exitInvalid, "the settings have problems; nothing was written"},
	{exitConflict, "another change stands; nothing was written"},
	{exitUnavailable, "no router or no platform could be reached; nothing was written"},
	{exitUnknown, "no answer came; the change may or may not be accepted; put it again with the -change-id shown"},
	{exitBehind, "accepted, but not in force on every router within -wait"},
	{exitNoTeam, "the team has no settings"},
	{exitDiffers, "settings diff found a difference"},
}

// Error types, each with an exit code.
var (
	errorNamespace = errorx.NewNamespace("wisteriactl")
	errUsage       = errorNamespace.NewType("usage")
	errInvalid     = errorNamespace.NewType("invalid")
	errConflict    = errorNamespace.NewType("conflict")
	errUnavailable = errorNamespace.NewType("unavailable")
	errUnknown     = errorNamespace.NewType("unknown")
	errBehind      = errorNamespace.NewType("behind")
	errNoTeam      = errorNamespace.NewType("no_team")
	errDiffers     = errorNamespace.NewType("differs")

	exitCodeByType = map[*errorx.Type]exitCode{
		errUsage:       exitUsage,
		errInvalid:     exitInvalid,
		errConflict:    exitConflict,
		errUnavailable: exitUnavailable,
		errUnknown:     exitUnknown,
		errBehind:      exitBehind,
		errNoTeam:      exitNoTeam,
		errDiffers:     exitDiffers,
	}
)

// exitCodeOf returns the exit code for err, or exitFailed if its type has none.
func exitCodeOf(err error) exitCode {
	if err == nil {
		return exitOK
	}
	for kind, code := range exitCodeByType {
		if errorx.IsOfType(err, kind) {
			return code
		}
	}
	return exitFailed
}

// messageOf returns the message of err for the operator, without the error type,
// which is only used to select the exit code.
func messageOf(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	return lo.CoalesceOrEmpty(typed.Message(), err.Error())
}
