package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lacewingyard/lacewingyard/internal/edge"
	"github.com/lacewingyard/lacewingyard/internal/engine"
	"github.com/spf13/cobra"
)

func newEdgeStatus() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:     "edge-status",
		GroupID: "queries",
		Short:   "Show the state of one host on the users' platform",
		Long: "Show the state of one host on the users' platform: the published state that the host\n" +
			"has, the other hosts, its view of the targets, and the remaining budget of extra\n" +
			"sends of each service. docs/OPERATIONS.md explains the states.",
		Example: "  lacewingyard edge-status --operators 10.1.0.39:9464",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var status edge.Status
		if err := callHost(cmd.Context(), http.MethodGet, address, edge.StatusPath, nil, nil, &status); err != nil {
			return err
		}
		return format.print(cmd.OutOrStdout(), status, func(w io.Writer) { printEdgeStatus(w, &status) })
	}
	operatorsFlag(cmd, &address)
	return cmd
}

// operatorsFlag adds the required --operators flag of a host on the platform.
func operatorsFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "operators", "", "address at which the host serves metrics and status (IP:port)")
	_ = cmd.MarkFlagRequired("operators")
}

func printEdgeStatus(w io.Writer, s *edge.Status) {
	fmt.Fprintf(w, "host\t%s\nplace\t%s\nstarted\t%s\nready\t%t\nleaving\t%t\nopen requests\t%d\nload\t%.2f of %.0f sends/s\ncallers directed here\t%t\nshare of extra sends\t%.3f\n",
		s.Host, s.Place, s.Started.Format(time.RFC3339), s.Ready, s.Leaving, s.OpenRequests, s.Load, s.Capacity, s.Directed, s.ExtraShare)
	printState(w, &s.State)
	c := &s.Callers
	fmt.Fprintf(w, "held by callers\t%d of %d bytes, %d requests being read\nrequests given up, without room, too slow\t%d, %d, %d\n",
		c.Bytes, c.BytesLimit, c.Reading, c.GivenUp, c.NoRoom, c.TooSlow)
	fmt.Fprintf(w, "connections of callers\t%d of %d, %d closed for others, %d refused\n", c.Connections, c.ConnectionsLimit, c.ConnectionsShed, c.ConnectionsRefused)
	fmt.Fprintln(w, "\nHOST\tPLACE\tHEARD\tALIVE\tREADY\tLEAVING\tCONFIGURATION\tERA\tREVISION\tCONFIRMED\tLOAD")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%d ms ago\t%t\t%t\t%t\t%d\t%d\t%d\t%d ms ago\t%.2f\n", p.Host, p.Place, p.LastHeardMS, p.Alive, p.Ready, p.Leaving, p.Config, p.Era, p.Revision, p.ConfirmedAgeMS, p.Load)
	}
	printTargets(w, s.Targets)
	if len(s.Budgets) > 0 {
		fmt.Fprintln(w, "\nSERVICE\tEXTRA SENDS LEFT")
	}
	for _, b := range s.Budgets {
		fmt.Fprintf(w, "%s\t%.1f\n", b.Service, b.Left)
	}
	fmt.Fprintf(w, "\nconnections closed under requests\t%d\ncrashes counted\t%d, and %d reported by others\nrequests refused for them\t%d\n",
		s.Crashes.ClosedSends, s.Crashes.Crashes, s.Crashes.FromPeers, s.Crashes.Refused)
	if s.Quota != nil {
		printQuota(w, s.Quota)
	}
	if len(s.Crashes.Quarantined) > 0 {
		fmt.Fprintln(w, "\nREQUEST THAT CRASHES TARGETS\tREFUSED FOR\tTIMES")
	}
	for _, q := range s.Crashes.Quarantined {
		fmt.Fprintf(w, "%d\t%s\t%d\n", q.Fingerprint, time.Duration(q.LeftMS)*time.Millisecond, q.Level)
	}
}

func printState(w io.Writer, s *edge.StateStatus) {
	fmt.Fprintf(w, "configuration\t%d\n", s.Config)
	if s.StoreBehind {
		fmt.Fprintf(w, "configuration of the store\t%d, older than the one in force\n", s.StoreConfig)
	}
	fmt.Fprintf(w, "state\tera %d, revision %d\nconfirmed\t%t, last by %s %d ms ago\nstore calls\t%d\nreads the store for all\t%t\nhosts assumed\t%d\n",
		s.Era, s.Revision, s.Confirmed, orNone(s.ConfirmedBy), s.ConfirmedAgeMS, s.StoreCalls, s.ReadsStore, s.AssumedHosts)
}

func printQuota(w io.Writer, q *edge.QuotaStatus) {
	fmt.Fprintf(w, "\ntenants with a limit\t%d\nlimits hold\tin %d ms, up to %g of the limit and %g requests above it\nthis host grants tokens\t%t, %d tenants\ngranting hosts\t%s\nsees most of the hosts\t%t\ntokens held\t%.1f for %d tenants\ntokens asked\t%.0f\ntokens granted\t%d\ntokens lapsed\t%d\ntenants over their limits\t%d\n",
		q.LimitedTenants, q.WindowMS, q.Overshoot, q.Slack, q.Grants, q.Buckets, strings.Join(q.GrantingHosts, " "), q.Majority, q.TokensHeld, q.TenantsHeld, q.TokensAsked, q.TokensGiven, q.TokensLapsed, q.OverLimitCount)
	if len(q.OverLimit) > 0 {
		fmt.Fprintln(w, "\nTENANT OVER ITS LIMIT\tRATE\tBURST\tFOR\tREFUSED\tGRANTING HOST")
	}
	for _, t := range q.OverLimit {
		fmt.Fprintf(w, "%s\t%g/s\t%g\t%s\t%d\t%s\n", t.Tenant, t.RatePerS, t.Burst, time.Duration(t.OverMS)*time.Millisecond, t.Refused, orNone(t.GrantingHost))
	}
	if len(q.Largest) > 0 {
		fmt.Fprintln(w, "\nTENANT WITH A LIMIT\tREQUESTS\tTOKENS HELD\tGRANTING HOST")
	}
	for _, t := range q.Largest {
		fmt.Fprintf(w, "%s\t%.1f/s\t%.1f\t%s\n", t.Tenant, t.DemandPerS, t.Tokens, orNone(t.GrantingHost))
	}
}

func orNone(name string) string { return cmp.Or(name, "none") }

func printTargets(w io.Writer, targets []engine.TargetReport) {
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tPLACE\tSTATE\tSLOWNESS\tFAILURES\tREFUSALS\tOPEN\tCONNECTIONS")
	for _, t := range targets {
		state := string(t.State)
		if t.Retained {
			state += ", entry missing"
		}
		if t.NamedLimit > 0 {
			state += fmt.Sprintf(", %.2f of %.2f/s", t.HostRate, t.NamedLimit)
		}
		if t.AwayMS > 0 {
			state += fmt.Sprintf(", wants none for %s", time.Duration(t.AwayMS)*time.Millisecond)
		}
		if len(t.Heard) > 0 {
			state += fmt.Sprintf(", told others: %v", t.Heard)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%d\t%d of %d\n",
			t.Target, t.Service, t.Place, state, t.Slowness, t.Failures, t.Refusals, t.Outstanding, t.Connections, t.Limit)
	}
}
