package soak

import "time"

// Regression is a seed that has failed.
type Regression struct {
	Seed    uint64
	Routers int
	Length  time.Duration
	// Fault names the only faults, separated by commas; empty for all.
	Fault string
	// Cause is why it failed and how that was fixed.
	Cause string
}

// Regressions are all seeds that have failed on the platform's interface. Every soak runs them first. The faults of a seed
// change with the list of faults, so each cause also has its own test.
var Regressions = []Regression{
	{102, 5, 20 * time.Second, "", "the checker counted calls that raced with the close of an idle connection; the users' rule excludes them"},
	{106, 13, 20 * time.Second, "", "as seed 102"},
	{2023, 13, 20 * time.Second, "", "each router starts with its own bucket level of a rate before it has received the others'; open, see KNOWN-RED.txt"},
	{4200, 5, 8 * time.Second, "upstream killed", "the FIN of a killed upstream passed for the end of an answer without a length; the end counts only while the process lives (8faf050)"},
	{4202, 26, 8 * time.Second, "upstream killed", "as seed 4200, with half bodies of plain services (8faf050)"},
	{4201, 13, 8 * time.Second, "upstream stutters", "the second copy of an answer without a length was given out as its body; a head within a body breaks it (0c1ebda)"},
	{4200, 5, 8 * time.Second, "upstream writes another head", "an error's head and text were given out as events; bytes that are no event break a stream (40edac8, 00bfe14)"},
	{4201, 13, 8 * time.Second, "upstreams break off and fail", "a resumption without an event ended a stream that had broken off within one (bc2888d)"},
	{67, 5, 6 * time.Second, "upstream killed, upstream killed in chunks, upstream stutters, upstream writes another head, upstreams break off and fail", "a resumption without an event ended a stream that had broken off between events (ce26006)"},
	{4200, 5, 12 * time.Second, "router stopped amid slow calls", "calls open at the end of the grace period lost their connection; they are answered before it (cffd91f)"},
	{4300, 5, 14 * time.Second, "engines queue", "requests that waited in an engine's queue began on superseded weights; attempts that have not begun are taken back (92998c4)"},
}
