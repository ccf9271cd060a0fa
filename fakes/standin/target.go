package main

import (
	"context"
	"flag"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/fakes/proxy"
	"burdockreach.dev/fakes/target"
)

const (
	defaultSlots  = 8
	defaultConns  = 64
	defaultRun    = 20 * time.Millisecond
	defaultReboot = time.Second
	controlOffset = 1000 // the control port minus the target's port
)

// parseTarget parses the arguments of the command target, which serves a simulated target.
func parseTarget(f *flag.FlagSet, args []string) (runner, error) {
	name := f.String("name", "", "name of the VM")
	addr := f.String("addr", "", "IP:port for requests; the control port is 1000 above")
	slots := f.Int("slots", defaultSlots, "requests that run at once")
	conns := f.Int("conns", defaultConns, "connections that may be open at once")
	runTime := f.Duration("run", defaultRun, "run time of a request")
	random := f.Bool("random", false, "run times are exponentially distributed around -run")
	reboot := f.Duration("reboot", defaultReboot, "time of a reboot")
	seed := f.Uint64("seed", 1, "seed of the run times")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	control, err := controlAddr(*addr)
	if err != nil || *name == "" {
		return nil, eris.Errorf("target: -name %q and -addr %q are needed", *name, *addr)
	}
	o := []target.Option{target.WithName(*name), target.WithSlots(*slots), target.WithMaxConnections(*conns),
		target.WithRebootTime(*reboot), target.WithSeed(*seed)}
	if *random {
		o = append(o, target.WithRandomRunTime(*runTime))
	} else {
		o = append(o, target.WithRunTime(*runTime))
	}
	return func(c context.Context) error { return target.New(o...).Serve(c, *addr, control) }, nil
}

// controlAddr returns the control address of a target that serves requests at addr.
func controlAddr(addr string) (string, error) {
	h, p, err := net.SplitHostPort(addr)
	if err != nil {
		return "", eris.Wrap(err, "split address")
	}
	n, err := strconv.Atoi(p)
	return net.JoinHostPort(h, strconv.Itoa(n+controlOffset)), eris.Wrap(err, "read port")
}

// parseForwarder parses the arguments of the command cutter, which serves a proxy that injects connection faults.
func parseForwarder(f *flag.FlagSet, args []string) (runner, error) {
	listen := f.String("listen", "", "IP:port to listen on")
	to := f.String("to", "", "IP:port to forward to")
	control := f.String("control", "", "IP:port of the control calls")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if *listen == "" || *to == "" {
		return nil, eris.New("cutter: -listen and -to are needed")
	}
	var o []proxy.Option
	if *control != "" {
		o = append(o, proxy.WithControl(*control))
	}
	return func(c context.Context) error { return proxy.New(*listen, *to, o...).Serve(c) }, nil
}
