package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/peer"
)

// workspaces prints the use of each workspace's rate limit. It queries the node for the
// workspaces, and then each node that lends some of them for their use.
func workspaces(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	resp, err := client.Workspaces(ctx, &v1.WorkspacesRequest{})
	if err != nil {
		return err
	}
	lenders := queryLenders(ctx, c.String("key"), resp.Uses)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tPER SECOND\tBURST\tTAKEN/S\tREFUSED/S\tAVAILABLE\tLENDER\tLAST REFUSAL")
	for _, use := range resp.Uses {
		if reported := lenders[use.LenderAddress][use.Workspace]; reported != nil && !use.LentHere {
			use = reported
		}
		fmt.Fprintln(w, formatUse(use))
	}
	return w.Flush()
}

// queryLenders returns the uses that lenders report, by lender's address and workspace. A
// lender that does not respond is named on standard error, and its lines have no figures.
func queryLenders(ctx context.Context, key string, uses []*v1.WorkspaceUse) map[string]map[string]*v1.WorkspaceUse {
	reported := map[string]map[string]*v1.WorkspaceUse{}
	for _, use := range uses {
		if use.LenderAddress == "" || reported[use.LenderAddress] != nil {
			continue
		}
		reported[use.LenderAddress] = map[string]*v1.WorkspaceUse{}
		resp, err := peer.NewOperatorClient(http.DefaultClient, use.LenderAddress, key).Workspaces(ctx, &v1.WorkspacesRequest{})
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s does not respond: %v\n", use.Lender, err)
			continue
		}
		for _, own := range resp.Uses {
			if own.LentHere {
				reported[use.LenderAddress][own.Workspace] = own
			}
		}
	}
	return reported
}

func formatUse(use *v1.WorkspaceUse) string {
	if use.PerSecond == 0 {
		return use.Workspace + "\tno limit"
	}
	limit := fmt.Sprintf("%s\t%g\t%g", use.Workspace, use.PerSecond, use.Burst)
	if !use.LentHere {
		return fmt.Sprintf("%s\t?\t?\t?\t%s\t", limit, use.Lender)
	}
	refusal := "none"
	if use.RefusedAgoMs >= 0 {
		refusal = fmt.Sprintf("%v ago: %s", (time.Duration(use.RefusedAgoMs) * time.Millisecond).Round(100*time.Millisecond), use.Refusal)
	}
	return fmt.Sprintf("%s\t%.1f\t%.1f\t%.0f\t%s\t%s", limit, use.Taken, use.Refused, use.Available, use.Lender, refusal)
}
