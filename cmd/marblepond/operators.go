package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// operatorTimeout bounds one operator command.
const operatorTimeout = 2 * time.Minute

type operatorAction func(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error

// operatorCommand returns a command that calls the operator service of a node.
func operatorCommand(name, usage string, flags []cli.Flag, run operatorAction) *cli.Command {
	common := []cli.Flag{
		&cli.StringFlag{Name: "node", Value: "127.0.0.1:7071", Sources: cli.EnvVars("MARBLEPOND_NODE"), Usage: "peer address `IP:PORT` of any node"},
		&cli.StringFlag{Name: "key", Sources: cli.EnvVars("MARBLEPOND_OPERATOR_KEY"), Usage: "operator `KEY`"},
	}
	return &cli.Command{
		Name: name, Usage: usage, Flags: append(common, flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
			defer cancel()
			return run(ctx, c, peer.NewOperatorClient(http.DefaultClient, c.String("node"), c.String("key")))
		},
	}
}

func operatorCommands() []*cli.Command {
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "the intent, an INI `FILE`"}
	base := &cli.Uint64Flag{Name: "base", Required: true, Usage: "the base `VERSION` that plan printed"}
	request := &cli.StringFlag{Name: "request", Usage: "only events of this request `ID`"}
	confirmed := &cli.Uint64Flag{Name: "base", Usage: "confirm the plan with this base `VERSION`; without it the plan is shown"}
	end := &cli.BoolFlag{Name: "end", Usage: "end the evacuation: the targets get work again"}
	work := &cli.StringFlag{Name: "work", Required: true, Usage: "the `FINGERPRINT` that quarantine printed"}
	target := &cli.StringFlag{Name: "target", Required: true, Usage: "the `ID` of the target"}
	limit := &cli.Uint32Flag{Name: "limit", Value: 200, Usage: "newest `N` events"}
	return []*cli.Command{
		operatorCommand("plan", "show what an intent would change", []cli.Flag{file}, plan),
		operatorCommand("apply", "confirm a plan", []cli.Flag{file, base}, apply),
		operatorCommand("evacuate", "send no new work to the targets of a data centre: evacuate DATA_CENTRE", []cli.Flag{end, confirmed}, evacuate),
		operatorCommand("status", "show nodes, data centres and the configuration in force", nil, status),
		operatorCommand("targets", "show the targets of the node's data centre", nil, targets),
		operatorCommand("workspaces", "show each workspace's use of its rate limit, the node that lends it and the last refusal", nil, workspaces),
		operatorCommand("quarantine", "show the requests that are refused because they crash targets", nil, quarantine),
		operatorCommand("release", "allow a refused request to run again, at every node", []cli.Flag{work}, release),
		operatorCommand("release-target", "end the ejection of a target that failed or hung, at every node", []cli.Flag{target}, releaseTarget),
		operatorCommand("timeline", "show the events of all nodes, ordered by time", []cli.Flag{request, limit}, showTimeline),
		batchCommand(),
	}
}

func plan(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	intent, err := os.ReadFile(c.String("file"))
	if err != nil {
		return err
	}
	resp, err := client.Plan(ctx, &v1.PlanRequest{Intent: string(intent)})
	if err != nil {
		return err
	}
	printPlan(resp)
	if len(resp.Changes) > 0 {
		fmt.Printf("\nTo confirm: marblepond apply -f %s --base %d\n", c.String("file"), resp.BaseVersion)
	}
	return nil
}

func printPlan(p *v1.PlanResponse) {
	fmt.Printf("base version %d, %d changes\n", p.BaseVersion, len(p.Changes))
	section := ""
	for _, change := range p.Changes {
		if change.Section != section {
			section = change.Section
			fmt.Printf("[%s]\n", section)
		}
		switch {
		case change.Before == "":
			fmt.Printf("  + %s = %s\n", change.Key, change.After)
		case change.After == "":
			fmt.Printf("  - %s = %s\n", change.Key, change.Before)
		default:
			fmt.Printf("  ~ %s = %s -> %s\n", change.Key, change.Before, change.After)
		}
	}
}

func apply(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	intent, err := os.ReadFile(c.String("file"))
	if err != nil {
		return err
	}
	return applyPlan(ctx, client, &v1.ApplyRequest{Intent: string(intent), BaseVersion: c.Uint64("base")})
}

// applyPlan applies a plan and prints the new version, or a fresh plan if it is stale.
func applyPlan(ctx context.Context, client marblepondv1connect.OperatorServiceClient, req *v1.ApplyRequest) error {
	resp, err := client.Apply(ctx, req)
	if err != nil {
		return err
	}
	if resp.Stale {
		printPlan(resp.Fresh)
		return fmt.Errorf("stale plan: version %d is in force; the plan against it is above", resp.Fresh.BaseVersion)
	}
	fmt.Printf("version %d is accepted\n", resp.Version)
	return nil
}

