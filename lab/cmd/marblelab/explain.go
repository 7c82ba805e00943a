package main

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marblepond/marblepond/lab/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{Name: "explain", Usage: "tell from the logs of nodes where the time of late requests and items went", ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "first", Value: 300 * time.Millisecond, Usage: "objective of the first event"},
			&cli.DurationFlag{Name: "pause", Value: 250 * time.Millisecond, Usage: "longest pause between events"},
			&cli.DurationFlag{Name: "due", Value: 18 * time.Second, Usage: "time after which a job is due"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return errors.New("name at least one log")
			}
			return explainLogs(c.Args().Slice(), explain.Limits{FirstEvent: c.Duration("first"), Pause: c.Duration("pause")}, c.Duration("due"))
		}}
}

func explainLogs(paths []string, limits explain.Limits, due time.Duration) error {
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		logs = append(logs, file)
	}
	lines, err := explain.Read(logs...)
	if err != nil {
		return err
	}
	if err := explain.SummariseRequests(lines, limits).Print(os.Stdout); err != nil {
		return err
	}
	return explain.SummariseItems(lines, due).Print(os.Stdout)
}
