package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
)

// evacuate prints the plan of an evacuation or of its end, or applies that plan if --base
// is given.
func evacuate(ctx context.Context, c *cli.Command, client marblepondv1connect.OperatorServiceClient) error {
	if c.Args().Len() != 1 {
		return errors.New("name one data centre: marblepond evacuate DATA_CENTRE")
	}
	change := &v1.Evacuation{DataCentre: c.Args().First(), End: c.Bool("end")}
	if c.IsSet("base") {
		return applyPlan(ctx, client, &v1.ApplyRequest{Evacuation: change, BaseVersion: c.Uint64("base")})
	}
	resp, err := client.Plan(ctx, &v1.PlanRequest{Evacuation: change})
	if err != nil {
		return err
	}
	printPlan(resp)
	if len(resp.Changes) == 0 {
		return nil
	}
	end := ""
	if change.End {
		end = "--end "
	}
	fmt.Printf("\nTo confirm: marblepond evacuate --base %d %s%s\n", resp.BaseVersion, end, change.DataCentre)
	return nil
}
