// Command simadapter hosts routers behind the JSON pipe: a batch a line in, a reply a line out.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"limeladder/balance"
	"limeladder/internal/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each line until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriter(out)
	d, routers := simprotocol.NewDecoder(), map[string]*balance.Balancer{}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if len(line) == 0 {
			return nil
		}
		reply, e := answer(d, routers, line)
		if e != nil {
			return fmt.Errorf("line %d: %w", n, e)
		}
		text, e := reply.Encode()
		if e != nil {
			return fmt.Errorf("line %d: %w", n, e)
		}
		if _, e := w.Write(append(text, '\n')); e != nil {
			return e
		}
		if e := w.Flush(); e != nil {
			return e
		}
	}
}

// answer applies one batch. Each instance gets its own events only, in their order, in one step.
func answer(d *simprotocol.Decoder, routers map[string]*balance.Balancer, line []byte) (*simprotocol.Reply, error) {
	reply := &simprotocol.Reply{}
	b, err := d.Decode(line)
	var bad *simprotocol.ConfigError
	if errors.As(err, &bad) {
		reply.Crash(bad.Who, bad.Err.Error())
		return reply, nil
	}
	if err != nil {
		return nil, err
	}
	events := map[string][]balance.Event{}
	var order []string
	for _, e := range b.Events {
		if _, seen := events[e.Who]; !seen {
			order = append(order, e.Who)
			events[e.Who] = nil
		}
		switch {
		case e.Down:
			delete(routers, e.Who)
			events[e.Who] = nil
		case e.Start != nil:
			router, err := balance.New(e.Start.Config, e.Start.Seed)
			if err != nil {
				reply.Crash(e.Who, err.Error())
				return reply, nil
			}
			routers[e.Who] = router
			events[e.Who] = nil
		default:
			events[e.Who] = append(events[e.Who], e.Event)
		}
	}
	for _, who := range order {
		if router := routers[who]; router != nil {
			step(reply, who, router, b.Now, events[who])
		}
	}
	return reply, nil
}

// step passes a panic of the decision code on as the crash action.
func step(reply *simprotocol.Reply, who string, router *balance.Balancer, now balance.Time, events []balance.Event) {
	defer func() {
		if p := recover(); p != nil {
			reply.Crash(who, fmt.Sprint(p))
		}
	}()
	reply.Add(who, router.Step(now, events))
}
