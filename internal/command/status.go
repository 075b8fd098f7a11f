package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"bamboofork/internal/config"
	"bamboofork/internal/entry"
)

func (c *cli) addStatus(p *flaggy.Parser, actions map[*flaggy.Subcommand]action) {
	subcommand(p, actions, "status", "Show the processes known to an entry.", c.fleetStatus)
	id := ""
	explain := subcommand(p, actions, "explain", "Show how a request was routed and how it ended.", func(ctx context.Context) error { return c.explainRequest(ctx, id) })
	explain.AddPositionalValue(&id, "request", 1, true, "Request ID (Bf-Request-Id header of the response); query the entry in its Bf-Entry header.")
}

func (c *cli) explainRequest(ctx context.Context, id string) error {
	var steps []entry.Explanation
	if _, err := c.call(ctx, http.MethodGet, entry.PathDecisions+id, "", nil, &steps); err != nil {
		return err
	}
	t := table{header: []any{"TIME", "BRANCH", "ATTEMPT", "OUTCOME", "WHY"}}
	for _, s := range steps {
		attempt, why := "-", s.Reason
		if s.Outcome == "" {
			attempt, why = strconv.Itoa(s.Attempt), s.Decision
		}
		t.add(s.At.Format(time.RFC3339Nano), s.Branch, attempt, orDash(string(s.Outcome)), orDash(why))
	}
	return c.print(steps, t)
}

func (c *cli) fleetStatus(ctx context.Context) error {
	status, err := c.fetchStatus(ctx)
	if err != nil {
		return err
	}
	t := table{header: []any{"PROCESS", "ROLE", "DOMAIN", "RACK", "STATE", "SLOTS", "QUEUED", "CONNS", "FREE CORES", "FREE MB", "REVISION"}}
	t.add(status.Self.ID, status.Self.Role, status.Self.Domain, orDash(status.Self.Rack), "alive", "-", "-", "-", "-", "-", status.SettingsRevision)
	for _, m := range status.Members {
		state := "alive"
		switch {
		case m.Leaving:
			state = "leaving"
		case m.Suspect:
			state = "suspect"
		}
		l := m.Load
		t.add(m.ID, m.Role, m.Domain, orDash(m.Rack), state, fmt.Sprintf("%d/%d", l.SlotsBusy, l.Slots), l.Queued,
			fmt.Sprintf("%d/%d", l.Conns, l.ConnsMax), l.Free.Cores, l.Free.MemoryMB, m.SettingsRev)
	}
	return c.print(status, t)
}

// configFlags holds the arguments of the subcommands of config.
type configFlags struct {
	file     string
	branch   string
	forAgent bool
}

func (c *cli) addConfig(p *flaggy.Parser, actions map[*flaggy.Subcommand]action) {
	f := &configFlags{branch: root}
	cfg := flaggy.NewSubcommand("config")
	cfg.Description = "Check settings files without a store."
	p.AttachSubcommand(cfg, 1)
	check := subcommand(cfg, actions, "check", "Validate a settings tree file.", func(context.Context) error { return c.configCheck(f) })
	check.AddPositionalValue(&f.file, "file", 1, true, "Settings tree (YAML).")
	show := subcommand(cfg, actions, "show", "Show a branch of a tree file and where each value comes from.", func(context.Context) error { return c.configShow(f) })
	show.AddPositionalValue(&f.file, "file", 1, true, "Settings tree (YAML).")
	show.String(&f.branch, "e", "effective", "Branch to show; / is the root.")
	process := subcommand(cfg, actions, "process", "Validate a process's settings file.", func(context.Context) error { return c.configProcess(f) })
	process.AddPositionalValue(&f.file, "file", 1, true, "Process settings (YAML).")
	process.Bool(&f.forAgent, "a", "agent", "The file belongs to an agent.")
	m := &manifestFlags{}
	manifest := subcommand(cfg, actions, "manifest", "Check a manifest of routes before it is sent.", func(context.Context) error { return c.configManifest(m) })
	manifest.AddPositionalValue(&m.file, "file", 1, true, "Manifest (JSON).")
	manifest.String(&m.inForce, "", "in-force", "File with the manifest in force, to compare with.")
}

func (c *cli) configCheck(f *configFlags) error {
	tree, err := readTree(f.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "ok, %d branches\n", len(tree.Branches))
	return nil
}

func (c *cli) configShow(f *configFlags) error {
	tree, err := readTree(f.file)
	if err != nil {
		return err
	}
	showFlags := settingsFlags{branch: f.branch}
	return c.printExplanation(tree, 0, showFlags.path())
}

func (c *cli) configProcess(f *configFlags) error {
	data, err := os.ReadFile(f.file)
	if err != nil {
		return err
	}
	if _, err := config.Parse(f.file, data, f.forAgent); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "ok")
	return nil
}
