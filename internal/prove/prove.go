// Package prove plays the project's proofs: scripted runs with faults on
// loopback, judged from what passed on the sockets of its stand-ins.
package prove

import (
	"context"
	"fmt"
	"io"
	"slices"

	"arrowwalk/internal/rules"
)

// Options of a proof.
type Options struct {
	Seed  int64
	Short bool     // the form that CI runs
	Out   string   // directory for the run's files; "": none are kept
	Exec  []string // command that runs arrowwalk, for gateways as processes
	Log   io.Writer
	Print io.Writer
	Guard string   // a guard that is taken out, to see the proof fail; "": none
	Drop  []string // troubles of the script that are left out
}

// Proof is a scripted run.
type Proof struct {
	Name string
	Help string
	Run  func(ctx context.Context, opt *Options) (*Report, error)
}

// Claim is one thing that a proof shows.
type Claim struct {
	Line   string   // as it is printed
	Broken []string // where it is not so
}

// Report is what a proof found.
type Report struct {
	Claims   []Claim
	Notes    []string      // figures that claim nothing
	Script   *rules.Script // what the script knew
	Calls    int           // requests of clients
	Sends    int           // that reached bricks
	Troubles []string      // that were played
}

// add appends a claim that holds where nothing is broken.
func (r *Report) add(broken []string, format string, args ...any) {
	r.Claims = append(r.Claims, Claim{fmt.Sprintf(format, args...), broken})
}

func (r *Report) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// Broken tells whether a claim does not hold.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Claims, func(c Claim) bool { return len(c.Broken) > 0 })
}

// Print writes a line for each claim and where it is broken.
func (r *Report) Print(w io.Writer) {
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	for _, c := range r.Claims {
		fmt.Fprintln(w, c.Line)
		for _, b := range c.Broken {
			fmt.Fprintln(w, "  "+b)
		}
	}
}

// All are the proofs, by name.
var All = []Proof{
	{"bad-day", "Three gateways as processes and six bricks live through a day of faults; the seven rules hold.", badDay},
	{"no-discovery", "Four hosts start without discovery on fresh, day-old, damaged and no lists; then it returns.", noDiscovery},
	{"console", "An operator at a pseudo-terminal drains a brick under load; the terminal dies, the gateway is killed.", consoleProof},
	{"rehearsal", "A day plays twice in virtual time to the same hash; a small one goes through real gateways beside it.", rehearsal},
	{"stalls", "A gateway stands still with requests held: what is overdue is answered first, bricks are not pushed.", stallsProof},
	{"reserves", "One front floods the bricks; a volume on the other, inside its reserve, is served in time.", reservesProof},
	{"power-loss", "Bricks lose power at any call to their disks, and what was not synced; what was acknowledged is there.", powerLoss},
	{"corruption", "Bits change on disks and on the way; what is wrong becomes a failure, never bytes.", corruption},
	{"objects", "Clients write the same objects through two gateways: lost and late answers, leavers, kills; each is a register.", objectsProof},
	{"platform", "A host on the platform's protocol: spoilt answers, strangers, silence, churn, reloads, a planned restart.", platformProof},
	{"rings", "A virtual machine on a block volume and object clients at once: faults, crashes, a stall, a theft of the volume.", ringsProof},
}

// Find returns a proof by its name.
func Find(name string) (*Proof, error) {
	for i := range All {
		if All[i].Name == name {
			return &All[i], nil
		}
	}
	return nil, fmt.Errorf("no proof is called %q; prove --list names them", name)
}

// Play runs a proof, prints its report and tells whether all claims hold.
func Play(ctx context.Context, p *Proof, opt *Options) (bool, error) {
	r, err := p.Run(ctx, opt)
	if err != nil {
		return false, fmt.Errorf("proof %s: %w", p.Name, err)
	}
	r.Print(opt.Print)
	return !r.Broken(), opt.keepSummary(p, r)
}
