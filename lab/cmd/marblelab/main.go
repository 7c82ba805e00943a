// Command marblelab runs the stand-ins for external systems, the demo, and the tools that test
// and measure the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/marblepond/marblepond/lab/capacity"
	"github.com/marblepond/marblepond/lab/demo"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/hosted"
	"github.com/marblepond/marblepond/lab/hostedsoak"
	"github.com/marblepond/marblepond/lab/load"
	"github.com/marblepond/marblepond/lab/platform"
	"github.com/marblepond/marblepond/lab/service"
	"github.com/marblepond/marblepond/lab/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "marblelab",
		Usage: "stand-ins, demo and experiments",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), serviceCommand(),
			soakCommand(), hostedSoakCommand(), modelCommand(), explainCommand(), loadCommand(), overheadCommand(), reportCommand(),
			{Name: "capacity", Usage: "measure how costs grow with the size of the fleet, for docs/CAPACITY.md", Action: func(context.Context, *cli.Command) error {
				capacity.Run(os.Stdout)
				return nil
			}},
			{Name: "demo", Usage: "run a small fleet in this process and check it, then a hosted one", Action: func(context.Context, *cli.Command) error {
				return errors.Join(demo.Run(os.Stdout), hosted.Demo(os.Stdout))
			}},
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func soakCommand() *cli.Command {
	return &cli.Command{Name: "soak", Usage: "inject random faults into a fleet of processes and check what callers saw",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed `N` of the plan of faults"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "`TIME` under load and faults"},
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for logs and ledgers"},
			&cli.IntFlag{Name: "net", Usage: "second byte of the addresses, 127.`N`.x.y; without it one that is free"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return soak.Main(soak.Options{Seed: c.Uint64("seed"), Length: c.Duration("for"), Dir: c.String("dir"), Net: c.Int("net"), Out: os.Stdout})
		}}
}

func hostedSoakCommand() *cli.Command {
	return &cli.Command{Name: "hostedsoak", Usage: "inject random faults into processes of hosted nodes and check what callers saw",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed `N` of the plan of faults; 0: derived from the time"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "`TIME` under load and faults"},
			&cli.StringFlag{Name: "dir", Usage: "`FOLDER` for settings and logs"},
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the binaries; without it they are built"},
			&cli.IntFlag{Name: "net", Usage: "second byte of the addresses, 127.`N`.x.y; without it one that is free"},
			&cli.BoolFlag{Name: "shared-view", Usage: "turn the shared view on, and add hanging runners and overloads to the faults"},
			&cli.BoolFlag{Name: "versions", Usage: "start runners of two versions, add releases to the faults, and have callers return when streams break off"},
			&cli.BoolFlag{Name: "parts", Usage: "add requests that share a part of their prompts that crashes runners, and most connections at one node, to the faults"},
			&cli.BoolFlag{Name: "runner-faults", Usage: "add runners whose entries are missing for a time, and runners that send bytes without end, to the faults; the store accepts small values only"},
			&cli.BoolFlag{Name: "false-answers", Usage: "add runners that refuse requests and send answers that belong to others or to none to the faults"},
			&cli.BoolFlag{Name: "all-killed", Usage: "add releases around which all nodes are killed to the faults, with longer items, and have callers return when streams break off"},
			&cli.IntFlag{Name: "idle-targets", Usage: "list `N` further targets that nobody uses, whose entries change all the time"}},
		Action: func(_ context.Context, c *cli.Command) error {
			seed := c.Uint64("seed")
			if seed == 0 {
				seed = uint64(time.Now().UnixNano())
			}
			return hostedsoak.Main(hostedsoak.Options{Seed: seed, Length: c.Duration("for"), Dir: c.String("dir"), Bin: c.String("bin"), Net: c.Int("net"), Out: os.Stdout, SharedView: c.Bool("shared-view"), Versions: c.Bool("versions"), Parts: c.Bool("parts"), RunnerFaults: c.Bool("runner-faults"), FalseAnswers: c.Bool("false-answers"), AllKilled: c.Bool("all-killed"), IdleTargets: c.Int("idle-targets")})
		}}
}

