package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/marblepond/marblepond/lab/model"
)

func modelCommand() *cli.Command {
	return &cli.Command{Name: "model", Usage: "simulate loads on modelled engines in virtual time, with the product's scheduling code",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "load", Usage: "`NAME` of a load, may be repeated; all loads if none is given: " + strings.Join(model.Loads(), ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed `N` of the random events"},
			&cli.BoolFlag{Name: "fleet2", Usage: "simulate the second fleet, with 70 nodes and 89 targets of different speeds; the three numbers below do not apply"},
			&cli.IntFlag{Name: "centres", Value: model.Small.DataCentres, Usage: "`N` data centres"},
			&cli.IntFlag{Name: "nodes", Value: model.Small.NodesPerDataCentre, Usage: "`N` nodes in each"},
			&cli.IntFlag{Name: "targets", Value: model.Small.TargetsPerDataCentre, Usage: "`N` targets in each"},
			&cli.StringFlag{Name: "plots", Usage: "write plots of the use of slots over time into this `FOLDER`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			names := c.StringSlice("load")
			if len(names) == 0 {
				names = model.Loads()
			}
			d := model.Small
			d.DataCentres, d.NodesPerDataCentre, d.TargetsPerDataCentre = c.Int("centres"), c.Int("nodes"), c.Int("targets")
			if c.Bool("fleet2") {
				d = model.Fleet2
			}
			return runModel(d, names, c.Uint64("seed"), c.String("plots"))
		}}
}

func runModel(d model.Deployment, names []string, seed uint64, plots string) error {
	var results []model.Result
	for _, name := range names {
		load, err := model.LoadByName(name)
		if err != nil {
			return err
		}
		for _, v := range model.Variants {
			results = append(results, model.Run(d, load, v, seed))
		}
	}
	if err := model.Print(os.Stdout, results); err != nil || plots == "" {
		return err
	}
	for _, r := range results {
		file := filepath.Join(plots, fmt.Sprintf("%s-%s.png", r.Load, strings.ReplaceAll(r.Variant, " ", "-")))
		if err := model.Plot(r, file); err != nil {
			return err
		}
	}
	return nil
}