func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) }

func status(ctx context.Context, _ *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.Status(ctx, &v1.StatusRequest{})
	if err != nil {
		return err
	}
	out := newTable()
	fmt.Fprintln(out, "NODE\tDATA CENTRE\tSTATE\tANSWERED\tLEAVING\tVERSION")
	for _, s := range resp.Nodes {
		fmt.Fprintf(out, "%s\t%s\t%s\t%t\t%t\t%d\n", s.Node.Id, s.Node.DataCentre, s.State, s.Answered, s.Node.Leaving, s.Node.ConfigVersion)
	}
	out.Flush()
	for _, dc := range resp.DataCentres {
		if !dc.Reachable {
			fmt.Printf("data centre %s is unreachable\n", dc.DataCentre)
		}
		if dc.Evacuated {
			fmt.Printf("data centre %s is evacuated\n", dc.DataCentre)
		}
	}
	if resp.InForceEverywhere {
		fmt.Printf("version %d is in force at every node asked\n", resp.HeadVersion)
	} else {
		fmt.Printf("version %d is the newest; not every node is known to have it in force\n", resp.HeadVersion)
	}
	return nil
}

func targets(ctx context.Context, _ *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.Targets(ctx, &v1.TargetsRequest{})
	if err != nil {
		return err
	}
	out := newTable()
	fmt.Fprintln(out, "TARGET\tSERVICE\tVERSION\tOWNER\tRUNNING\tBATCH\tMAX\tLOADED\tFAILED\tSUCCEEDED\tUNANSWERED\tALIVE\tPACE\tFIRST EVENT\tSINCE\tOUT BECAUSE")
	for _, t := range resp.Targets {
		v := t.Verdict // the fields of an absent verdict are zero
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%v\t%d\t%d\t%d\t%d\t%s\t%s\t%v\t%s\n", t.Target, t.Service, t.Version, t.Owner, t.Load.Running, t.Load.Batch, t.Load.MaxRunning, t.Load.Loaded,
			v.GetFailed(), v.GetSucceeded(), v.GetUnanswered(), v.GetAlive(), orUnknown(t.PacePercent, "%"), orUnknown(t.FirstEventMs, "ms"), verdictAge(v), outBecause(t))
	}
	out.Flush()
	printVersions(resp.Targets)
	printCopies(resp.Copies)
	return nil
}

// printCopies prints how fresh the node's cached copies are, on which the list above rests.
func printCopies(copies []*v1.CopyStatus) {
	for _, c := range copies {
		state := "never verified"
		if c.Verified {
			state = fmt.Sprintf("verified %v ago", time.Duration(c.AgeMs)*time.Millisecond)
		}
		if c.CatchingUp {
			state += ", catching up"
		}
		fmt.Printf("copy of %s: revision %d, %d behind, %s\n", c.Kind, c.Revision, c.Behind, state)
	}
}

// printVersions prints how many targets of each version a service has, for services with
// targets of several versions.
func printVersions(targets []*v1.TargetStatus) {
	counts := map[string]map[string]int{}
	for _, t := range targets {
		if counts[t.Service] == nil {
			counts[t.Service] = map[string]int{}
		}
		counts[t.Service][t.Version]++
	}
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		if len(counts[service]) < 2 {
			continue
		}
		fmt.Printf("service %s has targets of several versions:", service)
		for _, version := range slices.Sorted(maps.Keys(counts[service])) {
			fmt.Printf(" %d with %s", counts[service][version], version)
		}
		fmt.Println()
	}
}

// orUnknown returns a number with its unit, or "-" for 0, which means that it is not known.
func orUnknown(n uint32, unit string) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n, unit)
}

// verdictAge returns how long a target has been ejected or on trial, empty if it is not.
func verdictAge(v *v1.TargetVerdict) string {
	if v.GetState() == "" {
		return ""
	}
	return (time.Duration(v.GetSinceMs()) * time.Millisecond).String()
}

// outBecause returns why a target gets no requests, with the cause and the scope of a verdict.
func outBecause(t *v1.TargetStatus) string {
	if t.Verdict.GetState() == "" {
		return t.Ejected
	}
	return fmt.Sprintf("%s, for the %s: %s", t.Ejected, t.Verdict.Scope, t.Verdict.Cause)
}

