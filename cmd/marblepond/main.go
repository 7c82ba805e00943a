// Command marblepond runs a node ("agent") and the commands for operators.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marblepond/marblepond/internal/process/logwriter"
	"github.com/marblepond/marblepond/internal/process/node"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/platform"
)

// version is set by the linker in releases.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "marblepond",
		Usage:    "online and batch inference on one fleet",
		Version:  version,
		Commands: append([]*cli.Command{agentCommand(), checkCommand(), versionCommand()}, operatorCommands()...),
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Value: "marblepond.ini", Usage: "the node's settings `FILE`"}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run a node until SIGTERM, then drain",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return runNode(ctx, c.String("settings"), s)
		},
	}
}

// runNode runs a node with the settings s, read from path, until ctx ends. A hosted node
// reloads them on SIGHUP and when the file changes.
func runNode(ctx context.Context, path string, s *settings.Settings) error {
	log := logwriter.New(os.Stdout)
	defer log.Close()
	stdlog.SetOutput(logwriter.NewStandard(os.Stderr, time.Now))
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	if s.Front == settings.FrontHosted {
		hosted := platform.New(node.HostedDependencies(s, log))
		go hosted.WatchSettings(ctx, path, sighups)
		return hosted.Run(ctx)
	}
	return node.New(s, log).Run(ctx) // SIGHUP is ignored: settings are read only at the start
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and report every fault, one per line",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := settings.Load(c.String("settings")); err != nil {
				return err
			}
			fmt.Println("settings are valid")
			return nil
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println("marblepond", version)
			return nil
		},
	}
}
