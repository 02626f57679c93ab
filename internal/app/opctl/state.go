package opctl

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/peer/wire"
)

// statusCommand shows a router's state.
type statusCommand struct {
	c *client
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	ctx, cancel := callContext()
	defer cancel()
	reply, err := s.c.api.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return err
	}
	return s.c.print(reply, func() {
		s.c.printf("instance    %s\nzone        %s\nincarnation %s\n", reply.Self.Address, reply.Self.Zone, reply.Self.Incarnation)
		s.c.printf("revision    %d, confirmed %s ago\n", reply.Revision, time.Duration(reply.AgeMillis)*time.Millisecond)
		s.c.printf("current     %t\ndraining    %t\nopen        %d\npartitions  %v\n", reply.Current, reply.Draining, reply.OpenRequests, reply.Partitions)
		for _, m := range reply.Members {
			s.c.printf("member      %s  zone %s  partitions %v  leaving %t\n", m.Address, m.Zone, m.Partitions, m.Leaving)
		}
	})
}

// explainCommand shows how a prompt would be placed.
type explainCommand struct {
	c      *client
	Prompt string `long:"prompt-file" default:"-" description:"file with the messages or prompt as they stand in the request"`
	Args   struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
		Model     string `positional-arg-name:"MODEL"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *explainCommand) Execute([]string) error {
	prompt, err := e.c.readInput(e.Prompt)
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	reply, err := e.c.api.Explain(ctx, &wire.ExplainRequest{Workspace: e.Args.Workspace, Model: e.Args.Model, Prompt: prompt})
	if err != nil {
		return err
	}
	return e.c.print(reply, func() {
		e.c.printf("chosen: %s (%s), %d prompt tokens, placed by %s\n", reply.Chosen, reply.Why, reply.PromptTokens, reply.Placer)
		e.c.printf("%-16s %-8s %10s %10s %10s %10s %10s\n", "engine", "zone", "queue", "compute", "hop", "total", "cached")
		for _, c := range reply.Candidates {
			e.c.printf("%-16s %-8s %10.4f %10.4f %10.4f %10.4f %10d\n",
				c.Upstream, c.Zone, c.QueueSeconds, c.ComputeSeconds, c.HopSeconds, c.TotalSeconds, c.CachedTokens)
		}
	})
}

// drainCommand starts draining a router.
type drainCommand struct {
	c *client
}

// Execute implements flags.Commander.
func (d *drainCommand) Execute([]string) error {
	ctx, cancel := callContext()
	defer cancel()
	reply, err := d.c.api.Drain(ctx, &wire.DrainRequest{})
	if err != nil {
		return err
	}
	return d.c.print(reply, func() { d.c.printf("the router is draining; stop its process when it has no open requests\n") })
}