func releaseTarget(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.ReleaseTarget(ctx, &v1.ReleaseTargetRequest{Target: c.String("target")})
	if err != nil {
		return err
	}
	if len(resp.Missing) > 0 {
		fmt.Printf("nodes that did not respond: %s\n", strings.Join(resp.Missing, " "))
	}
	if !resp.Known {
		return fmt.Errorf("no node that responded has ejected %s", c.String("target"))
	}
	fmt.Println("released")
	return nil
}

func quarantine(ctx context.Context, _ *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.Quarantine(ctx, &v1.QuarantineRequest{})
	if err != nil {
		return err
	}
	out := newTable()
	fmt.Fprintln(out, "WORK\tPARTS\tLAST CRASH\tLET GO IN\tTARGETS")
	for _, r := range resp.Refused {
		fmt.Fprintf(out, "%s\t%s\t%v ago\t%v\t%s\n", r.Work, cmp.Or(strings.Join(r.Parts, " "), "the whole request"), roundToSeconds(r.SinceMs), roundToSeconds(r.LeftMs), strings.Join(r.Targets, " "))
	}
	out.Flush()
	fmt.Printf("%d refused, %d crashes counted\n", len(resp.Refused), resp.Crashes)
	return nil
}

func roundToSeconds(ms uint32) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}

func release(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.ReleaseWork(ctx, &v1.ReleaseWorkRequest{Work: c.String("work")})
	if err != nil {
		return err
	}
	if !resp.Known {
		return fmt.Errorf("no crash is known that counts against %s", c.String("work"))
	}
	fmt.Println("released; other nodes learn of it within a second")
	return nil
}

func showTimeline(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.Timeline(ctx, &v1.TimelineRequest{RequestId: c.String("request"), Limit: c.Uint32("limit")})
	if err != nil {
		return err
	}
	out := newTable()
	for _, e := range resp.Events {
		at := timeline.HLC(e.Hlc).Time().Format("15:04:05.000")
		fmt.Fprintf(out, "%s\t%s\t%d %s\t%s\t%s\t%s\n", at, e.Node, e.Code, e.Name, e.RequestId, e.Subject, e.Cause)
	}
	out.Flush()
	for _, missing := range resp.Missing {
		fmt.Printf("node %s did not respond; its events are missing\n", missing)
	}
	return nil
}

func batchCommand() *cli.Command {
	id := &cli.StringFlag{Name: "id", Required: true, Usage: "the batch `ID`"}
	submit := []cli.Flag{
		&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "items, a JSONL `FILE`"},
		&cli.StringFlag{Name: "workspace", Aliases: []string{"w"}, Required: true, Usage: "`NAME` of the workspace"},
		&cli.StringFlag{Name: "idempotency-key", Usage: "a `KEY`; submitting it again returns the same batch"},
		&cli.DurationFlag{Name: "window", Value: 24 * time.Hour, Usage: "`TIME` until the batch should be complete"},
	}
	return &cli.Command{Name: "batch", Usage: "submit, show, cancel and read batches", Commands: []*cli.Command{
		operatorCommand("submit", "submit a JSONL file as a batch", submit, submitBatch),
		operatorCommand("show", "show a batch", []cli.Flag{id}, showBatch),
		operatorCommand("cancel", "stop a batch", []cli.Flag{id}, cancelBatch),
		operatorCommand("results", "print the results committed so far as JSONL", []cli.Flag{id}, batchResults),
	}}
}

func submitBatch(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	items, err := os.ReadFile(c.String("file"))
	if err != nil {
		return err
	}
	resp, err := client.SubmitBatch(ctx, &v1.SubmitBatchRequest{Workspace: c.String("workspace"), Jsonl: items,
		IdempotencyKey: c.String("idempotency-key"), CompletionWindow: c.Duration("window").String()})
	if err != nil {
		return err
	}
	printBatch(resp)
	return nil
}

func printBatch(b *v1.BatchResponse) {
	fmt.Printf("%s %s: %d items, %d completed, %d failed\n", b.BatchId, b.State, b.Total, b.Completed, b.Failed)
}

func showBatch(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.ShowBatch(ctx, &v1.BatchRequest{BatchId: c.String("id")})
	if err != nil {
		return err
	}
	printBatch(resp)
	return nil
}

func cancelBatch(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.CancelBatch(ctx, &v1.BatchRequest{BatchId: c.String("id")})
	if err != nil {
		return err
	}
	printBatch(resp)
	return nil
}

func batchResults(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	for chunk := uint32(0); ; chunk++ {
		resp, err := client.BatchResults(ctx, &v1.BatchResultsRequest{BatchId: c.String("id"), Chunk: chunk})
		if err != nil {
			return err
		}
		os.Stdout.Write(resp.Jsonl)
		if resp.Last {
			return nil
		}
	}
}
