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
	return &cli.Command{Name: "explain", Usage: "show from the logs of nodes in which phase late requests and items spent their time", ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "first", Value: 300 * time.Millisecond, Usage: "maximum time to the first event"},
			&cli.DurationFlag{Name: "pause", Value: 250 * time.Millisecond, Usage: "maximum pause between events"},
			&cli.DurationFlag{Name: "due", Value: 18 * time.Second, Usage: "time from the submission of a job to its due time"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return errors.New("no log file given")
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
