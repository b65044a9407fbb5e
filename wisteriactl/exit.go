package main

import (
	"github.com/joomcode/errorx"
	"github.com/samber/lo"
)

// exitCode is what the program tells the shell.
type exitCode int

// The exit codes. They stay the same, so that scripts can rely on them.
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

// exitCodes is the reference of the exit codes.
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

// The kinds of errors, each with an exit code.
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

// exitCodeOf returns the exit code of err.
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

// messageOf returns what to tell the operator of err. The kind of an error is
// for the program, not for the reader.
func messageOf(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	return lo.CoalesceOrEmpty(typed.Message(), err.Error())
}