func loadCommand() *cli.Command {
	return &cli.Command{Name: "load", Usage: "run an experiment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "the experiment, an INI `FILE`"},
			&cli.StringFlag{Name: "out", Usage: "write the result as JSON to `FILE`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			e, err := load.ReadExperiment(c.String("file"))
			if err != nil {
				return err
			}
			result, err := load.Run(e, os.Stdout)
			if err != nil || c.String("out") == "" {
				return err
			}
			return result.Save(c.String("out"))
		}}
}

func overheadCommand() *cli.Command {
	return &cli.Command{Name: "overhead", Usage: "measure the cost of a node compared with direct calls of an engine",
		Action: func(context.Context, *cli.Command) error {
			dir, err := os.MkdirTemp("", "overhead")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			return load.MeasureOverhead(dir, os.Stdout)
		}}
}

func reportCommand() *cli.Command {
	return &cli.Command{Name: "report", Usage: "summarise and plot a result",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "a result, a JSON `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "draw into a PNG or SVG `FILE`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			result, err := load.ReadResult(c.String("file"))
			if err != nil {
				return err
			}
			fmt.Println(load.SummaryTableHead)
			for _, s := range result.Summaries() {
				fmt.Println(s)
			}
			if c.String("plot") == "" {
				return nil
			}
			return result.Plot(c.String("plot"))
		}}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "`IP:PORT`"}
}

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, addr string, h http.Handler) error {
	server := &http.Server{Addr: addr, Handler: h}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func ledgerFlag() cli.Flag {
	return &cli.StringFlag{Name: "ledger", Usage: "`FILE` to which a line is appended for each start of a request or operation"}
}

// openLedger opens the file of the flag --ledger; without it lines are discarded.
func openLedger(c *cli.Command) (io.Writer, error) {
	if c.String("ledger") == "" {
		return io.Discard, nil
	}
	return os.OpenFile(c.String("ledger"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

func platformCommand() *cli.Command {
	return &cli.Command{Name: "platform", Usage: "run a stand-in for the platform", Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), platform.New())
		}}
}

func engineCommand() *cli.Command {
	return &cli.Command{Name: "engine", Usage: "run a stand-in for a model engine",
		Flags: []cli.Flag{listenFlag(),
			&cli.StringSliceFlag{Name: "loaded", Usage: "`NAMES` of the models that are loaded from the start"},
			&cli.IntFlag{Name: "max-running", Value: engine.DefaultModel().MaxRunning, Usage: "maximum number of running sequences"},
			&cli.DurationFlag{Name: "step", Value: engine.DefaultModel().StepBase, Usage: "base duration of a step"},
			&cli.BoolFlag{Name: "instant", Usage: "steps take no time, to measure what is in front of the engine"},
			ledgerFlag(),
			&cli.BoolFlag{Name: "ignore-fence", Usage: "accept orders with a stale fencing token"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			model := engine.DefaultModel()
			model.MaxRunning, model.StepBase = c.Int("max-running"), c.Duration("step")
			model.Instant, model.ChecksFence = c.Bool("instant"), !c.Bool("ignore-fence")
			e := engine.New(model, c.StringSlice("loaded")...)
			ledger, err := openLedger(c)
			if err != nil {
				return err
			}
			e.Log = ledger
			go e.Run(ctx.Done())
			return serve(ctx, c.String("listen"), e.Handler())
		}}
}

func serviceCommand() *cli.Command {
	return &cli.Command{Name: "service", Usage: "run a stand-in for a plain service",
		Flags: []cli.Flag{listenFlag(), ledgerFlag(), &cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "delay before a call runs"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ledger, err := openLedger(c)
			if err != nil {
				return err
			}
			s := &service.Service{Delay: c.Duration("delay"), Log: ledger}
			return serve(ctx, c.String("listen"), s.Handler())
		}}
}
